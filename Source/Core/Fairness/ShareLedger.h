#ifndef SHALLOTBEAM_CORE_FAIRNESS_SHARELEDGER_H_
#define SHALLOTBEAM_CORE_FAIRNESS_SHARELEDGER_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "Common/Types.h"
#include "Protocol/Messages.h"

// Fair sharing between workspaces: the service that all agents have given to
// each workspace, and the virtual times that follow from it. The workspace with
// the lowest virtual time is served next.
namespace shallotbeam::fairness {

// Total cost that one agent incarnation has charged and refunded to one
// workspace.
struct ServiceSums {
  common::Cost charged = 0;
  common::Cost refunded = 0;
};

// State of one workspace in one pool.
struct WorkspaceShare {
  double weight = 1;
  // Virtual time offset, in cost per weight. It is raised for a workspace that
  // fell behind, so that idle time does not accumulate as credit.
  double virtual_time_offset = 0;
  common::Cost net_service = 0;  // sum over `rows`
  std::map<common::Incarnation, ServiceSums> rows;
};

using ShareKey = std::pair<common::PoolName, common::WorkspaceName>;

// A replicated record of service (a conflict-free replicated data type).
// Merging updates in any order, repeatedly or late gives the same result,
// because each row has a single writer and its values only increase. Virtual
// time offsets only increase as well.
struct ShareLedger {
  std::map<ShareKey, WorkspaceShare> shares;
  // Rows and offsets that changed since the last TakeChanges().
  std::map<ShareKey, std::vector<common::Incarnation>> changed_rows;
  std::set<ShareKey> changed_offsets;
};

// `weight` must be positive.
void SetWeight(ShareLedger& ledger, const ShareKey& key, double weight);

// Adds service given by `writer`. A negative `cost` is a refund.
void AddService(ShareLedger& ledger, common::Incarnation writer,
                const ShareKey& key, common::Cost cost);

// Returns the cost per weight received so far, plus the virtual time offset.
double VirtualTime(const ShareLedger& ledger, const ShareKey& key);

// Raises the virtual time offset so that the virtual time is at least `floor`.
void RaiseVirtualTime(ShareLedger& ledger, const ShareKey& key, double floor);

// Keeps the virtual times of backlogged workspaces within `cap` (cost per
// weight) of the highest one, by raising the offsets of those that are further
// behind.
void LimitVirtualTimeSpread(ShareLedger& ledger,
                            const std::vector<ShareKey>& backlogged,
                            double cap);

void Merge(ShareLedger& ledger, const protocol::Shares& shares);

// Returns the rows and offsets that changed since the previous call.
protocol::Shares TakeChanges(ShareLedger& ledger);

// Returns all rows and offsets, for a peer that starts without state.
protocol::Shares Snapshot(const ShareLedger& ledger);

}  // namespace shallotbeam::fairness

#endif  // SHALLOTBEAM_CORE_FAIRNESS_SHARELEDGER_H_
