#ifndef SHALLOTBEAM_CORE_BALANCING_SERVICEACCOUNTING_H_
#define SHALLOTBEAM_CORE_BALANCING_SERVICEACCOUNTING_H_

#include <map>
#include <unordered_map>

#include "Common/Clock.h"
#include "Common/ServiceCounters.h"
#include "Common/Types.h"

// Fleet-wide accounting of the service that each workspace requests and
// receives, in tokens. Some workspaces request many times as much as others,
// through all gateways at once. Each gateway therefore adds up the counters of
// all schedulers to determine which requests are within a workspace's fair
// share.
namespace shallotbeam::balancing {

struct ServiceAccountingOptions {
  // Time constant: service decays to 1/e over this time, which is about the
  // window over which fairness is evaluated.
  common::Duration time_constant = std::chrono::seconds(4);
  // A workspace is underserved if it receives less than this fraction of what
  // the best-served workspace receives. Users accept half.
  double underserved_ratio = 0.6;
};

struct ServiceAccounting {
  struct Recent {
    common::ServiceCounters tokens;
    common::TimePoint updated;
  };
  using Counters =
      std::unordered_map<common::WorkspaceName, common::ServiceCounters>;

  ServiceAccountingOptions options;
  std::map<common::Incarnation, Counters> counters;  // by scheduler
  std::unordered_map<common::WorkspaceName, Recent> recent;
};

// Records the counters of a scheduler, which only increase.
void RecordCounters(ServiceAccounting& accounting, common::TimePoint now,
                    common::Incarnation scheduler,
                    const common::WorkspaceName& workspace,
                    const common::ServiceCounters& counters);

// Returns the tokens that the workspace requested and received recently.
common::ServiceCounters RecentTokens(const ServiceAccounting& accounting,
                                     common::TimePoint now,
                                     const common::WorkspaceName& workspace);

// Returns the max-min fair share of a workspace, in recently requested tokens,
// for a fleet that serves `tokens_per_second` in total. Infinite if the fleet
// can serve all demand.
double FairShare(const ServiceAccounting& accounting, common::TimePoint now,
                 double tokens_per_second);

// Returns the tokens that the best-served workspace received recently.
double MaxRecentService(const ServiceAccounting& accounting,
                        common::TimePoint now);

// Returns whether the workspace receives much less than `max_served` tokens.
bool IsUnderserved(const ServiceAccounting& accounting, common::TimePoint now,
                   const common::WorkspaceName& workspace, double max_served);

// Returns the fraction of a workspace's requests that is within a fair share of
// `share` tokens.
double FractionWithinShare(const ServiceAccounting& accounting,
                           common::TimePoint now,
                           const common::WorkspaceName& workspace,
                           double share);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_SERVICEACCOUNTING_H_
