#include "Admission/KeyTable.h"

#include <algorithm>

namespace shallotbeam::admission {

namespace {

// Returns the key if its result was kept.
void DropResult(KeyTable& table, const std::string& key,
                std::vector<std::string>* dropped) {
  const auto it = table.entries.find(key);
  if (it == table.entries.end() || it->second.state != KeyState::kDone) return;
  it->second.state = KeyState::kForgotten;
  table.result_bytes -= it->second.result_bytes;
  dropped->push_back(key);
}

void Finish(KeyTable& table, const std::string& key, KeyEntry& entry,
            KeyState state, common::TimePoint now) {
  entry.state = state;
  entry.changed = now;
  table.finished.emplace_back(now, key);
}

}  // namespace

KeyAnswer Accept(KeyTable& table, const std::string& key,
                 std::uint64_t revision, common::TimePoint now) {
  const auto it = table.entries.find(key);
  if (it != table.entries.end()) {
    KeyEntry& entry = it->second;
    switch (entry.state) {
      case KeyState::kAccepted:
      case KeyState::kBegun:
        return KeyAnswer::kInProgress;
      case KeyState::kDone:
        return KeyAnswer::kReplay;
      case KeyState::kForgotten:
        return KeyAnswer::kForgotten;
      case KeyState::kBarred:
        if (revision <= entry.revision) return KeyAnswer::kBarred;
        entry = {
            .state = KeyState::kAccepted, .revision = revision, .changed = now};
        return KeyAnswer::kRun;
    }
  }
  if (table.entries.size() >= table.options.max_keys) return KeyAnswer::kFull;
  table.entries.emplace(key, KeyEntry{.state = KeyState::kAccepted,
                                      .revision = revision,
                                      .changed = now});
  return KeyAnswer::kRun;
}

void NoteBegun(KeyTable& table, const std::string& key) {
  const auto it = table.entries.find(key);
  if (it != table.entries.end()) it->second.state = KeyState::kBegun;
}

std::vector<std::string> NoteDone(KeyTable& table, const std::string& key,
                                  std::size_t result_bytes,
                                  common::TimePoint now) {
  std::vector<std::string> dropped;
  const auto it = table.entries.find(key);
  if (it == table.entries.end()) return dropped;
  Finish(table, key, it->second, KeyState::kDone, now);
  it->second.result_bytes = result_bytes;
  table.result_bytes += result_bytes;
  table.results.emplace_back(now, key);
  while (table.result_bytes > table.options.max_result_bytes) {
    const std::string oldest = table.results.front().second;
    table.results.pop_front();
    DropResult(table, oldest, &dropped);
  }
  return dropped;
}

void NoteNotRun(KeyTable& table, const std::string& key,
                common::TimePoint now) {
  const auto it = table.entries.find(key);
  if (it == table.entries.end()) return;
  Finish(table, key, it->second, KeyState::kBarred, now);
}

bool Bar(KeyTable& table, const std::string& key, std::uint64_t revision,
         common::TimePoint now) {
  const auto it = table.entries.find(key);
  if (it == table.entries.end()) {
    // A full table must still keep the promise, so the limit is exceeded.
    KeyEntry& entry = table.entries[key];
    entry.revision = revision;
    Finish(table, key, entry, KeyState::kBarred, now);
    return true;
  }
  KeyEntry& entry = it->second;
  const bool not_begun =
      entry.state == KeyState::kAccepted || entry.state == KeyState::kBarred;
  if (!not_begun) return false;
  entry.revision = std::max(entry.revision, revision);
  Finish(table, key, entry, KeyState::kBarred, now);
  return true;
}

std::vector<std::string> Expire(KeyTable& table, common::TimePoint now) {
  std::vector<std::string> dropped;
  while (!table.results.empty() &&
         now - table.results.front().first >= table.options.keep_results) {
    const std::string key = table.results.front().second;
    table.results.pop_front();
    DropResult(table, key, &dropped);
  }
  while (!table.finished.empty() &&
         now - table.finished.front().first >= table.options.keep_keys) {
    const auto& [time, key] = table.finished.front();
    const auto it = table.entries.find(key);
    // A key that changed later has a later entry in the queue.
    if (it != table.entries.end() && it->second.changed == time) {
      table.entries.erase(it);
    }
    table.finished.pop_front();
  }
  return dropped;
}

}  // namespace shallotbeam::admission
