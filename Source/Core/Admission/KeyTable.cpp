#include "Admission/KeyTable.h"

#include <algorithm>

namespace shallotbeam::admission {

namespace {

// Removes a stored result and adds its key to `dropped`.
void DropResult(KeyTable& table, const std::string& key, KeyEntry& entry,
                std::vector<std::string>* dropped) {
  if (entry.state != KeyState::kDone) return;
  table.results.erase({entry.changed, key});
  table.result_bytes -= entry.result_bytes;
  entry.state = KeyState::kExpired;
  entry.result_bytes = 0;
  dropped->push_back(key);
}

void Finish(KeyTable& table, const std::string& key, KeyEntry& entry,
            KeyState state, common::TimePoint now) {
  table.finished.erase({entry.changed, key});
  entry.state = state;
  entry.changed = now;
  table.finished.emplace(now, key);
}

// Adds an unknown key as revoked. Returns false if there is no room.
bool RevokeNewKey(KeyTable& table, const std::string& key,
                  std::uint64_t revision, common::TimePoint now) {
  const std::size_t max =
      table.options.max_keys + table.options.max_extra_revoked;
  if (table.entries.size() >= max) return false;
  KeyEntry& entry = table.entries[key];
  entry.revision = revision;
  Finish(table, key, entry, KeyState::kRevoked, now);
  return true;
}

}  // namespace

KeyAnswer Accept(KeyTable& table, const KeyOffer& offer,
                 common::TimePoint now) {
  const auto& [key, fingerprint, revision] = offer;
  const KeyEntry accepted{.fingerprint = fingerprint,
                          .state = KeyState::kAccepted,
                          .revision = revision,
                          .changed = now};
  const auto it = table.entries.find(key);
  if (it != table.entries.end()) {
    KeyEntry& entry = it->second;
    // A revoked key has not run, so another request may use it.
    if (entry.state != KeyState::kRevoked && entry.fingerprint != fingerprint) {
      return KeyAnswer::kReused;
    }
    switch (entry.state) {
      case KeyState::kAccepted:
      case KeyState::kStarted:
        return KeyAnswer::kInProgress;
      case KeyState::kUnknown:
        return KeyAnswer::kUnknown;
      case KeyState::kDone:
        return KeyAnswer::kReplay;
      case KeyState::kExpired:
        return KeyAnswer::kExpired;
      case KeyState::kRevoked:
        if (revision <= entry.revision) return KeyAnswer::kRevoked;
        table.finished.erase({entry.changed, key});
        entry = accepted;
        return KeyAnswer::kRun;
    }
  }
  if (table.entries.size() >= table.options.max_keys) {
    return RevokeNewKey(table, key, revision, now) ? KeyAnswer::kFullRevoked
                                                   : KeyAnswer::kFullNotRevoked;
  }
  table.entries.emplace(key, accepted);
  return KeyAnswer::kRun;
}

void RecordStarted(KeyTable& table, const std::string& key) {
  const auto it = table.entries.find(key);
  if (it != table.entries.end()) it->second.state = KeyState::kStarted;
}

std::vector<std::string> RecordDone(KeyTable& table, const std::string& key,
                                    std::size_t result_bytes,
                                    common::TimePoint now) {
  std::vector<std::string> dropped;
  const auto it = table.entries.find(key);
  if (it == table.entries.end()) return dropped;
  Finish(table, key, it->second, KeyState::kDone, now);
  it->second.result_bytes = result_bytes;
  table.result_bytes += result_bytes;
  table.results.emplace(now, key);
  while (table.result_bytes > table.options.max_result_bytes) {
    const std::string oldest = table.results.begin()->second;
    DropResult(table, oldest, table.entries.at(oldest), &dropped);
  }
  return dropped;
}

void RecordNotRun(KeyTable& table, const std::string& key,
                  common::TimePoint now) {
  const auto it = table.entries.find(key);
  if (it == table.entries.end()) return;
  Finish(table, key, it->second, KeyState::kRevoked, now);
}

void RecordUnknown(KeyTable& table, const std::string& key,
                   common::TimePoint now) {
  const auto it = table.entries.find(key);
  if (it == table.entries.end()) return;
  Finish(table, key, it->second, KeyState::kUnknown, now);
}

bool RevokeKey(KeyTable& table, const std::string& key, std::uint64_t revision,
               common::TimePoint now) {
  const auto it = table.entries.find(key);
  if (it == table.entries.end()) return RevokeNewKey(table, key, revision, now);
  KeyEntry& entry = it->second;
  const bool not_started =
      entry.state == KeyState::kAccepted || entry.state == KeyState::kRevoked;
  if (!not_started) return false;
  entry.revision = std::max(entry.revision, revision);
  Finish(table, key, entry, KeyState::kRevoked, now);
  return true;
}

std::vector<std::string> Expire(KeyTable& table, common::TimePoint now) {
  std::vector<std::string> dropped;
  while (!table.results.empty() &&
         now - table.results.begin()->first >= table.options.result_retention) {
    const std::string key = table.results.begin()->second;
    DropResult(table, key, table.entries.at(key), &dropped);
  }
  while (!table.finished.empty() &&
         now - table.finished.begin()->first >= table.options.key_retention) {
    const std::string key = table.finished.begin()->second;
    DropResult(table, key, table.entries.at(key), &dropped);
    table.finished.erase(table.finished.begin());
    table.entries.erase(key);
  }
  return dropped;
}

}  // namespace shallotbeam::admission
