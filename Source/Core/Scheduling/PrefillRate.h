#ifndef SHALLOTBEAM_CORE_SCHEDULING_PREFILLRATE_H_
#define SHALLOTBEAM_CORE_SCHEDULING_PREFILLRATE_H_

#include <optional>

#include "Common/Clock.h"

// Estimates the speed at which an engine processes prompts (prefill) from the
// times of the first events of its response streams.
namespace shallotbeam::scheduling {

struct PrefillRateOptions {
  // Initial assumption: 100 tokens per millisecond, typical of the engines seen
  // so far. Observations replace it within a few requests.
  double initial_ns_per_token = 10'000;
  double min_ns_per_token = 1'000;
  double max_ns_per_token = 200'000;
  // Older observations decay to 1/e over this number of tokens.
  double decay_tokens = 60'000;
  // Initial assumption for the base latency: the time between a request's
  // arrival at an idle engine and its first event, without prefill.
  common::Duration initial_base_latency = std::chrono::milliseconds(70);
  // Weight of a new observation of the base latency.
  double base_latency_weight = 0.1;
};

struct PrefillRate {
  PrefillRateOptions options;
  double observed_ns = 0;
  double observed_tokens = 0;
  std::optional<common::Duration> base_latency;
  std::optional<common::TimePoint> last_first_event;
};

// Records the first event of a request that was sent at `sent` and had `tokens`
// uncached prompt tokens.
void ObserveFirstEvent(PrefillRate& rate, common::TimePoint sent,
                       common::TimePoint now, int tokens);

double NanosecondsPerToken(const PrefillRate& rate);
common::Duration PrefillTime(const PrefillRate& rate, double tokens);
common::Duration BaseLatency(const PrefillRate& rate);

}  // namespace shallotbeam::scheduling

#endif  // SHALLOTBEAM_CORE_SCHEDULING_PREFILLRATE_H_
