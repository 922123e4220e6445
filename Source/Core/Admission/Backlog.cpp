#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

// Returns the backlog of a workspace; creates it if there is none.
WorkspaceBacklog& OpenBacklog(Context& context,
                              const common::WorkspaceName& name) {
  AgentState& state = context.state;
  const auto it = state.backlog.find(name);
  if (it != state.backlog.end()) return it->second;
  RaiseVirtualTimeIfIdle(context, name);
  WorkspaceBacklog& backlog = state.backlog[name];
  backlog.key = {state.options.pool, name};
  return backlog;
}

void RemoveBacklogIfEmpty(Context& context, const common::WorkspaceName& name) {
  AgentState& state = context.state;
  const auto it = state.backlog.find(name);
  if (!it->second.routers.empty() || it->second.ungranted > 0) return;
  state.backlog.erase(it);
  state.last_demand[name] = context.now;
}

bool IsUrgent(const AgentState& state, const common::KindName& kind) {
  const auto it = state.config.kinds.find(kind);
  return it != state.config.kinds.end() &&
         it->second.urgency == common::Urgency::kUrgent;
}

}  // namespace

void AddWaiting(Context& context, Attempt attempt) {
  AgentState& state = context.state;
  // Stored, because the configuration may change before the attempt leaves the
  // queue.
  attempt.urgent = IsUrgent(state, attempt.kind);
  if (attempt.granted) {
    ++state.waiting_granted;
  } else {
    WorkspaceBacklog& backlog = OpenBacklog(context, attempt.workspace);
    ++backlog.ungranted;
    if (attempt.urgent) ++backlog.urgent;
  }
  state.waiting.push_back(std::move(attempt));
}

Attempt TakeWaiting(Context& context, WaitingIterator it) {
  AgentState& state = context.state;
  Attempt attempt = std::move(*it);
  state.waiting.erase(it);
  if (attempt.granted) {
    --state.waiting_granted;
    return attempt;
  }
  WorkspaceBacklog& backlog = state.backlog.at(attempt.workspace);
  --backlog.ungranted;
  if (attempt.urgent) --backlog.urgent;
  RemoveBacklogIfEmpty(context, attempt.workspace);
  return attempt;
}

void SetDemand(Context& context, const common::ProcessName& router,
               RouterPeer& peer, const common::WorkspaceName& workspace,
               const RouterDemand& demand) {
  const auto known = peer.demand.find(workspace);
  const bool was_known = known != peer.demand.end();
  if (!was_known && demand.waiting <= 0) return;
  WorkspaceBacklog& backlog = OpenBacklog(context, workspace);
  if (was_known) {
    backlog.routers.erase({known->second.oldest_arrival, router});
    if (known->second.urgency == common::Urgency::kUrgent) --backlog.urgent;
  }
  if (demand.waiting > 0) {
    backlog.routers.emplace(demand.oldest_arrival, router);
    if (demand.urgency == common::Urgency::kUrgent) ++backlog.urgent;
    peer.demand[workspace] = demand;
    return;
  }
  peer.demand.erase(known);
  RemoveBacklogIfEmpty(context, workspace);
}

void ClearDemand(Context& context, const common::ProcessName& router,
                 RouterPeer& peer) {
  while (!peer.demand.empty()) {
    const common::WorkspaceName workspace = peer.demand.begin()->first;
    SetDemand(context, router, peer, workspace, {});
  }
}

bool HasDemand(const AgentState& state) { return !state.backlog.empty(); }

}  // namespace shallotbeam::admission::internal
