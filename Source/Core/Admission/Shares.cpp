#include <algorithm>
#include <cmath>
#include <limits>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

using fairness::ShareKey;

// A plain mean of the first 20 costs. With 0.2, a few short requests in a row
// hid the cost of a workspace whose requests are of 10 or 900 tokens: it then
// held three times its share of the slots.
constexpr double kEstimateSmoothing = 0.05;
constexpr common::Duration kRateInterval = std::chrono::seconds(1);
// The sums jump when the state of a peer is merged after a restart or a
// partition; the median of five samples passes over two such jumps.
constexpr std::size_t kRateSamples = 5;
constexpr std::size_t kMinRateSamples = 3;
// A new incarnation knows neither the rate nor the largest request; a debt cap
// computed from so little would forgive debts of the whole fleet.
constexpr int kMinCosts = 16;
constexpr common::Duration kWriterTimeout = std::chrono::seconds(2);

std::vector<ShareKey> Backlogged(const AgentState& state,
                                 common::TimePoint now) {
  std::vector<ShareKey> keys;
  for (const auto& [workspace, backlog] : state.backlog) {
    keys.push_back(backlog.key);
  }
  for (const auto& [workspace, last] : state.last_demand) {
    if (now - last >= state.options.debt_window) continue;
    if (state.backlog.contains(workspace)) continue;
    keys.emplace_back(state.options.pool, workspace);
  }
  return keys;
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

// Agents that give service in this pool, with this one.
std::size_t AgentsAtWork(const AgentState& state) {
  return 1 + state.other_writers.size();
}

// A row of a living agent grows; those of ended ones are only repeated.
bool Grows(const AgentState& state, const protocol::ShareRow& row) {
  if (row.pool != state.options.pool) return false;
  if (row.writer == state.options.incarnation) return false;
  const auto share = state.ledger.shares.find({row.pool, row.workspace});
  if (share == state.ledger.shares.end()) return false;
  const auto known = share->second.rows.find(row.writer);
  return known != share->second.rows.end() &&
         row.charged > known->second.charged;
}

double Faded(const AgentState& state, const RecentCharge& charge,
             common::TimePoint now) {
  const std::chrono::duration<double> age = now - charge.at;
  const std::chrono::duration<double> lag = state.options.exchange_lag;
  return charge.cost * std::exp(-age / lag);
}

// What a request is charged before its cost is known: the mean and one standard
// deviation. With the mean alone, a workspace whose requests vary was given all
// slots for large ones after a few small ones; two deviations did worse when a
// workspace returned.
common::Cost Reserve(const MeanCost& mean) {
  if (mean.cost <= 0) return 0;
  const double variance = mean.square - mean.cost * mean.cost;
  return mean.cost + std::sqrt(std::max(0.0, variance));
}

void Blend(AgentState& state, const common::WorkspaceName& workspace,
           const common::KindName& kind, common::Cost cost) {
  MeanCost& mean = state.estimates[{workspace, kind}];
  ++mean.count;
  const double part = std::max(kEstimateSmoothing, 1.0 / mean.count);
  mean.cost += part * (cost - mean.cost);
  mean.square += part * (cost * cost - mean.square);
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
  const auto so_far = state.costs_so_far.find({workspace, kind});
  if (it == state.estimates.end() && so_far != state.costs_so_far.end()) {
    return std::max(1.0, so_far->second);
  }
  // A workspace not seen before is taken for an average one.
  if (it == state.estimates.end()) it = state.estimates.find({{}, {}});
  return it == state.estimates.end() ? 1 : std::max(1.0, Reserve(it->second));
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
  RecentCharge& recent = state.recent_charges[workspace];
  recent = {.cost = Faded(state, recent, context.now) + cost,
            .at = context.now};
}

void RaiseSystemTime(AgentState& state, double level) {
  state.system_time = std::max(state.system_time, level);
}

void StartLevel(Context& context, const common::WorkspaceName& name) {
  AgentState& state = context.state;
  const auto last = state.last_demand.find(name);
  const bool was_idle = last == state.last_demand.end() ||
                        context.now - last->second >= state.options.idle_after;
  if (!was_idle) return;
  double level = std::numeric_limits<double>::infinity();
  for (const ShareKey& key : Backlogged(state, context.now)) {
    level = std::min(level, fairness::VirtualTime(state.ledger, key));
  }
  if (level == std::numeric_limits<double>::infinity()) level = 0;
  fairness::LiftTo(state.ledger, {state.options.pool, name},
                   std::max(level, state.system_time));
}

double ShareOver(const AgentState& state, common::Duration period) {
  if (state.rate.backlogged_weight <= 0) return 0;
  return state.rate.cost_per_second / state.rate.backlogged_weight *
         std::chrono::duration<double>(period).count();
}

void OnShares(Context& context, const protocol::Shares& shares) {
  AgentState& state = context.state;
  for (const protocol::ShareRow& row : shares.rows) {
    if (Grows(state, row)) state.other_writers[row.writer] = context.now;
  }
  fairness::Merge(state.ledger, shares);
}

double ExpectedOfOthers(const AgentState& state,
                        const WorkspaceBacklog& backlog,
                        common::TimePoint now) {
  const std::size_t agents = AgentsAtWork(state);
  if (agents < 2) return 0;
  // The others have probably chosen as this agent did.
  const auto recent = state.recent_charges.find(backlog.key.second);
  if (recent == state.recent_charges.end()) return 0;
  return static_cast<double>(agents - 1) * Faded(state, recent->second, now) /
         WeightOf(state, backlog.key);
}

void NoteCostSoFar(AgentState& state, const Attempt& attempt,
                   common::Cost cost) {
  for (const common::KindName& kind : {attempt.kind, common::KindName()}) {
    const auto it = state.estimates.find({attempt.workspace, kind});
    if (it != state.estimates.end()) continue;
    // No request of the kind has ended; the running ones are all there is.
    common::Cost& seen = state.costs_so_far[{attempt.workspace, kind}];
    seen = std::max(seen, cost);
  }
}

void MeasureShareRate(Context& context) {
  AgentState& state = context.state;
  SampleRate(context);
  std::erase_if(state.other_writers, [&](const auto& it) {
    return context.now - it.second >= kWriterTimeout;
  });
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
  // Until they know of each other's choice, every agent may start a request of
  // the same workspace. A cap below that would forgive debts all the time.
  const auto agents = static_cast<double>(AgentsAtWork(state));
  const double cap = 2 * (agents * state.rate.largest_request / least +
                          ShareOver(state, state.options.debt_cap));
  fairness::CapSpread(state.ledger, backlogged, cap);
}

}  // namespace shallotbeam::admission::internal
