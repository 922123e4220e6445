#ifndef SHALLOTBEAM_CORE_ADMISSION_KEYTABLE_H_
#define SHALLOTBEAM_CORE_ADMISSION_KEYTABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Clock.h"

// The keys of non-idempotent requests that this incarnation has seen.
namespace shallotbeam::admission {

struct KeyTableOptions {
  std::size_t max_keys = 500'000;
  std::size_t max_result_bytes = 32'000'000;
  common::Duration keep_keys = std::chrono::hours(24);
  common::Duration keep_results = std::chrono::minutes(10);
};

enum class KeyState : std::uint8_t {
  kAccepted,   // waits here; not sent to the upstream
  kBegun,      // was sent to the upstream, outcome open or unknown
  kDone,       // ran, the result is kept
  kForgotten,  // ran, the result is no longer kept
  kBarred,     // did not run; attempts up to `revision` never will
};

struct KeyEntry {
  KeyState state = KeyState::kAccepted;
  std::uint64_t revision = 0;
  std::size_t result_bytes = 0;
  common::TimePoint changed;
};

struct KeyTable {
  KeyTableOptions options;
  std::unordered_map<std::string, KeyEntry> entries;
  // Finished keys in the order of their end, for expiry.
  std::deque<std::pair<common::TimePoint, std::string>> finished;
  std::deque<std::pair<common::TimePoint, std::string>> results;
  std::size_t result_bytes = 0;
};

enum class KeyAnswer : std::uint8_t {
  kRun,         // never seen, or barred at a lower revision
  kInProgress,  // accepted or begun
  kReplay,
  kForgotten,
  kBarred,
  kFull,  // no room to remember another key
};

// Whether an attempt with this key may run; on kRun the key is accepted.
KeyAnswer Accept(KeyTable& table, const std::string& key,
                 std::uint64_t revision, common::TimePoint now);

void NoteBegun(KeyTable& table, const std::string& key);

// The request ran to its end. Results over the limits are not kept; returns
// the keys whose results must be dropped.
std::vector<std::string> NoteDone(KeyTable& table, const std::string& key,
                                  std::size_t result_bytes,
                                  common::TimePoint now);

// An accepted key that was not begun, or was refused by the upstream.
void NoteNotRun(KeyTable& table, const std::string& key, common::TimePoint now);

// Bars a key; returns false if it has begun.
bool Bar(KeyTable& table, const std::string& key, std::uint64_t revision,
         common::TimePoint now);

// Forgets what is too old; returns the keys whose results must be dropped.
std::vector<std::string> Expire(KeyTable& table, common::TimePoint now);

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_CORE_ADMISSION_KEYTABLE_H_
