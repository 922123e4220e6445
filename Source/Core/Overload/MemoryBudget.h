#ifndef SHALLOTBEAM_CORE_OVERLOAD_MEMORYBUDGET_H_
#define SHALLOTBEAM_CORE_OVERLOAD_MEMORYBUDGET_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "Common/Clock.h"

// Bounds the sum of the bytes that a process holds for its peers: bodies that
// are being received or served, and responses that peers read slowly. Limits of
// a single message don't bound it, as many peers may stay just below them. This
// code only decides and counts; it performs no I/O.
namespace shallotbeam::overload {

struct MemoryBudgetOptions {
  std::size_t bytes = 134'217'728;
  // Above this part of the budget, less is buffered for each peer.
  double tight_part = 0.5;
};

struct MemoryBudget {
  MemoryBudgetOptions options;
  std::size_t used = 0;
};

// Whether `bytes` more fit into the budget.
bool HasRoom(const MemoryBudget& budget, std::size_t bytes);

// Whether so much is used that peers should be buffered for less.
bool IsTight(const MemoryBudget& budget);

// Bytes that one owner holds, counted in a budget until its end. A charge
// without a budget counts nothing.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  explicit MemoryCharge(std::shared_ptr<MemoryBudget> budget)
      : budget_(std::move(budget)) {}
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;
  ~MemoryCharge() { Set(0); }

  // Counts `bytes` from now on. The caller checks HasRoom() where it can do
  // without them.
  void Set(std::size_t bytes);
  std::size_t Bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  std::size_t bytes_ = 0;
};

// A message that is being received.
struct PartialMessage {
  std::size_t bytes = 0;  // held for it
  common::TimePoint last_progress;
};

// Returns the index of the message to give up, so that another one, for which
// `own` bytes are held, can be received; absent if none is worse than that one.
// A much larger one is given up first, so that ordinary messages get through
// beside a crowd of long ones, then one that makes no progress.
std::optional<std::size_t> PickVictim(
    const std::vector<PartialMessage>& messages, std::size_t own,
    common::TimePoint now);

}  // namespace shallotbeam::overload

#endif  // SHALLOTBEAM_CORE_OVERLOAD_MEMORYBUDGET_H_
