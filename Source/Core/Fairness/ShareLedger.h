#ifndef SHALLOTBEAM_CORE_FAIRNESS_SHARELEDGER_H_
#define SHALLOTBEAM_CORE_FAIRNESS_SHARELEDGER_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "Common/Types.h"
#include "Protocol/Messages.h"

// Fair shares: service sums of all agents and virtual times of workspaces.
namespace shallotbeam::fairness {

// The sums that one agent incarnation wrote for one workspace.
struct ServiceSums {
  common::Cost charged = 0;
  common::Cost refunded = 0;
};

// What is known of one workspace in one pool.
struct WorkspaceShare {
  double weight = 1;
  double lift = 0;               // cost per weight
  common::Cost net_service = 0;  // sum over `rows`
  std::map<common::Incarnation, ServiceSums> rows;
};

using ShareKey = std::pair<common::PoolName, common::WorkspaceName>;

// A mergeable record of service. Merging in any order, twice or late gives the
// same result, because each row has one writer and only grows.
struct ShareLedger {
  std::map<ShareKey, WorkspaceShare> shares;
  // Rows and lifts that changed since the last TakeChanges().
  std::map<ShareKey, std::vector<common::Incarnation>> changed_rows;
  std::set<ShareKey> changed_lifts;
};

// Sets a weight; `weight` must be above 0.
void SetWeight(ShareLedger& ledger, const ShareKey& key, double weight);

// Adds service given by `writer`. `cost` may be negative: then it is a refund.
void AddService(ShareLedger& ledger, common::Incarnation writer,
                const ShareKey& key, common::Cost cost);

// Cost per weight received so far, plus lift.
double VirtualTime(const ShareLedger& ledger, const ShareKey& key);

// Raises the lift so that the virtual time is at least `floor`.
void LiftTo(ShareLedger& ledger, const ShareKey& key, double floor);

// Keeps backlogged workspaces within `cap` (cost per weight) of the one that is
// ahead, by lifting those behind.
void CapSpread(ShareLedger& ledger, const std::vector<ShareKey>& backlogged,
               double cap);

void Merge(ShareLedger& ledger, const protocol::Shares& shares);

// Rows and lifts that changed since the previous call.
protocol::Shares TakeChanges(ShareLedger& ledger);

// Every row and lift, for a peer that starts empty.
protocol::Shares Snapshot(const ShareLedger& ledger);

}  // namespace shallotbeam::fairness

#endif  // SHALLOTBEAM_CORE_FAIRNESS_SHARELEDGER_H_
