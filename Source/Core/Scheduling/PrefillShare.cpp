#include "Scheduling/PrefillShare.h"

#include <algorithm>

namespace shallotbeam::scheduling {

void IncreaseShare(PrefillShare& prefill, common::TimePoint now, int running) {
  if (prefill.last_update != common::TimePoint() && running > 0) {
    const PrefillShareOptions& options = prefill.options;
    const double seconds =
        std::chrono::duration<double>(now - prefill.last_update).count();
    const bool stable = now - prefill.last_stall > options.stable_after;
    const double increase = stable ? options.stable_increase_per_second
                                   : options.increase_per_second;
    prefill.share =
        std::min(prefill.share + seconds * increase, options.max_share);
  }
  prefill.last_update = now;
}

void OnStall(PrefillShare& prefill, common::TimePoint now, int running) {
  prefill.last_stall = now;
  const double fraction =
      prefill.options.decrease_fraction / std::max(running, 1);
  prefill.share =
      std::max(prefill.share * (1 - fraction), prefill.options.min_share);
}

}  // namespace shallotbeam::scheduling
