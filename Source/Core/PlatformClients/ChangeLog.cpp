#include "PlatformClients/ChangeLog.h"

#include <algorithm>

namespace shallotbeam::platform_clients {

namespace {

void Erase(ChangeLog& log,
           std::map<ChangeLog::Place, ItemChange>::iterator change) {
  if (change->second.removed) --log.removed;
  log.positions.erase(change->second.item.key);
  log.changes.erase(change);
}

// Forgets the oldest removals. A reader that has not seen them must list.
void LimitRemovals(ChangeLog& log) {
  for (auto it = log.changes.begin();
       it != log.changes.end() && log.removed > log.options.max_removed;) {
    const auto oldest = it++;
    if (!oldest->second.removed) continue;
    log.complete_since = std::max(log.complete_since, oldest->first.first);
    Erase(log, oldest);
  }
}

}  // namespace

void RestartLog(ChangeLog& log, common::StorePosition position) {
  log.changes.clear();
  log.positions.clear();
  log.removed = 0;
  log.complete_since = position;
}

void RecordChange(ChangeLog& log, const ItemChange& change) {
  const std::string& key = change.item.key;
  const auto known = log.positions.find(key);
  if (known != log.positions.end()) {
    if (known->second > change.item.position) return;
    Erase(log, log.changes.find({known->second, key}));
  }
  log.positions[key] = change.item.position;
  log.changes[{change.item.position, key}] = change;
  if (change.removed) ++log.removed;
  LimitRemovals(log);
}

std::optional<std::vector<ItemChange>> ChangesSince(
    const ChangeLog& log, common::StorePosition position) {
  const bool same_era = position.era == log.complete_since.era;
  if (!same_era || position < log.complete_since) return std::nullopt;
  std::vector<ItemChange> changes;
  ++position.revision;
  for (auto it = log.changes.lower_bound({position, ""});
       it != log.changes.end(); ++it) {
    changes.push_back(it->second);
  }
  return changes;
}

}  // namespace shallotbeam::platform_clients
