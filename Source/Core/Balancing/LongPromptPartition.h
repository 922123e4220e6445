#ifndef SHALLOTBEAM_CORE_BALANCING_LONGPROMPTPARTITION_H_
#define SHALLOTBEAM_CORE_BALANCING_LONGPROMPTPARTITION_H_

#include <vector>

#include "Common/Clock.h"
#include "Common/Prompt.h"
#include "Common/Types.h"

// Reserves a few engines of a pool for very long prompts. An engine processes a
// prompt (prefill) in chunks, one chunk in each step. A long prompt therefore
// lengthens the event gaps, the times between two events, of all streams on its
// engine and delays all prompts queued behind it. With reserved engines for
// long prompts, the other engines keep their streams on time. All gateways
// compute the same partition, so they need no messages to agree on it.
namespace shallotbeam::balancing {

struct LongPromptOptions {
  // Fraction of the engines that are reserved. It is about the fraction of
  // prefill work that long prompts cause in the deployments seen so far.
  double engine_fraction = 0.125;
  // A smaller pool reserves no engines, because one engine would be too large a
  // fraction of it.
  int min_engines = 6;
  // A prompt is long if its prefill takes more than this fraction of the
  // longest event gap that callers accept. The remaining time is needed for the
  // decoding steps between its chunks and for prompts processed just before and
  // after it.
  double max_gap_fraction = 0.6;
};

// Returns whether `prompt` is long for an engine whose prefill takes
// `ns_per_token` and for callers that accept event gaps up to
// `event_gap_target`. Prompt parts that other requests share are assumed to be
// cached. Without a target (zero) no prompt is long.
bool IsLongPrompt(const LongPromptOptions& options,
                  const common::Prompt& prompt, double ns_per_token,
                  common::Duration event_gap_target);

// The engines of a pool in two groups, each in the given order.
struct EnginePartition {
  std::vector<const common::UpstreamName*> long_prompt_engines;
  std::vector<const common::UpstreamName*> others;
};
EnginePartition PartitionEngines(
    const LongPromptOptions& options,
    const std::vector<const common::UpstreamName*>& engines);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_LONGPROMPTPARTITION_H_
