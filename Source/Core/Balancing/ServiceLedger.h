#ifndef SHALLOTBEAM_CORE_BALANCING_SERVICELEDGER_H_
#define SHALLOTBEAM_CORE_BALANCING_SERVICELEDGER_H_

#include <map>
#include <unordered_map>

#include "Common/Clock.h"
#include "Common/ServiceCounters.h"
#include "Common/Types.h"

// Load pattern: some workspaces ask for many times what the others do, through
// every gateway at once. The ledger adds up what each asks for and receives in
// the whole fleet, from the counters of all schedulers, so that each gateway
// knows which requests lie within a workspace's share.
namespace shallotbeam::balancing {

struct ServiceLedgerOptions {
  // Service fades to 1/e over this time, about the window over which shares are
  // judged.
  common::Duration memory = std::chrono::seconds(4);
  // A workspace that receives less than this part of what the best served one
  // receives is behind; users accept half.
  double behind = 0.6;
};

struct ServiceLedger {
  struct Recent {
    common::ServiceCounters tokens;
    common::TimePoint updated;
  };
  using Counters =
      std::unordered_map<common::WorkspaceName, common::ServiceCounters>;

  ServiceLedgerOptions options;
  std::map<common::Incarnation, Counters> counters;  // by scheduler
  std::unordered_map<common::WorkspaceName, Recent> recent;
};

// A scheduler's counters, which only grow.
void NoteCounters(ServiceLedger& ledger, common::TimePoint now,
                  common::Incarnation scheduler,
                  const common::WorkspaceName& workspace,
                  const common::ServiceCounters& counters);

// Tokens that the workspace asked for and received lately.
common::ServiceCounters RecentTokens(const ServiceLedger& ledger,
                                     common::TimePoint now,
                                     const common::WorkspaceName& workspace);

// The max-min share of a workspace, in recently asked tokens, where the fleet
// gives `tokens_per_second` in all. Infinite if all demand fits.
double ShareOfWorkspace(const ServiceLedger& ledger, common::TimePoint now,
                        double tokens_per_second);

// Tokens that the best served workspace received lately.
double MostServed(const ServiceLedger& ledger, common::TimePoint now);

// Whether a workspace receives much less than `most_served` tokens.
bool IsBehind(const ServiceLedger& ledger, common::TimePoint now,
              const common::WorkspaceName& workspace, double most_served);

// Part of a workspace's requests that lies within a share of `share` tokens.
double PartWithinShare(const ServiceLedger& ledger, common::TimePoint now,
                       const common::WorkspaceName& workspace, double share);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_SERVICELEDGER_H_
