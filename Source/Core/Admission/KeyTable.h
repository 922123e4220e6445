#ifndef SHALLOTBEAM_CORE_ADMISSION_KEYTABLE_H_
#define SHALLOTBEAM_CORE_ADMISSION_KEYTABLE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"

// The keys of non-idempotent requests that this incarnation has seen.
namespace shallotbeam::admission {

struct KeyTableOptions {
  std::size_t max_keys = 500'000;
  // Keys beyond `max_keys` that may be remembered as barred, so that a full
  // table can still vouch for "not run".
  std::size_t max_extra_barred = 50'000;
  std::size_t max_result_bytes = 32'000'000;
  common::Duration keep_keys = std::chrono::hours(24);
  common::Duration keep_results = std::chrono::minutes(10);
};

enum class KeyState : std::uint8_t {
  kAccepted,   // waits here; not sent to the upstream
  kBegun,      // was sent to the upstream and still runs
  kUnknown,    // was sent to the upstream, which never told the outcome
  kDone,       // ran, the result is kept
  kForgotten,  // ran, the result is no longer kept
  kBarred,     // did not run; attempts up to `revision` never will
};

struct KeyEntry {
  // Of the request that was accepted with the key.
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  KeyState state = KeyState::kAccepted;
  std::uint64_t revision = 0;
  std::size_t result_bytes = 0;
  common::TimePoint changed;
};

struct KeyTable {
  KeyTableOptions options;
  std::unordered_map<std::string, KeyEntry> entries;
  // Each finished key once, by the time of its last change.
  std::set<std::pair<common::TimePoint, std::string>> finished;
  // Each kept result once, by the time of its end.
  std::set<std::pair<common::TimePoint, std::string>> results;
  std::size_t result_bytes = 0;
};

enum class KeyAnswer : std::uint8_t {
  kRun,         // never seen, or barred at a lower revision
  kInProgress,  // accepted or begun
  kReplay,
  kForgotten,
  kUnknown,  // may have run
  kReused,   // belongs to another request, which may have run
  kBarred,
  kFull,      // no room for another key; it is barred now
  kOverfull,  // no room even to bar the key, so nothing vouches for it
};

// Whether an attempt with this key may run; on kRun the key is accepted.
struct KeyOffer {
  std::string key;
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  std::uint64_t revision = 0;
};
KeyAnswer Accept(KeyTable& table, const KeyOffer& offer, common::TimePoint now);

void NoteBegun(KeyTable& table, const std::string& key);

// The request ran to its end. Results over the limits are not kept; returns
// the keys whose results must be dropped.
std::vector<std::string> NoteDone(KeyTable& table, const std::string& key,
                                  std::size_t result_bytes,
                                  common::TimePoint now);

// An accepted key that was not begun, or was refused by the upstream.
void NoteNotRun(KeyTable& table, const std::string& key, common::TimePoint now);

// The outcome of a begun key will never be known: it was cancelled, timed out
// or its connection broke.
void NoteUnknown(KeyTable& table, const std::string& key,
                 common::TimePoint now);

// Bars a key; returns false if it has begun, or if there is no room to remember
// the bar.
bool Bar(KeyTable& table, const std::string& key, std::uint64_t revision,
         common::TimePoint now);

// Forgets what is too old; returns the keys whose results must be dropped.
std::vector<std::string> Expire(KeyTable& table, common::TimePoint now);

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_CORE_ADMISSION_KEYTABLE_H_
