#ifndef SHALLOTBEAM_CORE_ADMISSION_CONCURRENCYLIMIT_H_
#define SHALLOTBEAM_CORE_ADMISSION_CONCURRENCYLIMIT_H_

#include <array>
#include <cstdint>

#include "Common/Clock.h"
#include "Config/Model.h"

// Finds how many requests an upstream runs well at once.
namespace shallotbeam::admission {

struct LimitOptions {
  // Mean time per token (or per call) over the best seen: the limit grows below
  // `grow_below`, shrinks above `shrink_above` and rests between them, so that
  // it settles instead of oscillating.
  double grow_below = 1.2;
  double shrink_above = 1.5;
  // Same for the time to first token. It varies with prefix cache hits, so only
  // a queue in the engine, which costs many times the usual, counts.
  double first_token_grow_below = 2;
  double first_token_shrink_above = 4;
  // A time to first token below this is never a sign of a queue.
  common::Duration first_token_floor = std::chrono::milliseconds(100);
  double backoff = 0.8;  // factor of the smallest decrease
  double max_backoff = 0.5;
  // One change per interval, so that one burst counts once.
  common::Duration change_interval = std::chrono::milliseconds(500);
  // After the upstream was found overloaded, growth beyond the limit that was
  // then chosen waits this long for the first slot and half as long for each
  // further one.
  common::Duration retry_interval = std::chrono::seconds(15);
  // An upstream that was never seen under light load for this long gets half
  // the limit for one window: without that, an upstream overloaded from the
  // start would look normal.
  common::Duration probe_interval = std::chrono::minutes(10);
  // Shorter pieces of a stream say little about the time between tokens.
  std::uint64_t min_tokens = 4;
};

// Mean of a measure since the last change of the limit, and its lowest value.
struct LimitSignal {
  double best = 0;    // 0: none yet
  double recent = 0;  // exponentially weighted average
  int seen = 0;
  double sum = 0;
  int count = 0;
};

// Classes of prompt length, by the power of two: the time to first token is
// compared among prompts of similar length only.
inline constexpr std::size_t kPromptClasses = 24;

struct ConcurrencyLimit {
  LimitOptions options;
  config::PoolConfig pool;
  double limit = 0;
  LimitSignal pace;  // seconds per token or call
  std::array<LimitSignal, kPromptClasses> first_token;  // seconds
  double first_token_ratio_sum = 0;
  int first_token_count = 0;
  common::TimePoint changed;
  // Where growth became slow because of an earlier overload; 0: nowhere.
  double ceiling = 0;
  int steps_beyond = 0;  // growth steps beyond it
  double pace_before_probe = 0;
  double after_probe = 0;  // limit to return to; 0: not probing
  int light_samples = 0;
  common::TimePoint light_load_seen;
};

// What was measured, with the number of requests running at the upstream then.
struct LimitSample {
  int running = 0;
  common::TimePoint begun;  // the measured period ends now
};

// Takes over the limits of a pool; keeps what was learnt.
void Configure(ConcurrencyLimit& limit, const config::PoolConfig& pool);

int Slots(const ConcurrencyLimit& limit);

// `tokens` were generated since `begun`; for plain pools one call.
void NotePace(ConcurrencyLimit& limit, const LimitSample& sample,
              std::uint64_t tokens, common::TimePoint now);

// The response to a prompt began `wait` after its request was sent.
void NoteFirstToken(ConcurrencyLimit& limit, const LimitSample& sample,
                    std::uint64_t prompt_tokens, common::Duration wait,
                    common::TimePoint now);

// The upstream refused one of `running` requests for lack of capacity.
void NoteOverload(ConcurrencyLimit& limit, int running, common::TimePoint now);

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_CORE_ADMISSION_CONCURRENCYLIMIT_H_
