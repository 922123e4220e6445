#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_TIMELINE_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_TIMELINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "Common/Clock.h"

namespace shallotbeam::fakes {

// Runs events in the order of their times on a fake clock. Events with equal
// times run in the order of their creation.
class Timeline {
 public:
  explicit Timeline(common::Duration step) : step_(step) {}

  common::TimePoint Now() const { return clock_.Now(); }

  void RunAfter(common::Duration delay, std::function<void()> event) {
    events_.emplace(std::pair(Now() + delay, ++sequence_), std::move(event));
  }

  void RunFor(common::Duration period) {
    const common::TimePoint end = Now() + period;
    while (Now() < end) {
      clock_.Advance(step_);
      while (!events_.empty() && events_.begin()->first.first <= Now()) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
      }
    }
  }

 private:
  common::ManualClock clock_;
  common::Duration step_;
  std::uint64_t sequence_ = 0;
  std::map<std::pair<common::TimePoint, std::uint64_t>, std::function<void()>>
      events_;
};

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_TIMELINE_H_
