#ifndef SHALLOTBEAM_CORE_ADMISSION_CONCURRENCYLIMIT_H_
#define SHALLOTBEAM_CORE_ADMISSION_CONCURRENCYLIMIT_H_

#include <cstdint>

#include "Common/Clock.h"
#include "Config/Model.h"

// Finds how many requests an upstream runs well at once.
namespace shallotbeam::admission {

struct LimitOptions {
  double backoff = 0.8;  // factor of a decrease
  // Time per token (or per call) over the best seen at which to decrease.
  double latency_tolerance = 2.0;
  // One decrease per interval, so that one burst counts once.
  common::Duration backoff_interval = std::chrono::milliseconds(500);
};

struct ConcurrencyLimit {
  LimitOptions options;
  config::PoolConfig pool;
  double limit = 0;
  double best_latency = 0;  // seconds per token or call; 0: none yet
  common::TimePoint last_decrease;
};

// Takes over the limits of a pool; keeps what was learnt.
void Configure(ConcurrencyLimit& limit, const config::PoolConfig& pool);

int Slots(const ConcurrencyLimit& limit);

// A request ended. `running` is the number of requests just before the end.
void NoteSuccess(ConcurrencyLimit& limit, int running, common::Duration elapsed,
                 std::uint64_t tokens, common::TimePoint now);

// The upstream refused for lack of capacity.
void NoteOverload(ConcurrencyLimit& limit, common::TimePoint now);

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_CORE_ADMISSION_CONCURRENCYLIMIT_H_
