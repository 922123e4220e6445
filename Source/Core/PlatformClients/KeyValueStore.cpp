#include "PlatformClients/KeyValueStore.h"

#include <utility>

namespace shallotbeam::platform_clients {

namespace {

SwapResult OutcomeFromReadBack(const ReadResult& read,
                               std::uint64_t expected_revision,
                               const std::string& value) {
  if (!read.status.ok()) return {};
  if (read.stored.value == value) {
    return {.outcome = SwapOutcome::kSwapped, .stored = read.stored};
  }
  // The old revision does not prove that the write failed: the write may still
  // be in flight.
  if (read.stored.revision == expected_revision) return {};
  return {.outcome = SwapOutcome::kConflict, .stored = read.stored};
}

}  // namespace

void CompareAndSwapReadBack(KeyValueStore& store, const std::string& key,
                            std::uint64_t expected_revision,
                            const std::string& value,
                            std::function<void(SwapResult)> done) {
  store.CompareAndSwap(
      key, expected_revision, value,
      [&store, key, expected_revision, value,
       done = std::move(done)](const SwapResult& result) {
        if (result.outcome != SwapOutcome::kUnavailable) {
          return done(result);
        }
        store.Read(key,
                   [expected_revision, value, done](const ReadResult& read) {
                     done(OutcomeFromReadBack(read, expected_revision, value));
                   });
      });
}

}  // namespace shallotbeam::platform_clients
