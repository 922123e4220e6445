#include "Overload/LoadShedder.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

#include "Common/Fading.h"
#include "Common/MaxMin.h"

namespace shallotbeam::overload {

namespace {

// Arrivals below this are forgotten.
constexpr double kNegligible = 0.01;

void Fade(LoadShedder& shedder, common::TimePoint now) {
  const double keep =
      common::FadeFactor(now - shedder.faded, shedder.options.memory);
  shedder.faded = now;
  for (auto& [workspace, cost] : shedder.arrivals) cost *= keep;
  std::erase_if(shedder.arrivals,
                [](const auto& it) { return it.second < kNegligible; });
}

}  // namespace

void OnTick(LoadShedder& shedder, common::TimePoint now,
            common::Duration late) {
  const LoadShedderOptions& options = shedder.options;
  const double mean =
      static_cast<double>(shedder.lateness.count()) *
          (1 - options.lateness_weight) +
      static_cast<double>(std::min(late, options.longest_lateness).count()) *
          options.lateness_weight;
  shedder.lateness = common::Duration(static_cast<std::int64_t>(mean));
  if (now < shedder.next_adjustment) return;
  shedder.next_adjustment = now + options.adjust_interval;
  Fade(shedder, now);
  const double limits =
      mean / static_cast<double>(options.lateness_limit.count());
  if (limits > 1) {
    shedder.share *= limits > options.steep_limits ? options.steep_decrease
                                                   : options.decrease;
    shedder.share = std::max(shedder.share, options.least_share);
  } else {
    shedder.share = std::min(shedder.share + options.increase, 1.0);
  }
  if (shedder.share < options.overloaded_below) shedder.overloaded = true;
  if (shedder.share > options.recovered_above) shedder.overloaded = false;
  std::vector<double> costs;
  costs.reserve(shedder.arrivals.size());
  for (const auto& [workspace, cost] : shedder.arrivals) costs.push_back(cost);
  const double total = std::accumulate(costs.begin(), costs.end(), 0.0);
  shedder.level = common::MaxMinShare(std::move(costs), total * shedder.share);
}

bool ShouldShed(LoadShedder& shedder, const common::WorkspaceName& workspace,
                double cost, double draw) {
  double& arrived = shedder.arrivals[workspace];
  arrived += cost;
  if (shedder.share >= 1 || arrived <= shedder.level) return false;
  return draw >= shedder.level / arrived;
}

}  // namespace shallotbeam::overload
