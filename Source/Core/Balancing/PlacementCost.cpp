#include "Balancing/PlacementCost.h"

#include <algorithm>
#include <cmath>

namespace shallotbeam::balancing {

namespace {

bool IsPlausible(const CostOptions& options, double ns_per_token,
                 double median_ns) {
  return std::isfinite(ns_per_token) &&
         ns_per_token * options.largest_deviation >= median_ns &&
         ns_per_token <= median_ns * options.largest_deviation;
}

}  // namespace

std::optional<common::Duration> ExpectedTime(const CostOptions& options,
                                             const PromptFigures& prompt,
                                             const CandidateFigures& candidate,
                                             double median_ns) {
  if (candidate.wait < common::Duration(0) ||
      candidate.wait > options.longest_wait) {
    return std::nullopt;
  }
  const int shared =
      std::clamp(prompt.shared_tokens, 0, std::max(prompt.tokens, 0));
  if (shared == 0) return candidate.wait;
  const int held = std::clamp(candidate.held_tokens, 0, shared);
  const int fetched =
      std::clamp(candidate.fetchable_tokens, held, shared) - held;
  const bool known = candidate.ns_per_token &&
                     IsPlausible(options, *candidate.ns_per_token, median_ns);
  const double ns_per_token = known ? *candidate.ns_per_token : median_ns;
  const double ns =
      (prompt.tokens - held - fetched) * ns_per_token +
      fetched * std::min(median_ns * options.fetch_fraction, ns_per_token);
  return candidate.wait + common::Duration(std::llround(ns));
}

std::optional<std::size_t> LeastExpectedTime(
    const CostOptions& options, const PromptFigures& prompt,
    const std::vector<CandidateFigures>& candidates, double median_ns) {
  std::optional<std::size_t> best;
  std::optional<common::Duration> best_time;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto time = ExpectedTime(options, prompt, candidates[i], median_ns);
    const bool better = time && (!best_time || *time < *best_time);
    if (best && !better) continue;
    best = i;
    best_time = time;
  }
  return best;
}

std::optional<std::size_t> ShortestPenalisedWait(
    const std::vector<CandidateFigures>& candidates, common::Duration penalty) {
  std::optional<std::size_t> best;
  common::Duration best_wait{0};
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const common::Duration wait =
        candidates[i].wait + candidates[i].position * penalty;
    if (best && wait >= best_wait) continue;
    best = i;
    best_wait = wait;
  }
  return best;
}

std::optional<std::size_t> LeastTotalDelay(
    const std::vector<OverflowFigures>& engines, int tokens) {
  std::optional<std::size_t> best;
  double best_delay = 0;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const OverflowFigures& it = engines[i];
    const double delay = static_cast<double>(it.wait.count()) +
                         tokens * it.ns_per_token * (1 + it.running);
    if (best && delay >= best_delay) continue;
    best = i;
    best_delay = delay;
  }
  return best;
}

}  // namespace shallotbeam::balancing
