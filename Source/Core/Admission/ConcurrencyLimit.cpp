#include "Admission/ConcurrencyLimit.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace shallotbeam::admission {

namespace {

constexpr double kSmoothing = 0.2;
constexpr int kMinSamples = 4;
// Speed at which the best value follows an upstream that became slower.
constexpr double kBestDrift = 0.05;

double ToSeconds(common::Duration period) {
  return std::chrono::duration<double>(period).count();
}

// Under light load a measure above the best means that the upstream became
// slower, not that it is overloaded.
bool LightLoad(const ConcurrencyLimit& limit, int running) {
  return running * 2 <= Slots(limit) || running <= limit.pool.min_slots;
}

void Feed(LimitSignal& signal, double value, bool light_load) {
  signal.recent = signal.seen == 0
                      ? value
                      : signal.recent + kSmoothing * (value - signal.recent);
  ++signal.seen;
  // One sample alone may be low by chance.
  if (signal.best == 0 && signal.seen < kMinSamples) return;
  if (signal.best == 0 || signal.recent < signal.best) {
    signal.best = signal.recent;
  } else if (light_load) {
    signal.best += kBestDrift * (signal.recent - signal.best);
  }
}

// Only a full upstream says something about its capacity; after a decrease the
// requests over the limit have to end first.
bool ShowsCapacity(const ConcurrencyLimit& limit, const LimitSample& sample) {
  return sample.running == Slots(limit) && sample.begun >= limit.changed;
}

void SetLimit(ConcurrencyLimit& limit, double value, common::TimePoint now) {
  limit.limit =
      std::clamp<double>(value, limit.pool.min_slots, limit.pool.max_slots);
  limit.changed = now;
  limit.pace.sum = 0;
  limit.pace.count = 0;
  limit.first_token_ratio_sum = 0;
  limit.first_token_count = 0;
}

// One eighth at once, so that a large upstream is filled within minutes; the
// band between growing and shrinking is wider than that.
constexpr double kGrowth = 0.125;

void Grow(ConcurrencyLimit& limit, common::TimePoint now) {
  if (limit.ceiling == 0 || limit.limit + 1 <= limit.ceiling) {
    const double next = limit.limit + std::max(1.0, limit.limit * kGrowth);
    const double end = limit.ceiling == 0 ? next : limit.ceiling;
    return SetLimit(limit, std::min(next, end), now);
  }
  const int halvings = std::min(limit.steps_beyond, 10);
  const auto wait = limit.options.retry_interval / (1 << halvings);
  if (now - limit.changed < wait) return;
  ++limit.steps_beyond;
  SetLimit(limit, limit.limit + 1, now);
}

void Shrink(ConcurrencyLimit& limit, double value, common::TimePoint now) {
  SetLimit(limit, value, now);
  limit.ceiling = limit.limit;
  limit.steps_beyond = 0;
}

double MeanPace(const ConcurrencyLimit& limit) {
  return limit.pace.count == 0 ? 0 : limit.pace.sum / limit.pace.count;
}

void StartProbe(ConcurrencyLimit& limit, common::TimePoint now) {
  limit.pace_before_probe = MeanPace(limit);
  limit.after_probe = limit.limit;
  SetLimit(limit, limit.limit / 2, now);
}

// If the pace was much better at half the limit, the upstream was overloaded:
// the half becomes the limit and is probed in turn.
void EndProbe(ConcurrencyLimit& limit, common::TimePoint now) {
  const double before = std::exchange(limit.after_probe, 0);
  const double pace = MeanPace(limit);
  limit.pace.best = pace;
  if (pace * limit.options.shrink_above < limit.pace_before_probe) {
    limit.light_samples = 0;
    return Shrink(limit, limit.limit, now);
  }
  limit.light_load_seen = now;
  limit.light_samples = kMinSamples;
  SetLimit(limit, before, now);
}

bool ProbeDue(const ConcurrencyLimit& limit, common::TimePoint now) {
  if (Slots(limit) / 2 < limit.pool.min_slots) return false;
  return limit.light_samples < kMinSamples ||
         now - limit.light_load_seen >= limit.options.probe_interval;
}

void NoteLoad(ConcurrencyLimit& limit, int running, common::TimePoint now) {
  if (!LightLoad(limit, running)) return;
  limit.light_load_seen = now;
  ++limit.light_samples;
}

void Decide(ConcurrencyLimit& limit, common::TimePoint now) {
  const LimitOptions& options = limit.options;
  if (now - limit.changed < options.change_interval) return;
  const int enough = std::max(kMinSamples, Slots(limit));
  const bool paced = limit.pace.count >= enough && limit.pace.best > 0;
  const bool waited =
      limit.first_token_count >= std::max(kMinSamples, Slots(limit) / 4);
  if (limit.after_probe > 0) {
    if (paced) EndProbe(limit, now);
    return;
  }
  const double pace =
      paced ? limit.pace.sum / limit.pace.count / limit.pace.best : 0;
  const double wait =
      waited ? limit.first_token_ratio_sum / limit.first_token_count : 0;
  if (pace > options.shrink_above) {
    // Lands where the time per token is `grow_below` times the best, if it is
    // proportional to the batch size.
    const double factor = std::clamp(options.grow_below / pace,
                                     options.max_backoff, options.backoff);
    return Shrink(limit, limit.limit * factor, now);
  }
  if (wait > options.first_token_shrink_above) {
    return Shrink(limit, limit.limit * options.backoff, now);
  }
  if (!paced) return;
  if (ProbeDue(limit, now)) return StartProbe(limit, now);
  if (pace >= options.grow_below) return;
  // A queue in the engine shows only in the time to first token.
  const bool needs_wait = limit.pool.type == config::PoolType::kModel;
  if (needs_wait && !waited) return;
  if (wait >= options.first_token_grow_below) return;
  if (limit.limit < limit.pool.max_slots) Grow(limit, now);
}

}  // namespace

void Configure(ConcurrencyLimit& limit, const config::PoolConfig& pool) {
  limit.pool = pool;
  if (limit.limit == 0) limit.limit = pool.initial_slots;
  limit.limit = std::clamp<double>(limit.limit, pool.min_slots, pool.max_slots);
}

int Slots(const ConcurrencyLimit& limit) {
  return static_cast<int>(limit.limit);
}

void NotePace(ConcurrencyLimit& limit, const LimitSample& sample,
              std::uint64_t tokens, common::TimePoint now) {
  const bool plain = limit.pool.type == config::PoolType::kPlain;
  if (!plain && tokens < limit.options.min_tokens) return;
  const double value =
      ToSeconds(now - sample.begun) / static_cast<double>(plain ? 1 : tokens);
  if (value <= 0) return;
  NoteLoad(limit, sample.running, now);
  Feed(limit.pace, value, LightLoad(limit, sample.running));
  if (!ShowsCapacity(limit, sample)) return;
  limit.pace.sum += value;
  ++limit.pace.count;
  Decide(limit, now);
}

void NoteFirstToken(ConcurrencyLimit& limit, const LimitSample& sample,
                    std::uint64_t prompt_tokens, common::Duration wait,
                    common::TimePoint now) {
  const double value = ToSeconds(wait);
  if (value <= 0) return;
  const std::size_t index =
      std::min<std::size_t>(std::bit_width(prompt_tokens), kPromptClasses - 1);
  LimitSignal& signal = limit.first_token.at(index);
  Feed(signal, value, LightLoad(limit, sample.running));
  if (!ShowsCapacity(limit, sample) || signal.best == 0) return;
  const bool short_wait = wait < limit.options.first_token_floor;
  limit.first_token_ratio_sum += short_wait ? 1 : value / signal.best;
  ++limit.first_token_count;
  Decide(limit, now);
}

void NoteOverload(ConcurrencyLimit& limit, int running, common::TimePoint now) {
  if (now - limit.changed < limit.options.change_interval) return;
  limit.after_probe = 0;
  // The other requests were accepted, so they fit.
  const double fits = std::min(limit.limit, static_cast<double>(running - 1));
  Shrink(limit, std::max(limit.limit * limit.options.backoff, fits), now);
}

}  // namespace shallotbeam::admission
