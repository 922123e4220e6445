#include "Balancing/LongPromptPartition.h"

#include <algorithm>
#include <cmath>

#include "Balancing/Affinity.h"

namespace shallotbeam::balancing {

namespace {

// Rendezvous hashing key that ranks engines to select those reserved for long
// prompts, independently of the ranking for shared prefixes.
constexpr std::uint64_t kLongPromptRankKey = 0x6c616e65;

}  // namespace

bool IsLongPrompt(const LongPromptOptions& options,
                  const common::Prompt& prompt, double ns_per_token,
                  common::Duration event_gap_target) {
  const int unshared_tokens =
      prompt.prompt_tokens - common::SharedTokens(prompt);
  const double gap = static_cast<double>(event_gap_target.count());
  return gap > 0 &&
         unshared_tokens * ns_per_token > gap * options.max_gap_fraction;
}

EnginePartition PartitionEngines(
    const LongPromptOptions& options,
    const std::vector<const common::UpstreamName*>& engines) {
  EnginePartition split;
  const auto n = static_cast<int>(engines.size());
  if (n < options.min_engines) {
    split.others = engines;
    return split;
  }
  const auto ranked = RankByPrefix(kLongPromptRankKey, engines);
  const auto size =
      std::max<std::int64_t>(std::llround(n * options.engine_fraction), 1);
  const auto reserved_end = ranked.begin() + size;
  for (const common::UpstreamName* it : engines) {
    const bool is_reserved =
        std::find(ranked.begin(), reserved_end, it) != reserved_end;
    (is_reserved ? split.long_prompt_engines : split.others).push_back(it);
  }
  return split;
}

}  // namespace shallotbeam::balancing
