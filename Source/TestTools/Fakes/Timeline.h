#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_TIMELINE_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_TIMELINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "Common/Clock.h"

namespace shallotbeam::fakes {

// Runs events in the order of their time, and of their creation at equal times.
class Timeline {
 public:
  explicit Timeline(common::Duration step) : step_(step) {}

  common::TimePoint Now() const { return clock_.Now(); }

  void After(common::Duration delay, std::function<void()> event) {
    due_.emplace(std::pair(Now() + delay, ++sequence_), std::move(event));
  }

  void RunFor(common::Duration period) {
    const common::TimePoint end = Now() + period;
    while (Now() < end) {
      clock_.Advance(step_);
      while (!due_.empty() && due_.begin()->first.first <= Now()) {
        const auto event = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        event();
      }
    }
  }

 private:
  common::ManualClock clock_;
  common::Duration step_;
  std::uint64_t sequence_ = 0;
  std::map<std::pair<common::TimePoint, std::uint64_t>, std::function<void()>>
      due_;
};

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_TIMELINE_H_
