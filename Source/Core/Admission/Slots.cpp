#include <algorithm>
#include <cmath>
#include <limits>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

int Committed(const AgentState& state) {
  return static_cast<int>(state.running.size() + state.grants.size() +
                          state.held_slots.size()) +
         state.waiting_granted;
}

// Whether a workspace already holds its share of the slots and the cost of its
// requests is unknown. Its virtual time says too little then: long requests
// would take over the slots that short ones leave.
bool MustWaitForCost(const AgentState& state, const WorkspaceBacklog& backlog) {
  const common::WorkspaceName& workspace = backlog.key.second;
  if (state.estimates.contains({workspace, {}})) return false;
  double weights = 0;
  for (const auto& [name, it] : state.backlog) {
    weights += WeightOf(state, it.key);
  }
  const auto is_own = [&](const auto& it) {
    return it.second.workspace == workspace;
  };
  const auto held =
      std::count_if(state.running.begin(), state.running.end(), is_own) +
      std::count_if(state.grants.begin(), state.grants.end(), is_own);
  const double share =
      Slots(state.limit) * WeightOf(state, backlog.key) / weights;
  return static_cast<double>(held) >= std::ceil(share);
}

// The workspace with the smallest virtual time among those that wait. Urgent
// demand goes ahead by the boost.
const WorkspaceBacklog* ChooseWorkspace(AgentState& state,
                                        common::TimePoint now) {
  const double boost = ShareOver(state, state.options.urgency_boost);
  const WorkspaceBacklog* best = nullptr;
  double level = std::numeric_limits<double>::infinity();
  double best_time = std::numeric_limits<double>::infinity();
  bool best_waits = false;
  for (const auto& [workspace, backlog] : state.backlog) {
    double time = fairness::VirtualTime(state.ledger, backlog.key);
    level = std::min(level, time);
    time += ExpectedOfOthers(state, backlog, now);
    if (backlog.urgent > 0) time -= boost;
    const bool waits = MustWaitForCost(state, backlog);
    const bool better = best == nullptr || (best_waits && !waits) ||
                        (best_waits == waits && time < best_time);
    if (!better) continue;
    best_time = time;
    best_waits = waits;
    best = &backlog;
  }
  // The smallest time and not that of the chosen workspace, which may be ahead
  // for its urgency or because the cost of others is unknown.
  RaiseSystemTime(state, level);
  return best;
}

void SendGrant(Context& context, const common::WorkspaceName& workspace,
               const common::ProcessName& router) {
  AgentState& state = context.state;
  const auto id = static_cast<common::GrantId>(state.next_grant++);
  const common::Cost cost = EstimateCost(state, workspace, {});
  Charge(context, workspace, cost);
  state.grants[id] = {.router = router,
                      .workspace = workspace,
                      .expires = context.now + state.options.grant_timeout,
                      .charged = cost};
  RouterPeer& peer = state.routers.at(router);
  RouterDemand demand = peer.demand.at(workspace);
  --demand.waiting;
  SetDemand(context, router, peer, workspace, demand);
  context.Do(SendMessage{
      .to = router,
      .body = protocol::Grant{
          .grant = id, .pool = state.options.pool, .workspace = workspace}});
}

// Starts a waiting attempt unless it must not run any more.
void StartWaiting(Context& context, WaitingIterator it,
                  std::string_view cause) {
  Attempt attempt = TakeWaiting(context, it);
  if (const auto reason = CheckOffer(context, attempt)) {
    return RejectNotRun(context, attempt, *reason);
  }
  Start(context, std::move(attempt), cause);
}

void StartGranted(Context& context) {
  AgentState& state = context.state;
  while (state.waiting_granted > 0 && MayStartGranted(state)) {
    const auto it =
        std::find_if(state.waiting.begin(), state.waiting.end(),
                     [](const Attempt& attempt) { return attempt.granted; });
    StartWaiting(context, it, "granted");
  }
}

void StartBound(Context& context, const common::WorkspaceName& workspace) {
  auto& waiting = context.state.waiting;
  const auto it =
      std::find_if(waiting.begin(), waiting.end(), [&](const Attempt& attempt) {
        return !attempt.granted && attempt.workspace == workspace;
      });
  StartWaiting(context, it, "bound");
}

void TakeBack(Context& context, common::GrantId id) {
  const auto it = context.state.grants.find(id);
  Charge(context, it->second.workspace, -it->second.charged);
  context.state.grants.erase(it);
}

template <typename Predicate>
void TakeBackIf(Context& context, Predicate&& matches) {
  std::vector<common::GrantId> ids;
  for (const auto& [id, grant] : context.state.grants) {
    if (matches(grant)) ids.push_back(id);
  }
  for (const common::GrantId id : ids) TakeBack(context, id);
}

}  // namespace

int FreeSlots(const AgentState& state) {
  return Slots(state.limit) - Committed(state);
}

bool MayStartGranted(const AgentState& state) {
  return static_cast<int>(state.running.size() + state.held_slots.size()) <
         Slots(state.limit);
}

void Start(Context& context, Attempt attempt, std::string_view cause) {
  AgentState& state = context.state;
  const common::Cost estimate =
      EstimateCost(state, attempt.workspace, attempt.kind);
  Charge(context, attempt.workspace, estimate - attempt.charged);
  attempt.charged = estimate;
  attempt.started = context.now;
  attempt.progressed = context.now;
  if (!attempt.key.empty()) NoteBegun(state.keys, attempt.key);
  Log(context, attempt, "start", cause);
  context.Do(StartUpstream{.id = attempt.id, .keep_result_as = attempt.key});
  const AttemptId id = attempt.id;
  state.running.emplace(id, std::move(attempt));
}

void FillSlots(Context& context) {
  AgentState& state = context.state;
  const bool configured = Slots(state.limit) > 0;
  if (!configured || IsLeaving(state) || !state.upstream_up) return;
  if (!HearsRouters(state)) return;
  StartGranted(context);
  const int prefetch = state.limit.pool.prefetch;
  while (HasDemand(state) && FreeSlots(state) + prefetch > 0) {
    const WorkspaceBacklog& chosen = *ChooseWorkspace(state, context.now);
    // Copied, because a grant may end the backlog.
    const common::WorkspaceName workspace = chosen.key.second;
    if (chosen.bound > 0) {
      if (FreeSlots(state) <= 0) return;
      StartBound(context, workspace);
      continue;
    }
    const common::ProcessName router = chosen.routers.begin()->second;
    SendGrant(context, workspace, router);
  }
}

void ExpireGrants(Context& context) {
  TakeBackIf(context, [&](const OutstandingGrant& it) {
    return it.expires <= context.now;
  });
}

void OnGrantReturn(Context& context, const common::ProcessName& router,
                   common::GrantId grant) {
  AgentState& state = context.state;
  const auto it = state.grants.find(grant);
  if (it == state.grants.end() || it->second.router != router) return;
  // The router has nothing left for the workspace; another grant would only be
  // returned as well.
  const auto peer = state.routers.find(router);
  if (peer != state.routers.end()) {
    SetDemand(context, router, peer->second, it->second.workspace, {});
  }
  TakeBack(context, grant);
}

void DropGrants(Context& context, const common::ProcessName& router) {
  TakeBackIf(context, [&](const OutstandingGrant& it) {
    return router.empty() || it.router == router;
  });
}

}  // namespace shallotbeam::admission::internal
