#include "Overload/MemoryBudget.h"

#include <algorithm>
#include <utility>

namespace shallotbeam::overload {

namespace {

// A message is given up for another one that is smaller by this factor.
constexpr std::size_t kMuchLarger = 4;
// A message that makes no progress for this long is given up for any other.
constexpr common::Duration kStallTime = std::chrono::seconds(1);
// Smaller messages are not worth giving up.
constexpr std::size_t kMinVictimBytes = 16'384;

}  // namespace

bool HasRoom(const MemoryBudget& budget, std::size_t bytes) {
  return budget.used <= budget.options.bytes &&
         bytes <= budget.options.bytes - budget.used;
}

bool IsTight(const MemoryBudget& budget) {
  return static_cast<double>(budget.used) >
         static_cast<double>(budget.options.bytes) * budget.options.tight_part;
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : budget_(std::move(other.budget_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  std::swap(budget_, other.budget_);
  std::swap(bytes_, other.bytes_);
  return *this;
}

void MemoryCharge::Set(std::size_t bytes) {
  if (budget_ == nullptr) return;
  budget_->used = budget_->used - bytes_ + bytes;
  bytes_ = bytes;
}

std::optional<std::size_t> PickVictim(
    const std::vector<PartialMessage>& messages, std::size_t own,
    common::TimePoint now) {
  std::optional<std::size_t> largest;
  std::optional<std::size_t> largest_stalled;
  const auto is_larger = [&](std::size_t i, std::optional<std::size_t> than) {
    return !than || messages[i].bytes > messages[*than].bytes;
  };
  for (std::size_t i = 0; i < messages.size(); ++i) {
    if (messages[i].bytes < kMinVictimBytes) continue;
    if (is_larger(i, largest)) largest = i;
    const bool stalled = now - messages[i].last_progress >= kStallTime;
    if (stalled && is_larger(i, largest_stalled)) largest_stalled = i;
  }
  const std::size_t much_larger =
      std::max(own, kMinVictimBytes / kMuchLarger) * kMuchLarger;
  if (largest && messages[*largest].bytes >= much_larger) return largest;
  return largest_stalled;
}

}  // namespace shallotbeam::overload
