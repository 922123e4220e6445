#ifndef SHALLOTBEAM_CORE_PLATFORMCLIENTS_CHANGELOG_H_
#define SHALLOTBEAM_CORE_PLATFORMCLIENTS_CHANGELOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "PlatformClients/ItemStore.h"

// The latest change of each key, so that a process that follows the store can
// pass the changes on to others. Several changes of a key count as the last
// one. Holds one entry for each key, however often the key changes.
namespace shallotbeam::platform_clients {

struct ChangeLogOptions {
  // Removed keys that are remembered.
  std::size_t max_removed = 1'000;
};

struct ChangeLog {
  // Several keys may change at one position.
  using Place = std::pair<common::StorePosition, std::string>;

  ChangeLogOptions options;
  std::map<Place, ItemChange> changes;
  std::unordered_map<std::string, common::StorePosition> positions;  // by key
  std::size_t removed = 0;  // number of removals in `changes`
  // The log has all changes of this era after this position.
  common::StorePosition complete_since;
};

// Starts over after the store was listed, because changes may be missing.
void RestartLog(ChangeLog& log, common::StorePosition position);

void RecordChange(ChangeLog& log, const ItemChange& change);

// Returns the changes after `position`, in their order. Absent if some of them
// are not in the log, or if the log is of another era.
std::optional<std::vector<ItemChange>> ChangesSince(
    const ChangeLog& log, common::StorePosition position);

}  // namespace shallotbeam::platform_clients

#endif  // SHALLOTBEAM_CORE_PLATFORMCLIENTS_CHANGELOG_H_
