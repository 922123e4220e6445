#include "Admission/ConcurrencyLimit.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace shallotbeam::admission {

namespace {

constexpr double kSmoothing = 0.2;
constexpr int kMinSamples = 4;
// Smoothing factor with which the best value follows an upstream that became
// slower.
constexpr double kBestDrift = 0.05;

double ToSeconds(common::Duration period) {
  return std::chrono::duration<double>(period).count();
}

// Under light load, a value above the best one means that the upstream became
// slower, not that it is overloaded.
bool IsLightLoad(const ConcurrencyLimit& limit, int running) {
  return running * 2 <= SlotLimit(limit) || running <= limit.pool.min_slots;
}

void AddSample(LatencySignal& signal, double value, bool light_load) {
  signal.recent = signal.sample_count == 0
                      ? value
                      : signal.recent + kSmoothing * (value - signal.recent);
  ++signal.sample_count;
  // A single sample may be low by chance.
  if (signal.best == 0 && signal.sample_count < kMinSamples) return;
  if (signal.best == 0 || signal.recent < signal.best) {
    signal.best = signal.recent;
  } else if (light_load) {
    signal.best += kBestDrift * (signal.recent - signal.best);
  }
}

// Only samples taken while all slots are in use show whether the limit fits the
// capacity. After a decrease, the requests above the limit have to end first.
bool IsAtCapacity(const ConcurrencyLimit& limit, const LimitSample& sample) {
  return sample.running == SlotLimit(limit) &&
         sample.period_start >= limit.last_change;
}

void SetLimit(ConcurrencyLimit& limit, double value, common::TimePoint now) {
  limit.limit =
      std::clamp<double>(value, limit.pool.min_slots, limit.pool.max_slots);
  limit.last_change = now;
  limit.unit_time.sum = 0;
  limit.unit_time.count = 0;
  limit.first_token_ratio_sum = 0;
  limit.first_token_count = 0;
}

// The limit grows by one eighth at a time, so that a large upstream is fully
// used within minutes. The ratio of `shrink_above` to `grow_below` is larger
// than the ratio of one such step, so that a single step by one eighth does not
// cause a decrease.
constexpr double kGrowthFactor = 0.125;

void Grow(ConcurrencyLimit& limit, common::TimePoint now) {
  if (limit.ceiling == 0 || limit.limit + 1 <= limit.ceiling) {
    const double next =
        limit.limit + std::max(1.0, limit.limit * kGrowthFactor);
    const double end = limit.ceiling == 0 ? next : limit.ceiling;
    return SetLimit(limit, std::min(next, end), now);
  }
  const int halvings = std::min(limit.steps_beyond_ceiling, 10);
  const auto wait = limit.options.growth_retry_interval / (1 << halvings);
  if (now - limit.last_change < wait) return;
  ++limit.steps_beyond_ceiling;
  SetLimit(limit, limit.limit + 1, now);
}

void Shrink(ConcurrencyLimit& limit, double value, common::TimePoint now) {
  SetLimit(limit, value, now);
  limit.ceiling = limit.limit;
  limit.steps_beyond_ceiling = 0;
}

double MeanUnitTime(const ConcurrencyLimit& limit) {
  return limit.unit_time.count == 0
             ? 0
             : limit.unit_time.sum / limit.unit_time.count;
}

void StartProbe(ConcurrencyLimit& limit, common::TimePoint now) {
  limit.unit_time_before_probe = MeanUnitTime(limit);
  limit.limit_after_probe = limit.limit;
  SetLimit(limit, limit.limit / 2, now);
}

// If the time per unit (token or call) was much shorter at half the limit, the
// upstream was overloaded: half the limit becomes the new limit and is probed
// in turn.
void EndProbe(ConcurrencyLimit& limit, common::TimePoint now) {
  const double before = std::exchange(limit.limit_after_probe, 0);
  const double unit_time = MeanUnitTime(limit);
  limit.unit_time.best = unit_time;
  if (unit_time * limit.options.shrink_above < limit.unit_time_before_probe) {
    limit.light_load_samples = 0;
    return Shrink(limit, limit.limit, now);
  }
  limit.last_light_load = now;
  limit.light_load_samples = kMinSamples;
  SetLimit(limit, before, now);
}

bool ProbeDue(const ConcurrencyLimit& limit, common::TimePoint now) {
  if (SlotLimit(limit) / 2 < limit.pool.min_slots) return false;
  return limit.light_load_samples < kMinSamples ||
         now - limit.last_light_load >= limit.options.probe_interval;
}

void RecordLoad(ConcurrencyLimit& limit, int running, common::TimePoint now) {
  if (!IsLightLoad(limit, running)) return;
  limit.last_light_load = now;
  ++limit.light_load_samples;
}

void AdjustLimit(ConcurrencyLimit& limit, common::TimePoint now) {
  const LimitOptions& options = limit.options;
  if (now - limit.last_change < options.change_interval) return;
  const int required_samples = std::max(kMinSamples, SlotLimit(limit));
  const bool has_unit_time =
      limit.unit_time.count >= required_samples && limit.unit_time.best > 0;
  const bool has_first_token =
      limit.first_token_count >= std::max(kMinSamples, SlotLimit(limit) / 4);
  if (limit.limit_after_probe > 0) {
    if (has_unit_time) EndProbe(limit, now);
    return;
  }
  const double unit_time_ratio =
      has_unit_time
          ? limit.unit_time.sum / limit.unit_time.count / limit.unit_time.best
          : 0;
  const double first_token_ratio =
      has_first_token ? limit.first_token_ratio_sum / limit.first_token_count
                      : 0;
  if (unit_time_ratio > options.shrink_above) {
    // If the time per token is proportional to the batch size, it becomes
    // `grow_below` times the best value at the new limit.
    const double factor = std::clamp(options.grow_below / unit_time_ratio,
                                     options.large_decrease_factor,
                                     options.small_decrease_factor);
    return Shrink(limit, limit.limit * factor, now);
  }
  if (first_token_ratio > options.first_token_shrink_above) {
    return Shrink(limit, limit.limit * options.small_decrease_factor, now);
  }
  if (!has_unit_time) return;
  if (ProbeDue(limit, now)) return StartProbe(limit, now);
  if (unit_time_ratio >= options.grow_below) return;
  // Queueing in the engine is visible only in the time to first token.
  const bool needs_first_token = limit.pool.type == config::PoolType::kModel;
  if (needs_first_token && !has_first_token) return;
  if (first_token_ratio >= options.first_token_grow_below) return;
  if (limit.limit < limit.pool.max_slots) Grow(limit, now);
}

}  // namespace

void Configure(ConcurrencyLimit& limit, const config::PoolConfig& pool) {
  limit.pool = pool;
  if (limit.limit == 0) limit.limit = pool.initial_slots;
  limit.limit = std::clamp<double>(limit.limit, pool.min_slots, pool.max_slots);
}

int SlotLimit(const ConcurrencyLimit& limit) {
  return static_cast<int>(limit.limit);
}

void RecordUnitTime(ConcurrencyLimit& limit, const LimitSample& sample,
                    std::uint64_t tokens, common::TimePoint now) {
  const bool plain = limit.pool.type == config::PoolType::kPlain;
  if (!plain && tokens < limit.options.min_chunk_tokens) return;
  const double value = ToSeconds(now - sample.period_start) /
                       static_cast<double>(plain ? 1 : tokens);
  if (value <= 0) return;
  RecordLoad(limit, sample.running, now);
  AddSample(limit.unit_time, value, IsLightLoad(limit, sample.running));
  if (!IsAtCapacity(limit, sample)) return;
  limit.unit_time.sum += value;
  ++limit.unit_time.count;
  AdjustLimit(limit, now);
}

void RecordFirstToken(ConcurrencyLimit& limit, const LimitSample& sample,
                      std::uint64_t prompt_tokens, common::Duration wait,
                      common::TimePoint now) {
  const double value = ToSeconds(wait);
  if (value <= 0) return;
  const std::size_t index = std::min<std::size_t>(std::bit_width(prompt_tokens),
                                                  kPromptLengthClasses - 1);
  LatencySignal& signal = limit.first_token.at(index);
  AddSample(signal, value, IsLightLoad(limit, sample.running));
  if (!IsAtCapacity(limit, sample) || signal.best == 0) return;
  const bool short_wait = wait < limit.options.first_token_floor;
  limit.first_token_ratio_sum += short_wait ? 1 : value / signal.best;
  ++limit.first_token_count;
  AdjustLimit(limit, now);
}

void RecordOverload(ConcurrencyLimit& limit, int running,
                    common::TimePoint now) {
  if (now - limit.last_change < limit.options.change_interval) return;
  limit.limit_after_probe = 0;
  // The other requests were accepted, so they are within the capacity.
  const double accepted =
      std::min(limit.limit, static_cast<double>(running - 1));
  Shrink(limit,
         std::max(limit.limit * limit.options.small_decrease_factor, accepted),
         now);
}

}  // namespace shallotbeam::admission
