#include "Scheduling/ReadingPace.h"

#include <algorithm>
#include <cmath>

namespace shallotbeam::scheduling {

namespace {

// Weight of the initial assumption, in observed tokens.
constexpr double kPriorTokens = 4'000;

}  // namespace

void ObserveFirstEvent(ReadingPace& pace, common::TimePoint sent,
                       common::TimePoint now, int tokens) {
  const auto previous = pace.last_first_event;
  pace.last_first_event = now;
  // An engine processes one prompt after the other, and a first event follows
  // the end of its prefill by the base latency. So if this prompt was sent
  // before the previous prefill ended, its own prefill took the time between
  // the two first events.
  if (previous && *previous - BaseTime(pace) > sent) {
    const double decay = std::exp(-tokens / pace.options.decay_tokens);
    pace.observed_ns = pace.observed_ns * decay +
                       static_cast<double>((now - *previous).count());
    pace.observed_tokens = pace.observed_tokens * decay + tokens;
    return;
  }
  const common::Duration base_latency =
      std::max(now - sent - PrefillTime(pace, tokens), common::Duration(0));
  if (!pace.base_latency) pace.base_latency = pace.options.initial_base_latency;
  const double weight = pace.options.base_latency_weight;
  const auto blended =
      static_cast<double>(pace.base_latency->count()) * (1 - weight) +
      static_cast<double>(base_latency.count()) * weight;
  pace.base_latency = common::Duration(static_cast<std::int64_t>(blended));
}

double NanosecondsPerToken(const ReadingPace& pace) {
  const ReadingPaceOptions& options = pace.options;
  const double ns =
      pace.observed_ns + options.initial_ns_per_token * kPriorTokens;
  return std::clamp(ns / (pace.observed_tokens + kPriorTokens),
                    options.min_ns_per_token, options.max_ns_per_token);
}

common::Duration PrefillTime(const ReadingPace& pace, double tokens) {
  return common::Duration(
      static_cast<std::int64_t>(tokens * NanosecondsPerToken(pace)));
}

common::Duration BaseTime(const ReadingPace& pace) {
  return pace.base_latency.value_or(pace.options.initial_base_latency);
}

}  // namespace shallotbeam::scheduling
