#ifndef SHALLOTBEAM_CORE_SCHEDULING_READINGPACE_H_
#define SHALLOTBEAM_CORE_SCHEDULING_READINGPACE_H_

#include <optional>

#include "Common/Clock.h"

// How fast an engine reads prompts, learnt from the times of first events.
namespace shallotbeam::scheduling {

struct ReadingPaceOptions {
  // Before anything is learnt: 100 tokens a ms, typical of the engines that we
  // have seen; learning replaces it within a few requests.
  double initial_ns_per_token = 10'000;
  double fastest_ns_per_token = 1'000;
  double slowest_ns_per_token = 200'000;
  // Tokens over which older observations fade to 1/e.
  double memory_tokens = 60'000;
  // Between a request's arrival at an idle engine and its first event, besides
  // reading.
  common::Duration initial_base = std::chrono::milliseconds(70);
  // Weight of a new observation of the base.
  double base_weight = 0.1;
};

struct ReadingPace {
  ReadingPaceOptions options;
  double observed_ns = 0;
  double observed_tokens = 0;
  std::optional<common::Duration> base;
  std::optional<common::TimePoint> last_first_event;
};

// A request whose `tokens` uncached prompt tokens were read has sent its first
// event.
void ObserveFirstEvent(ReadingPace& pace, common::TimePoint sent,
                       common::TimePoint now, int tokens);

double NanosecondsPerToken(const ReadingPace& pace);
common::Duration ReadingTime(const ReadingPace& pace, double tokens);
common::Duration BaseTime(const ReadingPace& pace);

}  // namespace shallotbeam::scheduling

#endif  // SHALLOTBEAM_CORE_SCHEDULING_READINGPACE_H_
