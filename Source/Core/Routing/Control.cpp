#include <algorithm>
#include <utility>

#include "Common/Hash.h"
#include "Routing/Internal.h"

namespace shallotbeam::routing::internal {

namespace {

void SendToAgents(Context& context, const protocol::Body& body) {
  for (const auto& [name, agent] : context.state.agents.agents) {
    if (!agent.alive) continue;
    context.Emit(SendMessage{.to = name, .body = body});
  }
}

// Agents report only routers from which they receive heartbeats directly, so
// that a stopped router does not stay known through reports from third parties.
void RecordRouters(Context& context, const common::ProcessName& sender,
                   const protocol::Heartbeat& heartbeat) {
  RouterState& state = context.state;
  const auto record = [&](const common::ProcessName& name,
                          const common::Endpoint& control) {
    if (name == state.options.name || control.port == 0) return;
    state.known_routers[name] = {.control = control,
                                 .last_reported = context.now};
  };
  if (heartbeat.role == protocol::Role::kRouter) {
    return record(sender, heartbeat.control);
  }
  for (const protocol::PeerAddress& it : heartbeat.known_routers) {
    record(it.process, it.control);
  }
}

std::vector<protocol::PeerAddress> KnownRouters(Context& context) {
  RouterState& state = context.state;
  std::erase_if(state.known_routers, [&](const auto& it) {
    return context.now - it.second.last_reported >=
           state.options.known_router_ttl;
  });
  std::vector<protocol::PeerAddress> known;
  known.reserve(state.known_routers.size());
  for (const auto& [name, router] : state.known_routers) {
    known.push_back({.process = name, .control = router.control});
  }
  return known;
}

struct MessageHandler {
  Context& context;
  const protocol::Envelope& envelope;

  void operator()(const protocol::Heartbeat& heartbeat) {
    RecordRouters(context, envelope.sender, heartbeat);
    if (heartbeat.role != protocol::Role::kAgent) return;
    if (!common::IsFresh(context.state.pause_guard, heartbeat.echoed_sent)) {
      return RecordStaleHeartbeat(context.state.agents, envelope.sender,
                                  envelope.incarnation, heartbeat);
    }
    const HeartbeatEffect effect =
        RecordHeartbeat(context.state.agents, envelope.sender,
                        envelope.incarnation, heartbeat, context.now);
    if (effect.ignored) return;
    const Agent& agent = context.state.agents.agents.at(envelope.sender);
    if (IsEligible(context.state.agents, agent, context.now)) {
      context.state.pools[agent.pool].last_served = context.now;
    }
    for (const common::RequestId id : effect.orphaned) OnOrphaned(context, id);
    if (effect.joined) SendInitialState();
  }
  void operator()(const protocol::Grant& grant) {
    // The slots of an earlier incarnation no longer exist.
    if (!IsCurrent(context.state.agents, envelope.sender,
                   envelope.incarnation)) {
      return;
    }
    OnGrant(context, envelope.sender, grant);
  }
  void operator()(const protocol::Shares& shares) {
    fairness::Merge(context.state.ledger, shares);
  }
  void operator()(const protocol::RevokeReply& reply) {
    OnRevokeReply(context, envelope, reply);
  }
  void operator()(const protocol::Suspects& rows) {
    if (!suspects::Merge(context.state.suspects, rows, context.now)) return;
    if (const auto it = suspects::RowsToForward(rows)) {
      SendToAgents(context, *it);
    }
  }
  // Either handled by the runtime (configuration) or not meant for routers.
  void operator()(const protocol::Demand&) {}
  void operator()(const protocol::GrantReturn&) {}
  void operator()(const protocol::Revoke&) {}
  void operator()(const protocol::ConfigRequest&) {}
  void operator()(const protocol::ConfigDocument&) {}

  // Sends the whole state to an agent that starts without any.
  void SendInitialState() {
    context.Emit(SendMessage{.to = envelope.sender,
                             .body = fairness::Snapshot(context.state.ledger)});
    context.Emit(SendMessage{
        .to = envelope.sender,
        .body = suspects::Snapshot(context.state.suspects, context.now)});
    for (auto& [name, pool] : context.state.pools) pool.demand_changed = true;
  }
};

void SendHeartbeat(Context& context) {
  RouterState& state = context.state;
  if (context.now - state.heartbeat_sent < state.options.heartbeat_interval) {
    return;
  }
  state.heartbeat_sent = context.now;
  protocol::Heartbeat heartbeat{.role = protocol::Role::kRouter,
                                .data_centre = state.options.data_centre,
                                .control = state.options.control,
                                .config_version = state.config.version,
                                .sent = common::ToStamp(context.now),
                                .known_routers = KnownRouters(context)};
  for (auto& [name, agent] : state.agents.agents) {
    const bool unanswered = std::exchange(agent.unanswered, false);
    if (!agent.alive && !unanswered) continue;
    heartbeat.echoed_sent = agent.last_sent;
    heartbeat.leaving = agent.leaving;
    context.Emit(SendMessage{.to = name, .body = heartbeat});
  }
}

// Whether this router forwards the share rows written by an agent immediately.
// Rendezvous hashing selects one router for each writer, because agents receive
// the messages of all routers. If two routers know different sets of routers,
// an agent gets a row twice, or only after the relay interval.
bool IsRelayOf(const RouterState& state, common::Incarnation writer) {
  const auto score = [&](const common::ProcessName& router) {
    return common::Hash64(router.value, common::ToNumber(writer));
  };
  const std::uint64_t own = score(state.options.name);
  return std::none_of(state.known_routers.begin(), state.known_routers.end(),
                      [&](const auto& it) { return score(it.first) > own; });
}

void SendShares(Context& context) {
  RouterState& state = context.state;
  if (context.now - state.shares_sent < state.options.shares_interval) return;
  state.shares_sent = context.now;
  const protocol::Shares shares = fairness::TakeSharesToSend(
      state.ledger, state.relay, context.now,
      [&](common::Incarnation writer) { return IsRelayOf(state, writer); });
  if (shares.rows.empty() && shares.offsets.empty()) return;
  SendToAgents(context, shares);
}

std::vector<common::RequestId> SortedRequestIds(const RouterState& state) {
  std::vector<common::RequestId> ids;
  ids.reserve(state.requests.size());
  for (const auto& [id, request] : state.requests) ids.push_back(id);
  // The iteration order of a hash map differs between standard libraries, but
  // decisions must not.
  std::sort(ids.begin(), ids.end());
  return ids;
}

void CheckDrain(Context& context) {
  RouterState& state = context.state;
  if (!state.draining || state.drain_reported) return;
  const common::Duration elapsed = context.now - state.drain_started;
  const RouterOptions& options = state.options;
  // Leaves enough time to confirm that requests with keys did not run.
  const bool force =
      elapsed >= options.drain_deadline - options.confirm_timeout;
  const bool late = elapsed >= options.drain_deadline;
  if (force && !state.drain_forced) {
    state.drain_forced = true;
    for (const common::RequestId id : SortedRequestIds(state)) {
      CancelRequest(context, state.requests.at(id), common::Reason::kDraining);
    }
  }
  if (!state.requests.empty() && !late) return;
  for (const common::RequestId id : SortedRequestIds(state)) {
    Request& request = state.requests.at(id);
    Refuse(context, request,
           {.verdict = common::Verdict::kMayHaveRun,
            .reason = common::Reason::kDraining});
  }
  state.drain_reported = true;
  context.Emit(DrainCompleted{});
}

}  // namespace

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
        .sequence = ++context.state.demand_sequence,
        .workspaces = SummariseDemand(pool.queue, context.now)};
    for (const auto& [agent_name, agent] : context.state.agents.agents) {
      if (agent.pool != name || !agent.alive) continue;
      context.Emit(SendMessage{.to = agent_name, .body = demand});
    }
  }
}

void OnMessage(Context& context, const protocol::Envelope& envelope) {
  std::visit(MessageHandler{context, envelope}, envelope.body);
}

void OnConfig(Context& context, const config::FleetConfig& config) {
  // Only a higher version is applied: a configuration never reverts to an older
  // one.
  if (config.version <= context.state.config.version) return;
  RouterState& state = context.state;
  state.config = config;
  for (const auto& [pool, pool_config] : config.pools) {
    for (const auto& [name, workspace] : config.workspaces) {
      fairness::SetWeight(state.ledger, {pool, name}, workspace.weight);
    }
  }
  for (auto& [name, pool] : state.pools) {
    EraseIdleWorkspaces(pool.queue,
                        [&](const common::WorkspaceName& workspace) {
                          return config.workspaces.contains(workspace);
                        });
  }
  std::erase_if(state.pools, [&](const auto& it) {
    const bool idle = it.second.queue.waiting == 0 && !it.second.demand_changed;
    return idle && !config.pools.contains(it.first);
  });
  std::erase_if(state.retry_budgets, [&](const auto& it) {
    return !config.pools.contains(it.first);
  });
}

void OnTick(Context& context) {
  for (const common::RequestId id :
       ExpireSilentAgents(context.state.agents, context.now)) {
    OnOrphaned(context, id);
  }
  FireTimers(context);
  RefuseQueuedWithoutUpstream(context);
  suspects::Expire(context.state.suspects, context.now);
  SendHeartbeat(context);
  SendShares(context);
  CheckDrain(context);
}

}  // namespace shallotbeam::routing::internal
