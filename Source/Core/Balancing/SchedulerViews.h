#ifndef SHALLOTBEAM_CORE_BALANCING_SCHEDULERVIEWS_H_
#define SHALLOTBEAM_CORE_BALANCING_SCHEDULERVIEWS_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "Common/Clock.h"
#include "Common/Types.h"

// What a gateway knows of the schedulers from their messages.
namespace shallotbeam::balancing {

// Last known state of an upstream's scheduler.
struct SchedulerView {
  common::TimePoint last_heard;  // time of its last message
  // Has sent a message, and no offer has timed out since.
  bool responsive = false;
  common::Incarnation incarnation = common::Incarnation::kNone;
  common::Duration expected_wait{0};
  // Expected wait of over-share requests.
  common::Duration over_share_wait{0};
  std::optional<double> ns_per_token;  // prefill time
  int running = 0;                     // requests in the engine
  std::uint64_t ignored_reports = 0;   // since the last plausible one
};

// Load of an engine as reported by its scheduler.
struct EngineLoad {
  common::Duration expected_wait{0};
  common::Duration over_share_wait{0};
  double ns_per_token = 0;  // prefill time
  int running = 0;          // requests in the engine
};

using SchedulerViews = std::unordered_map<common::UpstreamName, SchedulerView>;

// Whether the figures can be true. A wait is at most an hour, the longest
// timeout of a route.
bool IsPlausible(const EngineLoad& load);

// Records a load report; of one that is not plausible, only that it came.
// Returns whether the scheduler has restarted as a new incarnation.
bool RecordLoad(SchedulerView& view, common::TimePoint now,
                common::Incarnation incarnation, const EngineLoad& load);

// Returns the median prefill time per token of the known engines, in
// nanoseconds, or nothing if none is known.
std::optional<double> MedianPrefillTime(const SchedulerViews& schedulers);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_SCHEDULERVIEWS_H_
