#ifndef SHALLOTBEAM_CORE_PLATFORM_ITEMSTORE_H_
#define SHALLOTBEAM_CORE_PLATFORM_ITEMSTORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/status.h"

// The platform's key-value service as far as a gateway uses it: whole prefixes
// of keys, followed by long polls.
namespace shallotbeam::platform {

struct StoredItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
};

// One page of the items under a prefix, in the order of their keys.
struct ListResult {
  absl::Status status;  // kUnavailable: no answer
  std::vector<StoredItem> items;
  bool truncated = false;   // more pages follow
  std::uint64_t as_of = 0;  // revision that the page is taken at
};

struct ItemChange {
  StoredItem item;
  bool removed = false;
};

struct ChangesResult {
  // kUnavailable: no answer. kOutOfRange: the changes are no longer known, so
  // that the prefix has to be listed again.
  absl::Status status;
  std::vector<ItemChange> changes;
  std::uint64_t as_of = 0;
};

// Calls return at once and answer on the thread of the client.
class ItemStore {
 public:
  virtual ~ItemStore() = default;

  // Lists items with keys after `after`, up to date.
  virtual void List(const std::string& prefix, const std::string& after,
                    std::function<void(ListResult)> done) = 0;

  // Waits at most `wait` for changes after `revision`.
  virtual void AwaitChanges(const std::string& prefix, std::uint64_t revision,
                            std::chrono::milliseconds wait,
                            std::function<void(ChangesResult)> done) = 0;
};

}  // namespace shallotbeam::platform

#endif  // SHALLOTBEAM_CORE_PLATFORM_ITEMSTORE_H_
