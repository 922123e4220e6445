#include "PlatformClients/ChangeLog.h"

#include <algorithm>

namespace shallotbeam::platform_clients {

namespace {

void Erase(ChangeLog& log,
           std::map<ChangeLog::Position, ItemChange>::iterator change) {
  if (change->second.removed) --log.removed;
  log.revisions.erase(change->second.item.key);
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

void RestartLog(ChangeLog& log, std::uint64_t revision) {
  log.changes.clear();
  log.revisions.clear();
  log.removed = 0;
  log.complete_since = revision;
}

void RecordChange(ChangeLog& log, const ItemChange& change) {
  const std::string& key = change.item.key;
  const auto known = log.revisions.find(key);
  if (known != log.revisions.end()) {
    if (known->second > change.item.revision) return;
    Erase(log, log.changes.find({known->second, key}));
  }
  log.revisions[key] = change.item.revision;
  log.changes[{change.item.revision, key}] = change;
  if (change.removed) ++log.removed;
  LimitRemovals(log);
}

std::optional<std::vector<ItemChange>> ChangesSince(const ChangeLog& log,
                                                    std::uint64_t revision) {
  if (revision < log.complete_since) return std::nullopt;
  std::vector<ItemChange> changes;
  for (auto it = log.changes.lower_bound({revision + 1, ""});
       it != log.changes.end(); ++it) {
    changes.push_back(it->second);
  }
  return changes;
}

}  // namespace shallotbeam::platform_clients
