#ifndef SHALLOTBEAM_CORE_PLATFORMCLIENTS_KEYVALUESTORE_H_
#define SHALLOTBEAM_CORE_PLATFORMCLIENTS_KEYVALUESTORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"

// The operations of the platform's key-value service that shallotbeam needs.
namespace shallotbeam::platform_clients {

// Revision 0 means that the key is absent.
struct StoredValue {
  std::uint64_t revision = 0;
  std::string value;
};

struct ReadResult {
  absl::Status status;  // kUnavailable: no valid response
  StoredValue stored;
};

enum class SwapOutcome : std::uint8_t {
  kSwapped,      // `stored` is the value written
  kConflict,     // `stored` is the current value
  kUnavailable,  // no valid response; the write may have taken effect
};

struct SwapResult {
  SwapOutcome outcome = SwapOutcome::kUnavailable;
  StoredValue stored;
};

// Asynchronous: calls return immediately, and `done` runs on another thread.
// Every call counts against the rate limits of the service.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  virtual void Read(const std::string& key,
                    std::function<void(ReadResult)> done) = 0;

  // Writes `value` only if the revision of the key is `expected_revision`.
  virtual void CompareAndSwap(const std::string& key,
                              std::uint64_t expected_revision,
                              const std::string& value,
                              std::function<void(SwapResult)> done) = 0;
};

enum class LeaseId : std::uint64_t { kNone = 0 };

struct LeaseResult {
  // kUnavailable: no valid response. kNotFound: the lease has expired or was
  // revoked.
  absl::Status status;
  LeaseId lease = LeaseId::kNone;
  std::chrono::seconds time_to_live{0};
};

// An active watch. Ends when this object is destroyed or the connection closes.
class KeyWatch {
 public:
  virtual ~KeyWatch() = default;
};

struct WatchHandlers {
  // Receives the new value of the key; revision 0 if the key was deleted.
  std::function<void(StoredValue)> on_change;
  // The connection has closed; later changes are not reported.
  std::function<void()> on_end;
};

// A store with leases and watches. Each active watch counts as one call.
class LeaseStore : public KeyValueStore {
 public:
  virtual void GrantLease(std::chrono::seconds time_to_live,
                          std::function<void(LeaseResult)> done) = 0;
  virtual void RenewLease(LeaseId lease,
                          std::function<void(LeaseResult)> done) = 0;
  virtual void RevokeLease(LeaseId lease,
                           std::function<void(LeaseResult)> done) = 0;

  // Like CompareAndSwap(), but the key is deleted when the lease ends.
  virtual void CompareAndSwapLeased(const std::string& key,
                                    std::uint64_t expected_revision,
                                    const std::string& value, LeaseId lease,
                                    std::function<void(SwapResult)> done) = 0;

  // Reports changes of a key from `from_revision` on. With 0, reports only
  // changes made after the watch has started.
  virtual std::shared_ptr<KeyWatch> Watch(const std::string& key,
                                          std::uint64_t from_revision,
                                          WatchHandlers handlers) = 0;
};

// Like CompareAndSwap(), but reads the key back if the response is lost, to
// find out whether the write took effect. `value` must be unique to this write,
// so that it can be recognised. kUnavailable means that the outcome is still
// unknown: reading back failed too, or the key still has the expected revision.
void CompareAndSwapReadBack(KeyValueStore& store, const std::string& key,
                            std::uint64_t expected_revision,
                            const std::string& value,
                            std::function<void(SwapResult)> done);

}  // namespace shallotbeam::platform_clients

#endif  // SHALLOTBEAM_CORE_PLATFORMCLIENTS_KEYVALUESTORE_H_
