#ifndef SHALLOTBEAM_CORE_BALANCING_LONGPROMPTDEMAND_H_
#define SHALLOTBEAM_CORE_BALANCING_LONGPROMPTDEMAND_H_

#include "Balancing/LongPromptPartition.h"
#include "Common/Clock.h"

// Follows the demand for long prompts at this gateway, to reserve as large a
// fraction of the engines for them as they make up of the prefill work. With
// fewer engines long prompts are refused while others are served; with more the
// others are. Reserved engines of all fractions are nested, so gateways whose
// demand differs a little agree on nearly all engines.
namespace shallotbeam::balancing {

struct LongPromptDemandOptions {
  double min_fraction = LongPromptOptions().engine_fraction;
  // Other prompts are the more urgent ones and keep half of the engines.
  double max_fraction = 0.5;
  // Time constant with which demand is forgotten.
  common::Duration memory = std::chrono::seconds(20);
  // Demand at `min_fraction` that is assumed in addition to the recorded one,
  // so that a single prompt after a quiet time moves little.
  double prior_tokens = 100'000;
  // A prompt counts as no more than this, whatever length its caller states.
  int max_prompt_tokens = 200'000;
  // The fraction changes only by more than this. Each change moves prefixes to
  // engines that don't have them cached.
  double min_change = 0.08;
};

struct LongPromptDemand {
  LongPromptDemandOptions options;
  double long_tokens = 0;
  double all_tokens = 0;
  common::TimePoint updated;
  // Fraction of the engines to reserve.
  double fraction = options.min_fraction;
};

// Records a request that has just arrived, whose prompt has `unshared_tokens`.
// Returns whether the fraction has changed.
bool RecordDemand(LongPromptDemand& demand, common::TimePoint now,
                  int unshared_tokens, bool is_long);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_LONGPROMPTDEMAND_H_
