#include <algorithm>
#include <cmath>
#include <limits>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

using fairness::ShareKey;

// Smoothing factor of the mean cost, which is a plain mean for the first 20
// costs. With 0.2, a few short requests in a row hid the cost of a workspace
// whose requests have 10 or 900 tokens, and it held three times its share of
// the slots.
constexpr double kEstimateSmoothing = 0.05;
constexpr common::Duration kRateInterval = std::chrono::seconds(1);
// The sums of charged service jump when the state of a peer is merged after a
// restart or a partition. The median of five samples is not affected by two
// such jumps.
constexpr std::size_t kRateSamples = 5;
constexpr std::size_t kMinRateSamples = 3;
// A new incarnation knows neither the service rate nor the largest request.
// Until this many costs are known, it sets no debt cap: the cap would be too
// low and, as it raises replicated virtual time offsets, would cancel debts in
// the whole fleet.
constexpr int kMinKnownCosts = 16;
constexpr common::Duration kAgentActivityTimeout = std::chrono::seconds(2);

std::vector<ShareKey> BackloggedWorkspaces(const AgentState& state,
                                           common::TimePoint now) {
  std::vector<ShareKey> keys;
  for (const auto& [workspace, backlog] : state.backlog) {
    keys.push_back(backlog.key);
  }
  for (const auto& [workspace, last] : state.last_demand) {
    if (now - last >= state.options.backlog_window) continue;
    if (state.backlog.contains(workspace)) continue;
    keys.emplace_back(state.options.pool, workspace);
  }
  return keys;
}

void SampleServiceRate(Context& context) {
  AgentState& state = context.state;
  ServiceRate& rate = state.rate;
  const common::Duration elapsed = context.now - rate.measured_at;
  if (elapsed < kRateInterval) return;
  common::Cost total = 0;
  for (const auto& [key, share] : state.ledger.shares) {
    if (key.first == state.options.pool) total += share.net_service;
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  if (rate.measured_at != common::TimePoint()) {
    rate.samples.push_back(std::max(0.0, total - rate.service_at_measurement) /
                           seconds);
  }
  if (rate.samples.size() > kRateSamples) rate.samples.pop_front();
  rate.service_at_measurement = total;
  rate.measured_at = context.now;
  // With fewer samples, a jump can't be distinguished from the usual rate.
  if (rate.samples.size() < kMinRateSamples) return;
  std::vector<double> sorted(rate.samples.begin(), rate.samples.end());
  std::sort(sorted.begin(), sorted.end());
  rate.cost_per_second = sorted[(sorted.size() - 1) / 2];
}

// Number of agents that serve this pool, including this one.
std::size_t ActiveAgentCount(const AgentState& state) {
  return 1 + state.other_active_agents.size();
}

// Whether another agent has charged more since its last known row. Rows of
// running agents grow; rows of agents that have ended are only repeated.
bool HasNewCharges(const AgentState& state, const protocol::ShareRow& row) {
  if (row.pool != state.options.pool) return false;
  if (row.writer == state.options.incarnation) return false;
  const auto share = state.ledger.shares.find({row.pool, row.workspace});
  if (share == state.ledger.shares.end()) return false;
  const auto known = share->second.rows.find(row.writer);
  return known != share->second.rows.end() &&
         row.charged > known->second.charged;
}

double Decayed(const AgentState& state, const RecentCharge& charge,
               common::TimePoint now) {
  const std::chrono::duration<double> age = now - charge.at;
  const std::chrono::duration<double> lag = state.options.exchange_lag;
  return charge.cost * std::exp(-age / lag);
}

// Charge for a request whose cost is unknown: the mean plus one standard
// deviation. With the mean alone, a workspace whose requests vary in size got
// all slots for large requests after a few small ones. Two standard deviations
// gave worse results when a workspace returned from idle.
common::Cost InitialCharge(const MeanCost& mean) {
  if (mean.cost <= 0) return 0;
  const double variance = mean.mean_square - mean.cost * mean.cost;
  return mean.cost + std::sqrt(std::max(0.0, variance));
}

void UpdateMeanCost(AgentState& state, const common::WorkspaceName& workspace,
                    const common::KindName& kind, common::Cost cost) {
  MeanCost& mean = state.estimates[{workspace, kind}];
  ++mean.count;
  const double smoothing = std::max(kEstimateSmoothing, 1.0 / mean.count);
  mean.cost += smoothing * (cost - mean.cost);
  mean.mean_square += smoothing * (cost * cost - mean.mean_square);
}

}  // namespace

double WeightOf(const AgentState& state, const ShareKey& key) {
  const auto it = state.ledger.shares.find(key);
  return it == state.ledger.shares.end() ? 1 : it->second.weight;
}

common::Cost EstimateCost(const AgentState& state,
                          const common::WorkspaceName& workspace,
                          const common::KindName& kind) {
  auto it = state.estimates.find({workspace, kind});
  if (it == state.estimates.end()) it = state.estimates.find({workspace, {}});
  const auto partial = state.partial_costs.find({workspace, kind});
  if (it == state.estimates.end() && partial != state.partial_costs.end()) {
    return std::max(1.0, partial->second);
  }
  // A new workspace is assumed to have average costs.
  if (it == state.estimates.end()) it = state.estimates.find({{}, {}});
  return it == state.estimates.end() ? 1
                                     : std::max(1.0, InitialCharge(it->second));
}

void RecordCost(AgentState& state, const Attempt& attempt, common::Cost cost) {
  state.rate.largest_request = std::max(state.rate.largest_request, cost);
  ++state.rate.known_costs;
  UpdateMeanCost(state, {}, {}, cost);
  UpdateMeanCost(state, attempt.workspace, attempt.kind, cost);
  if (!attempt.kind.empty()) UpdateMeanCost(state, attempt.workspace, {}, cost);
}

void Charge(Context& context, const common::WorkspaceName& workspace,
            common::Cost cost) {
  if (cost == 0) return;
  AgentState& state = context.state;
  fairness::AddService(state.ledger, state.options.incarnation,
                       {state.options.pool, workspace}, cost);
  RecentCharge& recent = state.recent_charges[workspace];
  recent = {.cost = Decayed(state, recent, context.now) + cost,
            .at = context.now};
}

void RaiseSystemVirtualTime(AgentState& state, double virtual_time) {
  state.system_virtual_time = std::max(state.system_virtual_time, virtual_time);
}

void RaiseVirtualTimeIfIdle(Context& context,
                            const common::WorkspaceName& name) {
  AgentState& state = context.state;
  const auto last = state.last_demand.find(name);
  const bool was_idle =
      last == state.last_demand.end() ||
      context.now - last->second >= state.options.idle_threshold;
  if (!was_idle) return;
  double virtual_time = std::numeric_limits<double>::infinity();
  for (const ShareKey& key : BackloggedWorkspaces(state, context.now)) {
    virtual_time =
        std::min(virtual_time, fairness::VirtualTime(state.ledger, key));
  }
  if (virtual_time == std::numeric_limits<double>::infinity()) virtual_time = 0;
  fairness::RaiseVirtualTime(state.ledger, {state.options.pool, name},
                             std::max(virtual_time, state.system_virtual_time));
}

double ServicePerWeight(const AgentState& state, common::Duration period) {
  if (state.rate.backlogged_weight <= 0) return 0;
  return state.rate.cost_per_second / state.rate.backlogged_weight *
         std::chrono::duration<double>(period).count();
}

void OnShares(Context& context, const protocol::Shares& shares) {
  AgentState& state = context.state;
  for (const protocol::ShareRow& row : shares.rows) {
    if (HasNewCharges(state, row)) {
      state.other_active_agents[row.writer] = context.now;
    }
  }
  fairness::Merge(state.ledger, shares);
}

double ExpectedVirtualTimeOfOthers(const AgentState& state,
                                   const WorkspaceBacklog& backlog,
                                   common::TimePoint now) {
  const std::size_t agents = ActiveAgentCount(state);
  if (agents < 2) return 0;
  // The other agents have probably made the same choices as this agent.
  const auto recent = state.recent_charges.find(backlog.key.second);
  if (recent == state.recent_charges.end()) return 0;
  return static_cast<double>(agents - 1) * Decayed(state, recent->second, now) /
         WeightOf(state, backlog.key);
}

void RecordPartialCost(AgentState& state, const Attempt& attempt,
                       common::Cost cost) {
  for (const common::KindName& kind : {attempt.kind, common::KindName()}) {
    const auto it = state.estimates.find({attempt.workspace, kind});
    if (it != state.estimates.end()) continue;
    // No request of the kind has completed, so running requests are the only
    // source.
    common::Cost& seen = state.partial_costs[{attempt.workspace, kind}];
    seen = std::max(seen, cost);
  }
}

void MeasureServiceRate(Context& context) {
  AgentState& state = context.state;
  SampleServiceRate(context);
  std::erase_if(state.other_active_agents, [&](const auto& it) {
    return context.now - it.second >= kAgentActivityTimeout;
  });
  const std::vector<ShareKey> backlogged =
      BackloggedWorkspaces(state, context.now);
  double min_weight = std::numeric_limits<double>::infinity();
  double total_weight = 0;
  for (const ShareKey& key : backlogged) {
    const double weight = WeightOf(state, key);
    min_weight = std::min(min_weight, weight);
    total_weight += weight;
  }
  state.rate.backlogged_weight = total_weight;
  if (backlogged.size() < 2 || state.rate.known_costs < kMinKnownCosts ||
      state.rate.samples.size() < kMinRateSamples) {
    return;
  }
  // Until the agents know of each other's choices, each of them may start a
  // request of the same workspace. A lower cap would constantly cancel the
  // resulting debt.
  const auto agents = static_cast<double>(ActiveAgentCount(state));
  const double cap = 2 * (agents * state.rate.largest_request / min_weight +
                          ServicePerWeight(state, state.options.debt_cap));
  fairness::LimitVirtualTimeSpread(state.ledger, backlogged, cap);
}

}  // namespace shallotbeam::admission::internal
