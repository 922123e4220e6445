#include "Fairness/ShareLedger.h"

#include <algorithm>
#include <limits>

namespace shallotbeam::fairness {

namespace {

void MarkRowChanged(ShareLedger& ledger, const ShareKey& key,
                    common::Incarnation writer) {
  std::vector<common::Incarnation>& writers = ledger.changed_rows[key];
  if (std::find(writers.begin(), writers.end(), writer) == writers.end()) {
    writers.push_back(writer);
  }
}

protocol::ShareRow ToRow(const ShareKey& key, common::Incarnation writer,
                         const ServiceSums& sums) {
  return {.writer = writer,
          .pool = key.first,
          .workspace = key.second,
          .charged = sums.charged,
          .refunded = sums.refunded};
}

void MergeRow(ShareLedger& ledger, const protocol::ShareRow& row) {
  const ShareKey key(row.pool, row.workspace);
  WorkspaceShare& share = ledger.shares[key];
  ServiceSums& sums = share.rows[row.writer];
  const common::Cost charged = std::max(sums.charged, row.charged);
  const common::Cost refunded = std::max(sums.refunded, row.refunded);
  if (charged == sums.charged && refunded == sums.refunded) return;
  share.net_service += charged - sums.charged;
  share.net_service -= refunded - sums.refunded;
  sums = {.charged = charged, .refunded = refunded};
  MarkRowChanged(ledger, key, row.writer);
}

void RaiseOffset(ShareLedger& ledger, const ShareKey& key,
                 double virtual_time_offset) {
  WorkspaceShare& share = ledger.shares[key];
  if (virtual_time_offset <= share.virtual_time_offset) return;
  share.virtual_time_offset = virtual_time_offset;
  ledger.changed_offsets.insert(key);
}

}  // namespace

void SetWeight(ShareLedger& ledger, const ShareKey& key, double weight) {
  ledger.shares[key].weight = weight;
}

void AddService(ShareLedger& ledger, common::Incarnation writer,
                const ShareKey& key, common::Cost cost) {
  WorkspaceShare& share = ledger.shares[key];
  ServiceSums& sums = share.rows[writer];
  if (cost >= 0) {
    sums.charged += cost;
  } else {
    sums.refunded -= cost;
  }
  share.net_service += cost;
  MarkRowChanged(ledger, key, writer);
}

double VirtualTime(const ShareLedger& ledger, const ShareKey& key) {
  const auto it = ledger.shares.find(key);
  if (it == ledger.shares.end()) return 0;
  return it->second.net_service / it->second.weight +
         it->second.virtual_time_offset;
}

void RaiseVirtualTime(ShareLedger& ledger, const ShareKey& key, double floor) {
  const double deficit = floor - VirtualTime(ledger, key);
  if (deficit <= 0) return;
  RaiseOffset(ledger, key, ledger.shares[key].virtual_time_offset + deficit);
}

void LimitVirtualTimeSpread(ShareLedger& ledger,
                            const std::vector<ShareKey>& backlogged,
                            double cap) {
  double highest = -std::numeric_limits<double>::infinity();
  for (const ShareKey& key : backlogged) {
    highest = std::max(highest, VirtualTime(ledger, key));
  }
  for (const ShareKey& key : backlogged) {
    RaiseVirtualTime(ledger, key, highest - cap);
  }
}

void Merge(ShareLedger& ledger, const protocol::Shares& shares) {
  for (const protocol::ShareRow& row : shares.rows) MergeRow(ledger, row);
  for (const protocol::VirtualTimeOffsetRow& row : shares.offsets) {
    RaiseOffset(ledger, ShareKey(row.pool, row.workspace),
                row.virtual_time_offset);
  }
}

protocol::Shares TakeChanges(ShareLedger& ledger) {
  protocol::Shares changes;
  for (const auto& [key, writers] : ledger.changed_rows) {
    const WorkspaceShare& share = ledger.shares[key];
    for (const common::Incarnation writer : writers) {
      changes.rows.push_back(ToRow(key, writer, share.rows.at(writer)));
    }
  }
  for (const ShareKey& key : ledger.changed_offsets) {
    changes.offsets.push_back(
        {.pool = key.first,
         .workspace = key.second,
         .virtual_time_offset = ledger.shares[key].virtual_time_offset});
  }
  ledger.changed_rows.clear();
  ledger.changed_offsets.clear();
  return changes;
}

protocol::Shares Snapshot(const ShareLedger& ledger) {
  protocol::Shares all;
  for (const auto& [key, share] : ledger.shares) {
    for (const auto& [writer, sums] : share.rows) {
      all.rows.push_back(ToRow(key, writer, sums));
    }
    all.offsets.push_back({.pool = key.first,
                           .workspace = key.second,
                           .virtual_time_offset = share.virtual_time_offset});
  }
  return all;
}

}  // namespace shallotbeam::fairness
