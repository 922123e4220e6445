#ifndef SHALLOTBEAM_CORE_PLATFORM_KEYVALUESTORE_H_
#define SHALLOTBEAM_CORE_PLATFORM_KEYVALUESTORE_H_

#include <cstdint>
#include <functional>
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

// As CompareAndSwap, but reads back when the answer is lost. `value` must be
// unique to this write, so that it is recognised. Outcome kUnavailable then
// means that reading back failed too.
void CompareAndSwapReadBack(KeyValueStore& store, const std::string& key,
                            std::uint64_t expected_revision,
                            const std::string& value,
                            std::function<void(SwapResult)> done);

}  // namespace shallotbeam::platform

#endif  // SHALLOTBEAM_CORE_PLATFORM_KEYVALUESTORE_H_
