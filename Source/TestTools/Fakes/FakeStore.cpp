#include "Fakes/FakeStore.h"

#include <utility>

namespace shallotbeam::fakes {

namespace {

constexpr common::Duration kLatency = std::chrono::milliseconds(4);
constexpr common::Duration kTimeout = std::chrono::seconds(1);
constexpr common::Duration kSlowLatency = std::chrono::milliseconds(1500);

platform_clients::SwapResult Swap(StoreContent& content, const std::string& key,
                                  std::uint64_t expected_revision,
                                  const std::string& value) {
  platform_clients::StoredValue& stored = content.values[key];
  if (stored.revision != expected_revision) {
    return {.outcome = platform_clients::SwapOutcome::kConflict,
            .stored = stored};
  }
  stored = {.revision = ++content.last_revision, .value = value};
  return {.outcome = platform_clients::SwapOutcome::kSwapped, .stored = stored};
}

}  // namespace

void FakeStore::Read(const std::string& key,
                     std::function<void(platform_clients::ReadResult)> done) {
  const StoreMode mode = mode_();
  if (mode == StoreMode::kDown || mode == StoreMode::kSlow) {
    return timeline_.RunAfter(kTimeout, [done = std::move(done)] {
      done({.status = absl::UnavailableError("no answer within 1 s")});
    });
  }
  timeline_.RunAfter(kLatency, [this, key, done = std::move(done)] {
    const auto it = content_.values.find(key);
    const bool found = it != content_.values.end();
    done({.stored = found ? it->second : platform_clients::StoredValue()});
  });
}

void FakeStore::CompareAndSwap(
    const std::string& key, std::uint64_t expected_revision,
    const std::string& value,
    std::function<void(platform_clients::SwapResult)> done) {
  const StoreMode mode = mode_();
  if (mode != StoreMode::kDown) {
    const bool slow = mode == StoreMode::kSlow;
    const bool answered = mode == StoreMode::kUp;
    timeline_.RunAfter(slow ? kSlowLatency : kLatency,
                       [this, key, expected_revision, value, answered, done] {
                         const platform_clients::SwapResult result =
                             Swap(content_, key, expected_revision, value);
                         if (answered) done(result);
                       });
  }
  if (mode == StoreMode::kUp) return;
  timeline_.RunAfter(kTimeout, [done = std::move(done)] { done({}); });
}

}  // namespace shallotbeam::fakes
