#ifndef SHALLOTBEAM_CORE_ADMISSION_CONCURRENCYLIMIT_H_
#define SHALLOTBEAM_CORE_ADMISSION_CONCURRENCYLIMIT_H_

#include <array>
#include <cstdint>

#include "Common/Clock.h"
#include "Config/Model.h"

// Adaptive concurrency limit: determines from measured times how many requests
// an upstream can run at once without becoming overloaded.
namespace shallotbeam::admission {

struct LimitOptions {
  // Thresholds for the ratio of the mean time per token (or per call) to the
  // best value measured. The limit grows below `grow_below`, shrinks above
  // `shrink_above` and stays unchanged in between, so that it settles instead
  // of oscillating.
  double grow_below = 1.2;
  double shrink_above = 1.5;
  // The same for the time to first token. It varies with prefix cache hits, so
  // the thresholds are exceeded only by queueing in the engine, which makes it
  // many times longer.
  double first_token_grow_below = 2;
  double first_token_shrink_above = 4;
  // A time to first token below this never indicates queueing.
  common::Duration first_token_floor = std::chrono::milliseconds(100);
  // Range of the factor by which the limit is multiplied when it shrinks.
  double small_decrease_factor = 0.8;
  double large_decrease_factor = 0.5;
  // At most one change per interval, so that a burst changes the limit only
  // once.
  common::Duration change_interval = std::chrono::milliseconds(500);
  // After an overload, the reduced limit becomes a ceiling for fast growth. The
  // first slot above the ceiling is added after this time; the wait is halved
  // for each further slot.
  common::Duration growth_retry_interval = std::chrono::seconds(15);
  // If no light load was observed for this long, the limit is halved for one
  // measurement window (a probe). Without probes, an upstream that is
  // overloaded from the start would look normal.
  common::Duration probe_interval = std::chrono::minutes(10);
  // Chunks of a stream with fewer tokens are not measured, because they say
  // little about the time per token.
  std::uint64_t min_chunk_tokens = 4;
};

// Statistics of one measured time: its best (lowest smoothed) value, and the
// sum and count of the samples since the last change of the limit.
struct LatencySignal {
  double best = 0;       // 0: none yet
  double recent = 0;     // exponentially weighted average
  int sample_count = 0;  // including samples that are not in `count`
  double sum = 0;
  int count = 0;
};

// Number of prompt length classes, one per power of two. The time to first
// token is compared only among prompts of similar length.
inline constexpr std::size_t kPromptLengthClasses = 24;

struct ConcurrencyLimit {
  LimitOptions options;
  config::PoolConfig pool;
  double limit = 0;
  // Seconds per token (model pools) or per call (plain pools).
  LatencySignal unit_time;
  std::array<LatencySignal, kPromptLengthClasses> first_token;  // seconds
  double first_token_ratio_sum = 0;
  int first_token_count = 0;
  common::TimePoint last_change;
  // Limit above which growth is slow because of an earlier overload; 0: none.
  double ceiling = 0;
  int steps_beyond_ceiling = 0;
  double unit_time_before_probe = 0;
  double limit_after_probe = 0;  // 0: no probe is running
  int light_load_samples = 0;
  common::TimePoint last_light_load;
};

// The period of a measurement, and the number of requests that were running at
// the upstream.
struct LimitSample {
  int running = 0;
  common::TimePoint period_start;  // it ends when the sample is recorded
};

// Applies the slot range of a pool; keeps the limit and the measurements.
void Configure(ConcurrencyLimit& limit, const config::PoolConfig& pool);

// The current limit, rounded down to whole slots.
int SlotLimit(const ConcurrencyLimit& limit);

// Records that `tokens` tokens were generated during the period of `sample`.
// For plain pools, the period is that of one call and `tokens` is ignored.
void RecordUnitTime(ConcurrencyLimit& limit, const LimitSample& sample,
                    std::uint64_t tokens, common::TimePoint now);

// Records that the response to a prompt began `wait` after its request was
// sent.
void RecordFirstToken(ConcurrencyLimit& limit, const LimitSample& sample,
                      std::uint64_t prompt_tokens, common::Duration wait,
                      common::TimePoint now);

// Records that the upstream refused, or never answered, one of `running`
// requests for lack of capacity.
void RecordOverload(ConcurrencyLimit& limit, int running,
                    common::TimePoint now);

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_CORE_ADMISSION_CONCURRENCYLIMIT_H_
