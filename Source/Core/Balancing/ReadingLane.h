#ifndef SHALLOTBEAM_CORE_BALANCING_READINGLANE_H_
#define SHALLOTBEAM_CORE_BALANCING_READINGLANE_H_

#include <vector>

#include "Common/Clock.h"
#include "Common/Prompt.h"
#include "Common/Types.h"

// Load pattern: among many prompts of usual size come a few very long ones. An
// engine reads a prompt in chunks, one in each step, so that a long one
// stretches the pauses of all streams that run there and delays all prompts
// behind it. A few engines, the lane, read the long prompts, and the others
// keep their streams on time. All gateways agree on the lane without messages.
namespace shallotbeam::balancing {

struct ReadingLaneOptions {
  // Share of the engines that form the lane, about the share of all reading
  // that long prompts take in the deployments that we have seen.
  double engines_share = 0.125;
  // Fewer engines have no lane; it would be too large a part of them.
  int fewest_engines = 6;
  // A prompt is long if reading it takes more than this share of the longest
  // pause that callers accept; the rest is for the steps in between and for
  // what is read just before and after.
  double pause_share = 0.6;
};

// Whether `prompt` is long, at an engine that reads a token in
// `ns_per_token`, for callers that accept pauses up to `pause_target`. Parts
// that other requests share are taken for cached.
bool IsLongPrompt(const ReadingLaneOptions& options,
                  const common::Prompt& prompt, double ns_per_token,
                  common::Duration pause_target);

// The engines of a pool in two parts, each in the order given.
struct LaneSplit {
  std::vector<const common::UpstreamName*> lane;
  std::vector<const common::UpstreamName*> others;
};
LaneSplit SplitLane(const ReadingLaneOptions& options,
                    const std::vector<const common::UpstreamName*>& engines);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_READINGLANE_H_
