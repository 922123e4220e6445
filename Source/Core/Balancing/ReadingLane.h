#ifndef SHALLOTBEAM_CORE_BALANCING_READINGLANE_H_
#define SHALLOTBEAM_CORE_BALANCING_READINGLANE_H_

#include <vector>

#include "Common/Clock.h"
#include "Common/Prompt.h"
#include "Common/Types.h"

// Reserves a few engines of a pool, called the lane, for very long prompts. An
// engine processes ("reads") a prompt in chunks, one chunk in each step. A long
// prompt therefore lengthens the pauses of all streams on its engine and delays
// all prompts queued behind it. With the lane, the other engines keep their
// streams on time. All gateways compute the same lane, so they need no messages
// to agree on it.
namespace shallotbeam::balancing {

struct ReadingLaneOptions {
  // Fraction of the engines that form the lane. It is about the fraction of
  // prefill work that long prompts cause in the deployments seen so far.
  double engine_fraction = 0.125;
  // A smaller pool has no lane, because one engine would be too large a
  // fraction of it.
  int min_engines = 6;
  // A prompt is long if its prefill takes more than this fraction of the
  // longest pause that callers accept. The remaining time is needed for the
  // decoding steps between its chunks and for prompts read just before and
  // after it.
  double max_pause_fraction = 0.6;
};

// Returns whether `prompt` is long for an engine whose prefill takes
// `ns_per_token` and for callers that accept pauses up to `pause_target`.
// Prompt parts that other requests share are assumed to be cached. Without a
// pause target (zero) no prompt is long.
bool IsLongPrompt(const ReadingLaneOptions& options,
                  const common::Prompt& prompt, double ns_per_token,
                  common::Duration pause_target);

// The engines of a pool in two groups, each in the given order.
struct LaneSplit {
  std::vector<const common::UpstreamName*> lane;
  std::vector<const common::UpstreamName*> others;
};
LaneSplit SplitLane(const ReadingLaneOptions& options,
                    const std::vector<const common::UpstreamName*>& engines);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_READINGLANE_H_
