#include "Scheduling/PrefillRate.h"

#include <algorithm>
#include <cmath>

namespace shallotbeam::scheduling {

namespace {

// Weight of the initial assumption, in observed tokens.
constexpr double kPriorTokens = 4'000;

}  // namespace

void ObserveFirstEvent(PrefillRate& rate, common::TimePoint sent,
                       common::TimePoint now, int tokens) {
  const auto previous = rate.last_first_event;
  rate.last_first_event = now;
  // An engine processes one prompt after the other, and a first event follows
  // the end of its prefill by the base latency. So if this prompt was sent
  // before the previous prefill ended, its own prefill took the time between
  // the two first events.
  if (previous && *previous - BaseLatency(rate) > sent) {
    const double decay = std::exp(-tokens / rate.options.decay_tokens);
    rate.observed_ns = rate.observed_ns * decay +
                       static_cast<double>((now - *previous).count());
    rate.observed_tokens = rate.observed_tokens * decay + tokens;
    return;
  }
  const common::Duration base_latency =
      std::max(now - sent - PrefillTime(rate, tokens), common::Duration(0));
  if (!rate.base_latency) rate.base_latency = rate.options.initial_base_latency;
  const double weight = rate.options.base_latency_weight;
  const auto blended =
      static_cast<double>(rate.base_latency->count()) * (1 - weight) +
      static_cast<double>(base_latency.count()) * weight;
  rate.base_latency = common::Duration(static_cast<std::int64_t>(blended));
}

double NanosecondsPerToken(const PrefillRate& rate) {
  const PrefillRateOptions& options = rate.options;
  const double ns =
      rate.observed_ns + options.initial_ns_per_token * kPriorTokens;
  return std::clamp(ns / (rate.observed_tokens + kPriorTokens),
                    options.min_ns_per_token, options.max_ns_per_token);
}

common::Duration PrefillTime(const PrefillRate& rate, double tokens) {
  return common::Duration(
      static_cast<std::int64_t>(tokens * NanosecondsPerToken(rate)));
}

common::Duration BaseLatency(const PrefillRate& rate) {
  return rate.base_latency.value_or(rate.options.initial_base_latency);
}

}  // namespace shallotbeam::scheduling
