#ifndef SHALLOTBEAM_CORE_PLATFORM_KEYVALUESTORE_H_
#define SHALLOTBEAM_CORE_PLATFORM_KEYVALUESTORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"

// The platform's key-value service, as far as shallotbeam uses it.
namespace shallotbeam::platform {

// Revision 0 means that the key is absent.
struct StoredValue {
  std::uint64_t revision = 0;
  std::string value;
};

struct ReadResult {
  absl::Status status;  // kUnavailable: no answer
  StoredValue stored;
};

enum class SwapOutcome : std::uint8_t {
  kSwapped,      // `stored` is what was written
  kConflict,     // `stored` is what stands there
  kUnavailable,  // no answer: the write may have taken effect
};

struct SwapResult {
  SwapOutcome outcome = SwapOutcome::kUnavailable;
  StoredValue stored;
};

// All calls return at once and answer on another thread. Every call counts
// against the service's rate limits.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  virtual void Read(const std::string& key,
                    std::function<void(ReadResult)> done) = 0;

  // Writes `value` if the key's revision is `expected_revision`.
  virtual void CompareAndSwap(const std::string& key,
                              std::uint64_t expected_revision,
                              const std::string& value,
                              std::function<void(SwapResult)> done) = 0;
};

enum class LeaseId : std::uint64_t { kNone = 0 };

struct LeaseResult {
  // kUnavailable: no answer. kNotFound: the lease has ended.
  absl::Status status;
  LeaseId lease = LeaseId::kNone;
  std::chrono::seconds time_to_live{0};
};

// A watch in progress; ends when destroyed or when the connection ends.
class KeyWatch {
 public:
  virtual ~KeyWatch() = default;
};

struct WatchHandlers {
  // The key's new value; revision 0 after it was deleted.
  std::function<void(StoredValue)> on_change;
  // The connection ended; changes since then are missed.
  std::function<void()> on_end;
};

// A store with leases and watches. Each waiting watch counts as one call.
class LeaseStore : public KeyValueStore {
 public:
  virtual void GrantLease(std::chrono::seconds time_to_live,
                          std::function<void(LeaseResult)> done) = 0;
  virtual void KeepLease(LeaseId lease,
                         std::function<void(LeaseResult)> done) = 0;
  virtual void RevokeLease(LeaseId lease,
                           std::function<void(LeaseResult)> done) = 0;

  // As CompareAndSwap; the key is deleted when the lease ends.
  virtual void CompareAndSwapLeased(const std::string& key,
                                    std::uint64_t expected_revision,
                                    const std::string& value, LeaseId lease,
                                    std::function<void(SwapResult)> done) = 0;

  // Reports changes of a key at `from_revision` or later; 0 for those after the
  // watch began.
  virtual std::shared_ptr<KeyWatch> Watch(const std::string& key,
                                          std::uint64_t from_revision,
                                          WatchHandlers handlers) = 0;
};

// As CompareAndSwap, but reads back when the answer is lost. `value` must be
// unique to this write, so that it is recognised. Outcome kUnavailable then
// means that reading back failed too.
void CompareAndSwapReadBack(KeyValueStore& store, const std::string& key,
                            std::uint64_t expected_revision,
                            const std::string& value,
                            std::function<void(SwapResult)> done);

}  // namespace shallotbeam::platform

#endif  // SHALLOTBEAM_CORE_PLATFORM_KEYVALUESTORE_H_
