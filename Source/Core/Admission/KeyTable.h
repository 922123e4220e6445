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

// Idempotency keys of non-idempotent requests that this agent incarnation has
// seen. The table ensures that a key runs at most once. A revoked key has not
// run, and attempts with it do not run on this agent up to the binding revision
// at which it was revoked. A router may then answer "not run".
namespace shallotbeam::admission {

struct KeyTableOptions {
  std::size_t max_keys = 500'000;
  // Room for revoked keys beyond `max_keys`, so that a full table can still
  // guarantee "not run".
  std::size_t max_extra_revoked = 50'000;
  std::size_t max_result_bytes = 32'000'000;
  common::Duration key_retention = std::chrono::hours(24);
  common::Duration result_retention = std::chrono::minutes(10);
};

enum class KeyState : std::uint8_t {
  kAccepted,  // queued at this agent; not sent to the upstream
  kStarted,   // was sent to the upstream and still runs
  kUnknown,   // was sent to the upstream; the outcome is unknown
  kDone,      // ran; the result is stored
  kExpired,   // ran; the result is no longer stored
  kRevoked,   // did not run; attempts up to `revision` will not run
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
  // Keys that are neither queued nor running, by the time of their last change;
  // each key is contained once.
  std::set<std::pair<common::TimePoint, std::string>> finished;
  // Keys with a stored result, by the time of completion; each key is contained
  // once.
  std::set<std::pair<common::TimePoint, std::string>> results;
  std::size_t result_bytes = 0;
};

enum class KeyAnswer : std::uint8_t {
  kRun,         // never seen, or revoked at a lower revision
  kInProgress,  // accepted or started
  kReplay,
  kExpired,
  kUnknown,  // may have run
  kReused,   // belongs to another request, which may have run
  kRevoked,
  kFullRevoked,     // the table is full; the key is revoked now
  kFullNotRevoked,  // no room to revoke the key, so it may run later
};

// An attempt to run a request with a key.
struct KeyOffer {
  std::string key;
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  std::uint64_t revision = 0;
};

// Decides whether an attempt with this key may run. On kRun, the key is
// accepted.
KeyAnswer Accept(KeyTable& table, const KeyOffer& offer, common::TimePoint now);

// The request was sent to the upstream.
void RecordStarted(KeyTable& table, const std::string& key);

// The request completed. Results over the size limit are not stored; returns
// the keys whose results must be deleted.
std::vector<std::string> RecordDone(KeyTable& table, const std::string& key,
                                    std::size_t result_bytes,
                                    common::TimePoint now);

// An accepted request was not sent to the upstream, or the upstream refused it.
// Revokes the key.
void RecordNotRun(KeyTable& table, const std::string& key,
                  common::TimePoint now);

// The outcome of a request that was sent to the upstream will never be known:
// it was cancelled, timed out or its connection broke.
void RecordUnknown(KeyTable& table, const std::string& key,
                   common::TimePoint now);

// Revokes a key up to `revision`. Returns false if the key was sent to the
// upstream, or if the table has no room for it.
bool RevokeKey(KeyTable& table, const std::string& key, std::uint64_t revision,
               common::TimePoint now);

// Removes expired keys and results. Returns the keys whose results must be
// deleted.
std::vector<std::string> Expire(KeyTable& table, common::TimePoint now);

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_CORE_ADMISSION_KEYTABLE_H_
