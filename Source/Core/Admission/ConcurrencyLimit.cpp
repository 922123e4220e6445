#include "Admission/ConcurrencyLimit.h"

#include <algorithm>

namespace shallotbeam::admission {

void Configure(ConcurrencyLimit& limit, const config::PoolConfig& pool) {
  limit.pool = pool;
  if (limit.limit == 0) limit.limit = pool.initial_slots;
  limit.limit = std::clamp<double>(limit.limit, pool.min_slots, pool.max_slots);
}

int Slots(const ConcurrencyLimit& limit) {
  return static_cast<int>(limit.limit);
}

void NoteSuccess(ConcurrencyLimit& limit, int running, common::Duration elapsed,
                 std::uint64_t tokens, common::TimePoint now) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const double latency =
      seconds / static_cast<double>(std::max<std::uint64_t>(tokens, 1));
  const bool slow =
      limit.best_latency > 0 &&
      latency > limit.best_latency * limit.options.latency_tolerance;
  if (limit.best_latency == 0 || latency < limit.best_latency) {
    limit.best_latency = latency;
  } else {
    // Drifts up, so that a changed upstream is measured anew.
    limit.best_latency += (latency - limit.best_latency) * 0.005;
  }
  if (slow) return NoteOverload(limit, now);
  // Only a full upstream shows that one more request would fit.
  if (running < Slots(limit)) return;
  limit.limit =
      std::min<double>(limit.limit + 1 / limit.limit, limit.pool.max_slots);
}

void NoteOverload(ConcurrencyLimit& limit, common::TimePoint now) {
  if (now - limit.last_decrease < limit.options.backoff_interval) return;
  limit.last_decrease = now;
  limit.limit = std::max<double>(limit.limit * limit.options.backoff,
                                 limit.pool.min_slots);
}

}  // namespace shallotbeam::admission
