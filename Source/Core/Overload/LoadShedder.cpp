#include "Overload/LoadShedder.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

#include "Common/ExponentialDecay.h"
#include "Common/MaxMin.h"

namespace shallotbeam::overload {

namespace {

// Workspaces whose decayed cost is below this are removed.
constexpr double kNegligible = 0.01;

void DecayArrivals(LoadShedder& shedder, common::TimePoint now) {
  const double decay = common::DecayFactor(now - shedder.decayed_at,
                                           shedder.options.time_constant);
  shedder.decayed_at = now;
  for (auto& [workspace, cost] : shedder.arrivals) cost *= decay;
  std::erase_if(shedder.arrivals,
                [](const auto& it) { return it.second < kNegligible; });
}

}  // namespace

LoadShedderOptions OptionsBehindController() {
  LoadShedderOptions options;
  // A process that has used up its quota stands still for up to this long, and
  // callers accept that.
  options.tick_delay_limit = std::chrono::milliseconds(40);
  options.max_tick_delay = std::chrono::milliseconds(120);
  options.increase = 0.05;
  return options;
}

void OnTick(LoadShedder& shedder, common::TimePoint now,
            common::Duration late) {
  const LoadShedderOptions& options = shedder.options;
  const double mean =
      static_cast<double>(shedder.tick_delay.count()) *
          (1 - options.tick_delay_weight) +
      static_cast<double>(std::min(late, options.max_tick_delay).count()) *
          options.tick_delay_weight;
  shedder.tick_delay = common::Duration(static_cast<std::int64_t>(mean));
  if (now < shedder.next_adjustment) return;
  shedder.next_adjustment = now + options.adjust_interval;
  DecayArrivals(shedder, now);
  const double overload_ratio =
      mean / static_cast<double>(options.tick_delay_limit.count());
  if (overload_ratio > 1) {
    shedder.share *= overload_ratio > options.severe_overload_ratio
                         ? options.severe_decrease
                         : options.decrease;
    shedder.share = std::max(shedder.share, options.min_share);
  } else {
    shedder.share = std::min(shedder.share + options.increase, 1.0);
  }
  if (shedder.share < options.overloaded_below) shedder.overloaded = true;
  if (shedder.share > options.recovered_above) shedder.overloaded = false;
  std::vector<double> costs;
  costs.reserve(shedder.arrivals.size());
  for (const auto& [workspace, cost] : shedder.arrivals) costs.push_back(cost);
  const double total = std::accumulate(costs.begin(), costs.end(), 0.0);
  shedder.cost_limit =
      common::MaxMinShare(std::move(costs), total * shedder.share);
}

bool ShouldShed(LoadShedder& shedder, const common::WorkspaceName& workspace,
                double cost, double draw) {
  double& arrived_cost = shedder.arrivals[workspace];
  arrived_cost += cost;
  if (shedder.share >= 1 || arrived_cost <= shedder.cost_limit) return false;
  return draw >= shedder.cost_limit / arrived_cost;
}

}  // namespace shallotbeam::overload
