#include "Fairness/ShareRelay.h"

namespace shallotbeam::fairness {

protocol::Shares TakeSharesToSend(
    ShareLedger& ledger, ShareRelay& relay, common::TimePoint now,
    const std::function<bool(common::Incarnation)>& sends_at_once) {
  const protocol::Shares changes = TakeChanges(ledger);
  protocol::Shares shares{.offsets = changes.offsets};
  for (const protocol::ShareRow& row : changes.rows) {
    if (sends_at_once(row.writer)) {
      shares.rows.push_back(row);
    } else {
      relay.pending[{{row.pool, row.workspace}, row.writer}] = row;
    }
  }
  if (now - relay.last_sent < relay.options.interval) return shares;
  relay.last_sent = now;
  for (const auto& [key, row] : relay.pending) shares.rows.push_back(row);
  relay.pending.clear();
  return shares;
}

}  // namespace shallotbeam::fairness
