#ifndef SHALLOTBEAM_CORE_FAIRNESS_SHARERELAY_H_
#define SHALLOTBEAM_CORE_FAIRNESS_SHARERELAY_H_

#include <functional>
#include <map>
#include <utility>

#include "Common/Clock.h"
#include "Fairness/ShareLedger.h"
#include "Protocol/Messages.h"

namespace shallotbeam::fairness {

struct RelayOptions {
  // Interval at which rows are passed on that peers normally receive from their
  // writers as well.
  common::Duration interval = std::chrono::seconds(5);
};

// Rows that wait to be passed on. Only the latest row of each writer and
// workspace is kept.
struct ShareRelay {
  RelayOptions options;
  std::map<std::pair<ShareKey, common::Incarnation>, protocol::ShareRow>
      pending;
  common::TimePoint last_sent;
};

// Takes the changes of a ledger that are to be sent now: all virtual time
// offsets, the rows of writers for which `sends_at_once` returns true, and once
// per interval the pending rows of the other writers. Through the pending rows,
// a peer that has no connection to a writer receives the writer's rows
// indirectly.
protocol::Shares TakeSharesToSend(
    ShareLedger& ledger, ShareRelay& relay, common::TimePoint now,
    const std::function<bool(common::Incarnation)>& sends_at_once);

}  // namespace shallotbeam::fairness

#endif  // SHALLOTBEAM_CORE_FAIRNESS_SHARERELAY_H_
