#include "Balancing/LongPromptDemand.h"

#include <algorithm>
#include <cmath>

#include "Common/ExponentialDecay.h"

namespace shallotbeam::balancing {

bool RecordDemand(LongPromptDemand& demand, common::TimePoint now,
                  int unshared_tokens, bool is_long) {
  const LongPromptDemandOptions& options = demand.options;
  const double decay = common::DecayFactor(
      std::max(now - demand.updated, common::Duration(0)), options.memory);
  const double tokens =
      std::clamp(unshared_tokens, 0, options.max_prompt_tokens);
  demand.updated = now;
  demand.all_tokens = demand.all_tokens * decay + tokens;
  demand.long_tokens = demand.long_tokens * decay + (is_long ? tokens : 0);
  const double share =
      (demand.long_tokens + options.prior_tokens * options.min_fraction) /
      (demand.all_tokens + options.prior_tokens);
  const double target =
      std::clamp(share, options.min_fraction, options.max_fraction);
  // The limits are reached however near they are.
  const bool at_limit =
      target == options.min_fraction || target == options.max_fraction;
  if (target == demand.fraction ||
      (!at_limit && std::abs(target - demand.fraction) < options.min_change)) {
    return false;
  }
  demand.fraction = target;
  return true;
}

}  // namespace shallotbeam::balancing
