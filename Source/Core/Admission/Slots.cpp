#include <algorithm>
#include <limits>
#include <optional>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

using fairness::ShareKey;

ShareKey KeyOf(const AgentState& state, const common::WorkspaceName& name) {
  return {state.options.pool, name};
}

int Committed(const AgentState& state) {
  return static_cast<int>(state.running.size() + state.grants.size() +
                          state.held_slots.size()) +
         static_cast<int>(
             std::count_if(state.waiting.begin(), state.waiting.end(),
                           [](const Attempt& it) { return it.granted; }));
}

double WeightOf(const AgentState& state, const common::WorkspaceName& name) {
  const auto it = state.config.workspaces.find(name);
  return it == state.config.workspaces.end() ? 1 : it->second.weight;
}

std::vector<ShareKey> Backlogged(const AgentState& state,
                                 common::TimePoint now) {
  std::vector<ShareKey> keys;
  for (const auto& [workspace, last] : state.last_demand) {
    if (now - last < state.options.idle_after) {
      keys.push_back(KeyOf(state, workspace));
    }
  }
  return keys;
}

// What one share (weight 1) earns in `period`, by the measured rate.
double ShareOver(const AgentState& state, common::TimePoint now,
                 common::Duration period) {
  double weights = 0;
  for (const ShareKey& key : Backlogged(state, now)) {
    weights += WeightOf(state, key.second);
  }
  if (weights == 0) return 0;
  return state.rate.cost_per_second / weights *
         std::chrono::duration<double>(period).count();
}

// A workspace that could use a slot, with the router that waits longest.
struct Candidate {
  common::WorkspaceName workspace;
  common::ProcessName router;  // empty: waits at this agent
  std::chrono::milliseconds oldest_wait{-1};
  common::Urgency urgency = common::Urgency::kBackground;
};

std::map<common::WorkspaceName, Candidate> Candidates(const AgentState& state) {
  std::map<common::WorkspaceName, Candidate> candidates;
  for (const auto& [router, peer] : state.routers) {
    for (const auto& [workspace, demand] : peer.demand) {
      if (demand.waiting <= 0) continue;
      Candidate& it = candidates[workspace];
      it.workspace = workspace;
      it.urgency = std::max(it.urgency, demand.urgency);
      if (demand.oldest_wait <= it.oldest_wait) continue;
      it.oldest_wait = demand.oldest_wait;
      it.router = router;
    }
  }
  for (const Attempt& attempt : state.waiting) {
    if (attempt.granted) continue;
    Candidate& it = candidates[attempt.workspace];
    it.workspace = attempt.workspace;
    it.router = common::ProcessName();
    it.urgency = common::Urgency::kUrgent;
  }
  return candidates;
}

std::optional<Candidate> ChooseCandidate(Context& context) {
  const AgentState& state = context.state;
  const double boost =
      ShareOver(state, context.now, state.options.urgency_boost);
  std::optional<Candidate> best;
  double best_time = std::numeric_limits<double>::infinity();
  for (auto& [workspace, candidate] : Candidates(state)) {
    double time = fairness::VirtualTime(state.ledger, KeyOf(state, workspace));
    if (candidate.urgency == common::Urgency::kUrgent) time -= boost;
    if (time >= best_time) continue;
    best_time = time;
    best = candidate;
  }
  return best;
}

void SendGrant(Context& context, const Candidate& candidate) {
  AgentState& state = context.state;
  const auto id = static_cast<common::GrantId>(state.next_grant++);
  const common::Cost cost = EstimateCost(state, candidate.workspace);
  Charge(context, candidate.workspace, cost);
  state.grants[id] = {.router = candidate.router,
                      .workspace = candidate.workspace,
                      .expires = context.now + state.options.grant_timeout,
                      .charged = cost};
  protocol::WorkspaceDemand& demand =
      state.routers[candidate.router].demand[candidate.workspace];
  --demand.waiting;
  context.Do(
      SendMessage{.to = candidate.router,
                  .body = protocol::Grant{.grant = id,
                                          .pool = state.options.pool,
                                          .workspace = candidate.workspace}});
}

// Starts the oldest waiting attempt that matches; returns false if none does.
template <typename Predicate>
bool StartWaiting(Context& context, std::string_view cause,
                  Predicate&& matches) {
  auto& waiting = context.state.waiting;
  const auto it = std::find_if(waiting.begin(), waiting.end(), matches);
  if (it == waiting.end()) return false;
  Attempt attempt = std::move(*it);
  waiting.erase(it);
  Start(context, std::move(attempt), cause);
  return true;
}

}  // namespace

int FreeSlots(const AgentState& state) {
  return Slots(state.limit) - Committed(state);
}

bool HasDemand(const AgentState& state) { return !Candidates(state).empty(); }

common::Cost EstimateCost(const AgentState& state,
                          const common::WorkspaceName& workspace) {
  const auto it = state.estimates.find(workspace);
  return it == state.estimates.end() ? 1 : std::max(1.0, it->second);
}

void Charge(Context& context, const common::WorkspaceName& workspace,
            common::Cost cost) {
  if (cost == 0) return;
  AgentState& state = context.state;
  fairness::AddService(state.ledger, state.options.incarnation,
                       KeyOf(state, workspace), cost);
}

void NoteDemand(Context& context, const common::WorkspaceName& workspace) {
  AgentState& state = context.state;
  auto [last, first] =
      state.last_demand.try_emplace(workspace, common::TimePoint());
  const bool back = context.now - last->second >= state.options.idle_after;
  if (back) {
    double level = std::numeric_limits<double>::infinity();
    for (const ShareKey& key : Backlogged(state, context.now)) {
      level = std::min(level, fairness::VirtualTime(state.ledger, key));
    }
    const bool others = level != std::numeric_limits<double>::infinity();
    if (others) {
      fairness::LiftTo(state.ledger, KeyOf(state, workspace), level);
    }
  }
  last->second = context.now;
}

void Start(Context& context, Attempt attempt, std::string_view cause) {
  AgentState& state = context.state;
  if (attempt.charged == 0) {
    attempt.charged = EstimateCost(state, attempt.workspace);
    Charge(context, attempt.workspace, attempt.charged);
  }
  attempt.started = context.now;
  if (!attempt.key.empty()) NoteBegun(state.keys, attempt.key);
  Log(context, attempt, "start", cause);
  context.Do(StartUpstream{.id = attempt.id, .keep_result_as = attempt.key});
  const AttemptId id = attempt.id;
  state.running.emplace(id, std::move(attempt));
}

void FillSlots(Context& context) {
  AgentState& state = context.state;
  if (state.draining || !state.upstream_up) return;
  const auto slot_is_free = [&] {
    return static_cast<int>(state.running.size() + state.held_slots.size()) <
           Slots(state.limit);
  };
  while (slot_is_free() &&
         StartWaiting(context, "granted",
                      [](const Attempt& it) { return it.granted; })) {
  }
  const int prefetch = state.limit.pool.prefetch;
  while (FreeSlots(state) + prefetch > 0) {
    const auto candidate = ChooseCandidate(context);
    if (!candidate) return;
    NoteDemand(context, candidate->workspace);
    if (!candidate->router.empty()) {
      SendGrant(context, *candidate);
      continue;
    }
    if (FreeSlots(state) <= 0) return;
    StartWaiting(context, "bound", [&](const Attempt& it) {
      return !it.granted && it.workspace == candidate->workspace;
    });
  }
}

void ExpireGrants(Context& context) {
  auto& grants = context.state.grants;
  std::vector<common::GrantId> expired;
  for (const auto& [id, grant] : grants) {
    if (grant.expires <= context.now) expired.push_back(id);
  }
  for (const common::GrantId id : expired) OnGrantReturn(context, id);
}

void OnGrantReturn(Context& context, common::GrantId grant) {
  const auto it = context.state.grants.find(grant);
  if (it == context.state.grants.end()) return;
  Charge(context, it->second.workspace, -it->second.charged);
  context.state.grants.erase(it);
  FillSlots(context);
}

void MeasureShareRate(Context& context) {
  AgentState& state = context.state;
  constexpr common::Duration kInterval = std::chrono::seconds(1);
  const common::Duration elapsed = context.now - state.rate.measured;
  if (elapsed < kInterval) return;
  common::Cost total = 0;
  for (const auto& [key, share] : state.ledger.shares) {
    if (key.first == state.options.pool) total += share.net_service;
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const double rate = (total - state.rate.service_then) / seconds;
  const bool first = state.rate.measured == common::TimePoint();
  state.rate.cost_per_second =
      first ? 0 : 0.5 * state.rate.cost_per_second + 0.5 * std::max(0.0, rate);
  state.rate.service_then = total;
  state.rate.measured = context.now;

  const std::vector<ShareKey> backlogged = Backlogged(state, context.now);
  double least_weight = std::numeric_limits<double>::infinity();
  for (const ShareKey& key : backlogged) {
    least_weight = std::min(least_weight, WeightOf(state, key.second));
  }
  if (backlogged.size() < 2) return;
  const double cap =
      2 * (state.rate.largest_request / least_weight +
           ShareOver(state, context.now, state.options.debt_cap));
  fairness::CapSpread(state.ledger, backlogged, cap);
}

}  // namespace shallotbeam::admission::internal
