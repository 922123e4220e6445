#include "Fairness/ShareRelay.h"

namespace shallotbeam::fairness {

protocol::Shares TakeSharesToSend(
    ShareLedger& ledger, ShareRelay& relay, common::TimePoint now,
    const std::function<bool(common::Incarnation)>& is_prompt) {
  const protocol::Shares changes = TakeChanges(ledger);
  protocol::Shares shares{.lifts = changes.lifts};
  for (const protocol::ShareRow& row : changes.rows) {
    if (is_prompt(row.writer)) {
      shares.rows.push_back(row);
    } else {
      relay.held[{{row.pool, row.workspace}, row.writer}] = row;
    }
  }
  if (now - relay.sent < relay.options.interval) return shares;
  relay.sent = now;
  for (const auto& [key, row] : relay.held) shares.rows.push_back(row);
  relay.held.clear();
  return shares;
}

}  // namespace shallotbeam::fairness
