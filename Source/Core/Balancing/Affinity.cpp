#include "Balancing/Affinity.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "Common/Hash.h"

namespace shallotbeam::balancing {

std::vector<const common::UpstreamName*> RankByPrefix(
    std::uint64_t prefix_key,
    const std::vector<const common::UpstreamName*>& upstreams) {
  std::vector<std::pair<std::uint64_t, const common::UpstreamName*>> ranked;
  ranked.reserve(upstreams.size());
  for (const common::UpstreamName* it : upstreams) {
    ranked.emplace_back(common::Hash64(it->value, prefix_key), it);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  });
  std::vector<const common::UpstreamName*> names;
  names.reserve(ranked.size());
  for (const auto& [weight, name] : ranked) names.push_back(name);
  return names;
}

const common::UpstreamName* PickWithBoundedLoad(
    const std::vector<const common::UpstreamName*>& ranked,
    const std::vector<int>& loads) {
  // A usual factor for consistent hashing with bounded loads. A smaller factor
  // moves more prompts away from their caches; a larger one makes queues
  // longer.
  constexpr double kBoundedLoad = 1.25;
  const double total = std::accumulate(loads.begin(), loads.end(), 1.0);
  const double limit =
      std::ceil(kBoundedLoad * total / static_cast<double>(ranked.size()));
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    if (loads[i] < limit) return ranked[i];
  }
  return ranked.front();
}

}  // namespace shallotbeam::balancing
