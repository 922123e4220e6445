#include <utility>

#include "Routing/Internal.h"

namespace shallotbeam::routing::internal {

namespace {

void SendToAgents(Context& context, const protocol::Body& body) {
  for (const auto& [name, agent] : context.state.agents.agents) {
    if (!agent.alive) continue;
    context.Do(SendMessage{.to = name, .body = body});
  }
}

struct MessageHandler {
  Context& context;
  const protocol::Envelope& envelope;

  void operator()(const protocol::Heartbeat& heartbeat) {
    if (heartbeat.role != protocol::Role::kAgent) return;
    const HeartbeatEffect effect =
        NoteHeartbeat(context.state.agents, envelope.sender,
                      envelope.incarnation, heartbeat, context.now);
    for (const common::RequestId id : effect.orphaned) OnOrphaned(context, id);
    if (effect.joined) Welcome();
  }
  void operator()(const protocol::Grant& grant) {
    OnGrant(context, envelope.sender, grant);
  }
  void operator()(const protocol::Shares& shares) {
    fairness::Merge(context.state.ledger, shares);
  }
  void operator()(const protocol::RevokeReply& reply) {
    OnRevokeReply(context, reply);
  }
  void operator()(const protocol::Suspects& rows) {
    if (!suspects::Merge(context.state.suspects, rows, context.now)) return;
    SendToAgents(context, rows);
  }
  // Handled by the runtime (configuration) or not meant for routers.
  void operator()(const protocol::Demand&) {}
  void operator()(const protocol::GrantReturn&) {}
  void operator()(const protocol::Revoke&) {}
  void operator()(const protocol::ConfigRequest&) {}
  void operator()(const protocol::ConfigDocument&) {}

  // An agent that starts empty gets everything at once.
  void Welcome() {
    context.Do(SendMessage{.to = envelope.sender,
                           .body = fairness::Snapshot(context.state.ledger)});
    context.Do(SendMessage{
        .to = envelope.sender,
        .body = suspects::Snapshot(context.state.suspects, context.now)});
    for (auto& [name, pool] : context.state.pools) pool.demand_changed = true;
  }
};

void SendDemand(Context& context) {
  const RouterOptions& options = context.state.options;
  for (auto& [name, pool] : context.state.pools) {
    const common::Duration age = context.now - pool.demand_sent;
    const bool due = pool.demand_changed ? age >= options.demand_interval
                                         : pool.queue.waiting > 0 &&
                                               age >= options.demand_refresh;
    if (!due) continue;
    pool.demand_changed = false;
    pool.demand_sent = context.now;
    const protocol::Demand demand{
        .pool = name,
        .sequence = ++pool.demand_sequence,
        .workspaces = SummariseDemand(pool.queue, context.now)};
    for (const auto& [agent_name, agent] : context.state.agents.agents) {
      if (agent.pool != name || !agent.alive) continue;
      context.Do(SendMessage{.to = agent_name, .body = demand});
    }
  }
}

void SendHeartbeat(Context& context) {
  RouterState& state = context.state;
  if (context.now - state.heartbeat_sent < state.options.heartbeat_interval) {
    return;
  }
  state.heartbeat_sent = context.now;
  SendToAgents(context,
               protocol::Heartbeat{.role = protocol::Role::kRouter,
                                   .data_centre = state.options.data_centre,
                                   .control = state.options.control,
                                   .config_version = state.config.version});
}

void SendShares(Context& context) {
  RouterState& state = context.state;
  if (context.now - state.shares_sent < state.options.shares_interval) return;
  state.shares_sent = context.now;
  const protocol::Shares changes = fairness::TakeChanges(state.ledger);
  if (changes.rows.empty() && changes.lifts.empty()) return;
  SendToAgents(context, changes);
}

void CheckDrain(Context& context) {
  RouterState& state = context.state;
  if (!state.draining || state.drain_reported) return;
  const bool late =
      context.now - state.drain_started >= state.options.drain_deadline;
  if (!state.requests.empty() && !late) return;
  state.drain_reported = true;
  context.Do(DrainCompleted{});
}

}  // namespace

void OnMessage(Context& context, const protocol::Envelope& envelope) {
  std::visit(MessageHandler{context, envelope}, envelope.body);
}

void OnConfig(Context& context, const config::FleetConfig& config) {
  // Only a higher version is taken over: a configuration never reverts.
  if (config.version <= context.state.config.version) return;
  context.state.config = config;
}

void OnTick(Context& context) {
  for (const common::RequestId id :
       TakeDead(context.state.agents, context.now)) {
    OnOrphaned(context, id);
  }
  ExpireRequests(context);
  suspects::Expire(context.state.suspects, context.now);
  SendHeartbeat(context);
  SendShares(context);
  SendDemand(context);
  CheckDrain(context);
}

}  // namespace shallotbeam::routing::internal
