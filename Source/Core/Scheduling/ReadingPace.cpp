#include "Scheduling/ReadingPace.h"

#include <algorithm>
#include <cmath>

namespace shallotbeam::scheduling {

namespace {

// Observed tokens that count as much as the initial assumption.
constexpr double kPriorTokens = 4'000;

}  // namespace

void ObserveFirstEvent(ReadingPace& pace, common::TimePoint sent,
                       common::TimePoint now, int tokens) {
  const auto previous = pace.last_first_event;
  pace.last_first_event = now;
  // An engine reads one prompt after the other, and a first event follows the
  // end of reading by the base time. So this one was read in the time between
  // the two first events if it was there when the previous one had been read.
  if (previous && *previous - BaseTime(pace) > sent) {
    const double keep = std::exp(-tokens / pace.options.memory_tokens);
    pace.observed_ns = pace.observed_ns * keep +
                       static_cast<double>((now - *previous).count());
    pace.observed_tokens = pace.observed_tokens * keep + tokens;
    return;
  }
  const common::Duration base =
      std::max(now - sent - ReadingTime(pace, tokens), common::Duration(0));
  if (!pace.base) pace.base = pace.options.initial_base;
  const double weight = pace.options.base_weight;
  const auto blended = static_cast<double>(pace.base->count()) * (1 - weight) +
                       static_cast<double>(base.count()) * weight;
  pace.base = common::Duration(static_cast<std::int64_t>(blended));
}

double NanosecondsPerToken(const ReadingPace& pace) {
  const ReadingPaceOptions& options = pace.options;
  const double ns =
      pace.observed_ns + options.initial_ns_per_token * kPriorTokens;
  return std::clamp(ns / (pace.observed_tokens + kPriorTokens),
                    options.fastest_ns_per_token, options.slowest_ns_per_token);
}

common::Duration ReadingTime(const ReadingPace& pace, double tokens) {
  return common::Duration(
      static_cast<std::int64_t>(tokens * NanosecondsPerToken(pace)));
}

common::Duration BaseTime(const ReadingPace& pace) {
  return pace.base.value_or(pace.options.initial_base);
}

}  // namespace shallotbeam::scheduling
