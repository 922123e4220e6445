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
  // How often rows are passed on that peers should hear from others as well.
  common::Duration interval = std::chrono::seconds(5);
};

// Rows that wait to be passed on; the latest of each writer and workspace.
struct ShareRelay {
  RelayOptions options;
  std::map<std::pair<ShareKey, common::Incarnation>, protocol::ShareRow> held;
  common::TimePoint sent;
};

// Takes the changes of a ledger to send now: all lifts, the rows of writers
// that `is_prompt` accepts, and once per interval the others that were held
// since. Peers that are cut off from a writer get its rows by the latter.
protocol::Shares TakeSharesToSend(
    ShareLedger& ledger, ShareRelay& relay, common::TimePoint now,
    const std::function<bool(common::Incarnation)>& is_prompt);

}  // namespace shallotbeam::fairness

#endif  // SHALLOTBEAM_CORE_FAIRNESS_SHARERELAY_H_
