#include <algorithm>
#include <limits>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

using fairness::ShareKey;

constexpr double kEstimateSmoothing = 0.2;
constexpr common::Duration kRateInterval = std::chrono::seconds(1);
// The sums jump when the state of a peer is merged after a restart or a
// partition; the median of five samples passes over two such jumps.
constexpr std::size_t kRateSamples = 5;
constexpr std::size_t kMinRateSamples = 3;
// A new incarnation knows neither the rate nor the largest request; a debt cap
// computed from so little would forgive debts of the whole fleet.
constexpr int kMinCosts = 16;

std::vector<ShareKey> Backlogged(const AgentState& state,
                                 common::TimePoint now) {
  std::vector<ShareKey> keys;
  for (const auto& [workspace, backlog] : state.backlog) {
    keys.push_back(backlog.key);
  }
  for (const auto& [workspace, last] : state.last_demand) {
    if (now - last >= state.options.idle_after) continue;
    if (state.backlog.contains(workspace)) continue;
    keys.emplace_back(state.options.pool, workspace);
  }
  return keys;
}

double WeightOf(const AgentState& state, const ShareKey& key) {
  const auto it = state.ledger.shares.find(key);
  return it == state.ledger.shares.end() ? 1 : it->second.weight;
}

void SampleRate(Context& context) {
  AgentState& state = context.state;
  ShareRate& rate = state.rate;
  const common::Duration elapsed = context.now - rate.measured;
  if (elapsed < kRateInterval) return;
  common::Cost total = 0;
  for (const auto& [key, share] : state.ledger.shares) {
    if (key.first == state.options.pool) total += share.net_service;
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  if (rate.measured != common::TimePoint()) {
    rate.samples.push_back(std::max(0.0, total - rate.service_then) / seconds);
  }
  if (rate.samples.size() > kRateSamples) rate.samples.pop_front();
  rate.service_then = total;
  rate.measured = context.now;
  // Until a jump can be told from the usual rate, nothing is assumed.
  if (rate.samples.size() < kMinRateSamples) return;
  std::vector<double> sorted(rate.samples.begin(), rate.samples.end());
  std::sort(sorted.begin(), sorted.end());
  rate.cost_per_second = sorted[(sorted.size() - 1) / 2];
}

void Blend(AgentState& state, const common::WorkspaceName& workspace,
           const common::KindName& kind, common::Cost cost) {
  auto [it, first] = state.estimates.try_emplace({workspace, kind}, cost);
  if (!first) it->second += kEstimateSmoothing * (cost - it->second);
}

}  // namespace

common::Cost EstimateCost(const AgentState& state,
                          const common::WorkspaceName& workspace,
                          const common::KindName& kind) {
  auto it = state.estimates.find({workspace, kind});
  if (it == state.estimates.end()) it = state.estimates.find({workspace, {}});
  // A workspace not seen before is taken for an average one.
  if (it == state.estimates.end()) it = state.estimates.find({{}, {}});
  return it == state.estimates.end() ? 1 : std::max(1.0, it->second);
}

void NoteCost(AgentState& state, const Attempt& attempt, common::Cost cost) {
  state.rate.largest_request = std::max(state.rate.largest_request, cost);
  ++state.rate.costs_seen;
  Blend(state, {}, {}, cost);
  Blend(state, attempt.workspace, attempt.kind, cost);
  if (!attempt.kind.empty()) Blend(state, attempt.workspace, {}, cost);
}

void Charge(Context& context, const common::WorkspaceName& workspace,
            common::Cost cost) {
  if (cost == 0) return;
  AgentState& state = context.state;
  fairness::AddService(state.ledger, state.options.incarnation,
                       {state.options.pool, workspace}, cost);
}

void NoteBacklogBegins(Context& context, const common::WorkspaceName& name) {
  AgentState& state = context.state;
  const auto last = state.last_demand.find(name);
  const bool was_idle = last == state.last_demand.end() ||
                        context.now - last->second >= state.options.idle_after;
  if (!was_idle) return;
  double level = std::numeric_limits<double>::infinity();
  for (const ShareKey& key : Backlogged(state, context.now)) {
    level = std::min(level, fairness::VirtualTime(state.ledger, key));
  }
  if (level == std::numeric_limits<double>::infinity()) return;
  fairness::LiftTo(state.ledger, {state.options.pool, name}, level);
}

double ShareOver(const AgentState& state, common::Duration period) {
  if (state.rate.backlogged_weight <= 0) return 0;
  return state.rate.cost_per_second / state.rate.backlogged_weight *
         std::chrono::duration<double>(period).count();
}

void MeasureShareRate(Context& context) {
  AgentState& state = context.state;
  SampleRate(context);
  const std::vector<ShareKey> backlogged = Backlogged(state, context.now);
  double least = std::numeric_limits<double>::infinity();
  double sum = 0;
  for (const ShareKey& key : backlogged) {
    const double weight = WeightOf(state, key);
    least = std::min(least, weight);
    sum += weight;
  }
  state.rate.backlogged_weight = sum;
  if (backlogged.size() < 2 || state.rate.costs_seen < kMinCosts ||
      state.rate.samples.size() < kMinRateSamples) {
    return;
  }
  const double cap = 2 * (state.rate.largest_request / least +
                          ShareOver(state, state.options.debt_cap));
  fairness::CapSpread(state.ledger, backlogged, cap);
}

}  // namespace shallotbeam::admission::internal
