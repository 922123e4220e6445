#include <algorithm>
#include <cmath>
#include <limits>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

int CommittedSlots(const AgentState& state) {
  return static_cast<int>(state.running.size() + state.grants.size() +
                          state.backoff_slots.size()) +
         state.waiting_granted;
}

// Whether the cost of a workspace's requests is unknown and the workspace
// already holds its share of the slots. Its virtual time is not meaningful yet:
// long requests would take over the slots that short ones free.
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
  const auto slots_in_use =
      std::count_if(state.running.begin(), state.running.end(), is_own) +
      std::count_if(state.grants.begin(), state.grants.end(), is_own);
  const double share =
      SlotLimit(state.limit) * WeightOf(state, backlog.key) / weights;
  return static_cast<double>(slots_in_use) >= std::ceil(share);
}

// Returns the backlogged workspace with the smallest virtual time. Urgent
// demand reduces it by the boost. Workspaces that must wait for a known cost
// come last.
const WorkspaceBacklog* ChooseWorkspace(AgentState& state,
                                        common::TimePoint now) {
  const double boost = ServicePerWeight(state, state.options.urgency_boost);
  const WorkspaceBacklog* best = nullptr;
  double smallest_time = std::numeric_limits<double>::infinity();
  double best_time = std::numeric_limits<double>::infinity();
  bool best_waits = false;
  for (const auto& [workspace, backlog] : state.backlog) {
    double time = fairness::VirtualTime(state.ledger, backlog.key);
    smallest_time = std::min(smallest_time, time);
    time += ExpectedVirtualTimeOfOthers(state, backlog, now);
    if (backlog.urgent > 0) time -= boost;
    const bool waits = MustWaitForCost(state, backlog);
    const bool better = best == nullptr || (best_waits && !waits) ||
                        (best_waits == waits && time < best_time);
    if (!better) continue;
    best_time = time;
    best_waits = waits;
    best = &backlog;
  }
  // Uses the smallest virtual time, not that of the chosen workspace, which may
  // have been chosen with a larger one because of its urgency or because the
  // cost of others is unknown.
  RaiseSystemVirtualTime(state, smallest_time);
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
  context.Emit(SendMessage{
      .to = router,
      .body = protocol::Grant{
          .grant = id, .pool = state.options.pool, .workspace = workspace}});
}

// Starts a queued attempt, or rejects it if it may no longer run.
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

void StartUngranted(Context& context, const common::WorkspaceName& workspace) {
  auto& waiting = context.state.waiting;
  const auto it =
      std::find_if(waiting.begin(), waiting.end(), [&](const Attempt& attempt) {
        return !attempt.granted && attempt.workspace == workspace;
      });
  StartWaiting(context, it, "bound");
}

void ReleaseGrant(Context& context, common::GrantId id) {
  const auto it = context.state.grants.find(id);
  Charge(context, it->second.workspace, -it->second.charged);
  context.state.grants.erase(it);
}

template <typename Predicate>
void ReleaseGrantsIf(Context& context, Predicate&& matches) {
  std::vector<common::GrantId> ids;
  for (const auto& [id, grant] : context.state.grants) {
    if (matches(grant)) ids.push_back(id);
  }
  for (const common::GrantId id : ids) ReleaseGrant(context, id);
}

}  // namespace

int FreeSlots(const AgentState& state) {
  return SlotLimit(state.limit) - CommittedSlots(state);
}

bool MayStartGranted(const AgentState& state) {
  return static_cast<int>(state.running.size() + state.backoff_slots.size()) <
         SlotLimit(state.limit);
}

void Start(Context& context, Attempt attempt, std::string_view cause) {
  AgentState& state = context.state;
  const common::Cost estimate =
      EstimateCost(state, attempt.workspace, attempt.kind);
  Charge(context, attempt.workspace, estimate - attempt.charged);
  attempt.charged = estimate;
  attempt.started = context.now;
  attempt.last_progress = context.now;
  if (!attempt.key.empty()) RecordStarted(state.keys, attempt.key);
  Log(context, attempt, "start", cause);
  context.Emit(StartUpstream{.id = attempt.id, .result_key = attempt.key});
  const AttemptId id = attempt.id;
  state.running.emplace(id, std::move(attempt));
}

void FillSlots(Context& context) {
  AgentState& state = context.state;
  const bool configured = IsConfigured(state) && SlotLimit(state.limit) > 0;
  if (!configured || IsLeaving(state) || !state.upstream_up) return;
  if (!HasRouterContact(state)) return;
  StartGranted(context);
  const int prefetch = state.limit.pool.prefetch;
  while (HasDemand(state) && FreeSlots(state) + prefetch > 0) {
    const WorkspaceBacklog& chosen = *ChooseWorkspace(state, context.now);
    // Copied, because a grant may remove the backlog entry.
    const common::WorkspaceName workspace = chosen.key.second;
    if (chosen.ungranted > 0) {
      if (FreeSlots(state) <= 0) return;
      StartUngranted(context, workspace);
      continue;
    }
    const common::ProcessName router = chosen.routers.begin()->second;
    SendGrant(context, workspace, router);
  }
}

void ExpireGrants(Context& context) {
  ReleaseGrantsIf(context, [&](const OutstandingGrant& it) {
    return it.expires <= context.now;
  });
}

void OnGrantReturn(Context& context, const common::ProcessName& router,
                   common::GrantId grant) {
  AgentState& state = context.state;
  const auto it = state.grants.find(grant);
  if (it == state.grants.end() || it->second.router != router) return;
  // The router has no more waiting requests of the workspace and would return
  // another grant as well.
  const auto peer = state.routers.find(router);
  if (peer != state.routers.end()) {
    SetDemand(context, router, peer->second, it->second.workspace, {});
  }
  ReleaseGrant(context, grant);
}

void ReleaseGrants(Context& context, const common::ProcessName& router) {
  ReleaseGrantsIf(context, [&](const OutstandingGrant& it) {
    return router.empty() || it.router == router;
  });
}

}  // namespace shallotbeam::admission::internal
