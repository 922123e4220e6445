#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_FAKEUPSTREAM_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_FAKEUPSTREAM_H_

#include <functional>
#include <map>
#include <string>

#include "Admission/Events.h"
#include "Fakes/Records.h"
#include "Fakes/Timeline.h"

namespace shallotbeam::fakes {

enum class UpstreamMode : std::uint8_t {
  kUp,
  kSlow,     // five times the normal latency
  kErrors,   // runs the request and responds with an error
  kSilent,   // runs the request and never responds
  kRefuses,  // responds with status 429
};

// Callbacks for the events of the agent's connection to the upstream.
struct UpstreamHandlers {
  std::function<void(std::size_t run)> on_chunk;
  std::function<void(admission::UpstreamOutcome, std::size_t run)> on_end;
  // Returns whether the agent can currently report a crash to the whole fleet.
  std::function<bool()> can_report;
};

class FakeUpstream {
 public:
  FakeUpstream(std::string agent, Timeline& timeline, Records& records)
      : agent_(std::move(agent)), timeline_(timeline), records_(records) {}

  void Start(const admission::AttemptId& id, std::size_t call,
             UpstreamHandlers handlers);
  void Cancel(const admission::AttemptId& id);
  // Breaks all connections and is unreachable for 300 ms.
  void Crash();

  bool IsUp() const { return timeline_.Now() >= unreachable_until_; }
  void SetMode(UpstreamMode mode) { mode_ = mode; }

 private:
  void RecordCrash(std::size_t run, bool can_report);
  void End(std::size_t run, admission::UpstreamOutcome outcome);

  std::string agent_;
  Timeline& timeline_;
  Records& records_;
  UpstreamMode mode_ = UpstreamMode::kUp;
  common::TimePoint unreachable_until_;
  std::map<std::size_t, UpstreamHandlers> in_flight_;  // by run
  std::map<admission::AttemptId, std::size_t> runs_;
};

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_FAKEUPSTREAM_H_
