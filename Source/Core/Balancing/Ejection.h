#ifndef SHALLOTBEAM_CORE_BALANCING_EJECTION_H_
#define SHALLOTBEAM_CORE_BALANCING_EJECTION_H_

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"

// Outlier ejection. An upstream may pass its health checks and still break,
// corrupt or never answer some of its requests. If it fails fast, it has few
// requests in progress, so load balancing sends it even more work. The gateway
// ejects such an upstream for a while, then probes it with one request at a
// time. This code only decides; it performs no I/O.
namespace shallotbeam::balancing {

struct EjectionOptions {
  // Time constant: outcomes decay to 1/e over this time.
  common::Duration time_constant = std::chrono::seconds(3);
  // An upstream is ejected if it reaches all three of the following limits.
  // Number of its recent failures, after decay.
  double min_failures = 2.5;
  // Failures as a fraction of its recent outcomes.
  double min_failure_rate = 0.15;
  // Ratio of its failure rate to that of the other upstreams in the pool. It
  // prevents ejections when an overload, or a request that fails everywhere,
  // affects the whole pool.
  double min_ratio_to_others = 3;
  // The ejection time doubles with each consecutive ejection up to the maximum.
  // It is multiplied by a random jitter in the range below, so that gateways do
  // not probe an upstream at the same time.
  common::Duration base_ejection_time = std::chrono::milliseconds(1'500);
  common::Duration max_ejection_time = std::chrono::seconds(12);
  double min_jitter = 0.75;
  double max_jitter = 1.25;
  // An upstream that was not ejected for this long starts again from the base
  // ejection time.
  common::Duration cooldown = std::chrono::seconds(10);
  // Fraction of a pool that may be ejected at once. One upstream may always be
  // ejected if the pool has at least two.
  double max_ejected_fraction = 0.34;
};

// Exponentially decaying counts of the outcomes at one upstream.
struct RecentOutcomes {
  double answered = 0;
  double failed = 0;
  common::TimePoint decayed_at;
};

struct EjectionRecord {
  common::TimePoint until;  // end of the ejection
  int consecutive_ejections = 0;
  bool probing = true;  // no request since the ejection has been answered
};

struct EjectionState {
  EjectionOptions options;
  std::unordered_map<common::UpstreamName, RecentOutcomes> outcomes;
  // Only of upstreams that were ejected recently.
  std::unordered_map<common::UpstreamName, EjectionRecord> records;
};

// An ejection and the figures behind the decision.
struct Ejection {
  common::Duration ejection_time{};
  double failed = 0;  // recent outcomes of the upstream, after decay
  double answered = 0;
  double others_failure_rate =
      0;  // failure rate of the other upstreams in the pool
};

// Records a successful attempt. Returns whether the upstream was being probed;
// the answer ends the probing.
bool RecordSuccess(EjectionState& state, common::TimePoint now,
                   const common::UpstreamName& name);

// Records that the upstream broke, corrupted or did not answer an attempt, and
// returns the ejection if the upstream is ejected for it. `pool` holds all
// upstreams that could have taken the attempt; `draw` is a uniform random
// number in [0, 1). An upstream that is being probed is ejected again at its
// first failure.
std::optional<Ejection> RecordFailure(
    EjectionState& state, common::TimePoint now,
    const common::UpstreamName& name,
    const std::vector<const common::UpstreamName*>& pool, double draw);

// Returns the upstreams of `names` that may be sent work, or all of them if
// there are none. An upstream that is being probed takes a request only if it
// has none in progress.
std::vector<const common::UpstreamName*> ExcludeEjected(
    const EjectionState& state, common::TimePoint now,
    std::vector<const common::UpstreamName*> names,
    const std::function<int(const common::UpstreamName&)>& in_progress);

// Discards all state of an upstream that was removed or has restarted as a new
// incarnation.
void ForgetUpstream(EjectionState& state, const common::UpstreamName& name);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_EJECTION_H_
