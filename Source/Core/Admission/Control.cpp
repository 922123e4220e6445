#include <algorithm>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

protocol::AgentState ReportedState(const AgentState& state) {
  if (IsLeaving(state)) return protocol::AgentState::kDraining;
  if (!IsConfigured(state)) {
    return protocol::AgentState::kNoConfiguration;
  }
  if (!state.upstream_up) return protocol::AgentState::kUpstreamDown;
  return protocol::AgentState::kServing;
}

// Free slots are not advertised for direct dispatch while requests wait for
// them.
int AdvertisedSlots(const AgentState& state) {
  const bool accepting =
      ReportedState(state) == protocol::AgentState::kServing &&
      !HasDemand(state);
  return accepting ? std::max(0, FreeSlots(state)) : 0;
}

bool HeartbeatDue(const AgentState& state, common::TimePoint now) {
  const bool slots_available_again =
      state.reported_full && AdvertisedSlots(state) > 0;
  return now - state.heartbeat_sent >=
         (slots_available_again ? state.options.min_heartbeat_interval
                                : state.options.heartbeat_interval);
}

protocol::Heartbeat MakeHeartbeat(const AgentState& state,
                                  common::TimePoint now) {
  std::vector<protocol::PeerAddress> routers;
  for (const auto& [name, peer] : state.routers) {
    if (peer.control == common::Endpoint()) continue;
    routers.push_back({.process = name, .control = peer.control});
  }
  return {.role = protocol::Role::kAgent,
          .data_centre = state.options.data_centre,
          .control = state.options.control,
          .config_version = state.config.version,
          .sent = common::ToStamp(now),
          .data = state.options.data,
          .pool = state.options.pool,
          .upstream = state.options.upstream,
          .state = ReportedState(state),
          .free_slots = AdvertisedSlots(state),
          .slot_limit = SlotLimit(state.limit),
          .known_routers = std::move(routers)};
}

// Returns the peer that sent the envelope, or null if the message is from the
// previous incarnation of the sender. Drops the demand and the grants of a
// router that has restarted.
RouterPeer* FindSender(Context& context, const protocol::Envelope& envelope) {
  RouterPeer& peer = context.state.routers[envelope.sender];
  if (peer.previous == envelope.incarnation) return nullptr;
  if (peer.incarnation != envelope.incarnation) {
    ClearDemand(context, envelope.sender, peer);
    ReleaseGrants(context, envelope.sender);
    peer = {.incarnation = envelope.incarnation, .previous = peer.incarnation};
  }
  peer.last_heard = context.now;
  return &peer;
}

void OnDemand(Context& context, const protocol::Envelope& envelope,
              const protocol::Demand& demand) {
  if (demand.pool != context.state.options.pool) return;
  RouterPeer* peer = FindSender(context, envelope);
  if (peer == nullptr || demand.sequence <= peer->demand_sequence) return;
  peer->demand_sequence = demand.sequence;
  std::map<common::WorkspaceName, RouterDemand> reported;
  for (const protocol::WorkspaceDemand& it : demand.workspaces) {
    reported[it.workspace] = {.waiting = it.waiting,
                              .oldest_arrival = context.now - it.oldest_wait,
                              .urgency = it.urgency};
  }
  // Workspaces that are no longer reported have no waiting requests.
  for (const auto& [workspace, old] : peer->demand) reported[workspace];
  for (const auto& [workspace, it] : reported) {
    SetDemand(context, envelope.sender, *peer, workspace, it);
  }
}

// Rejects queued attempts and releases all grants, because no new request may
// start on this agent.
void StopAccepting(Context& context) {
  RejectAllWaiting(context, common::Reason::kDraining);
  ReleaseGrants(context, {});
  SendHeartbeats(context);
}

void OnRouterHeartbeat(Context& context, const protocol::Envelope& envelope,
                       const protocol::Heartbeat& heartbeat) {
  AgentState& state = context.state;
  if (heartbeat.leaving && !state.listed_leaving) {
    state.listed_leaving = true;
    StopAccepting(context);
  }
  // Recorded before the staleness check: if both processes were paused, each of
  // them needs the new stamp of the other in order to echo it, but the
  // heartbeat that carries the new stamp still echoes an old stamp and so
  // counts as stale.
  state.heartbeat_stamps[heartbeat.control] = {.sent = heartbeat.sent,
                                               .heard = context.now};
  if (!common::IsFresh(state.pause, heartbeat.echoed_sent)) return;
  RouterPeer* peer = FindSender(context, envelope);
  if (peer == nullptr) return;
  // Demand may arrive before the first heartbeat.
  const bool joined = peer->control == common::Endpoint();
  peer->control = heartbeat.control;
  state.has_seen_router = true;
  state.unacknowledged_since_pause = false;
  for (const protocol::PeerAddress& it : heartbeat.known_routers) {
    state.learnt_routers[it.process] = {.control = it.control,
                                        .last_mentioned = context.now};
  }
  if (!joined) return;
  // A router that joins has no state yet and receives all of it at once.
  context.Emit(SendMessage{.to = envelope.sender,
                           .body = fairness::Snapshot(state.ledger)});
  context.Emit(
      SendMessage{.to = envelope.sender,
                  .body = suspects::Snapshot(state.suspects, context.now)});
}

struct MessageHandler {
  Context& context;
  const protocol::Envelope& envelope;

  void operator()(const protocol::Heartbeat& heartbeat) {
    if (heartbeat.role != protocol::Role::kRouter) return;
    OnRouterHeartbeat(context, envelope, heartbeat);
  }
  void operator()(const protocol::Demand& demand) {
    OnDemand(context, envelope, demand);
  }
  void operator()(const protocol::GrantReturn& message) {
    OnGrantReturn(context, envelope.sender, message.grant);
  }
  void operator()(const protocol::Shares& shares) { OnShares(context, shares); }
  void operator()(const protocol::Revoke& revoke) {
    OnRevoke(context, envelope.sender, revoke);
  }
  void operator()(const protocol::Suspects& rows) {
    if (!suspects::Merge(context.state.suspects, rows, context.now)) return;
    if (const auto it = suspects::RowsToForward(rows)) {
      SendToRouters(context, *it);
    }
  }
  // Handled by the runtime (configuration) or not meant for agents.
  void operator()(const protocol::Grant&) {}
  void operator()(const protocol::RevokeReply&) {}
  void operator()(const protocol::ConfigRequest&) {}
  void operator()(const protocol::ConfigDocument&) {}
};

void DropSilentRouters(Context& context) {
  AgentState& state = context.state;
  for (auto it = state.routers.begin(); it != state.routers.end();) {
    RouterPeer& peer = it->second;
    if (context.now - peer.last_heard < state.options.router_timeout) {
      ++it;
      continue;
    }
    ClearDemand(context, it->first, peer);
    it = state.routers.erase(it);
  }
  std::erase_if(state.learnt_routers, [&](const auto& it) {
    return context.now - it.second.last_mentioned >=
           state.options.learnt_router_ttl;
  });
  std::erase_if(state.heartbeat_stamps, [&](const auto& it) {
    return context.now - it.second.heard >= state.options.heartbeat_stamp_ttl;
  });
}

void SendShares(Context& context) {
  AgentState& state = context.state;
  if (context.now - state.shares_sent < state.options.shares_interval) return;
  state.shares_sent = context.now;
  // Only rows of this agent are sent promptly: routers receive the rows of
  // other agents from those agents.
  const protocol::Shares shares = fairness::TakeSharesToSend(
      state.ledger, state.relay, context.now, [&](common::Incarnation writer) {
        return writer == state.options.incarnation;
      });
  if (shares.rows.empty() && shares.offsets.empty()) return;
  SendToRouters(context, shares);
}

void CheckDrain(Context& context) {
  AgentState& state = context.state;
  if (!state.draining || state.drain_reported) return;
  const bool late =
      context.now - state.drain_started >= state.options.drain_deadline;
  if (!state.running.empty() && !late) return;
  state.drain_reported = true;
  context.Emit(DrainCompleted{});
}

}  // namespace

void SendToRouters(Context& context, const protocol::Body& body) {
  for (const auto& [name, peer] : context.state.routers) {
    context.Emit(SendMessage{.to = name, .body = body});
  }
}

void SendHeartbeats(Context& context) {
  AgentState& state = context.state;
  state.heartbeat_sent = context.now;
  protocol::Heartbeat heartbeat = MakeHeartbeat(state, context.now);
  state.reported_full = heartbeat.free_slots == 0;
  const auto send = [&](const common::ProcessName& name,
                        const common::Endpoint& control) {
    const auto stamp = state.heartbeat_stamps.find(control);
    heartbeat.echoed_sent =
        stamp == state.heartbeat_stamps.end() ? 0 : stamp->second.sent;
    context.Emit(SendMessage{.to = name, .body = heartbeat});
  };
  for (const auto& [name, peer] : state.routers) send(name, peer.control);
  for (const auto& [name, learnt] : state.learnt_routers) {
    if (!state.routers.contains(name)) send(name, learnt.control);
  }
  for (const common::Endpoint& seed : state.options.seed_routers) {
    const bool known =
        std::any_of(state.routers.begin(), state.routers.end(),
                    [&](const auto& it) { return it.second.control == seed; });
    if (known) continue;
    // The name of a router is unknown until its first heartbeat.
    send(common::ProcessName(common::ToString(seed)), seed);
  }
}

void OnMessage(Context& context, const protocol::Envelope& envelope) {
  std::visit(MessageHandler{context, envelope}, envelope.body);
}

void OnConfig(Context& context, const config::FleetConfig& config) {
  AgentState& state = context.state;
  // Only a higher version is applied, so that a configuration never reverts.
  if (config.version <= state.config.version) return;
  state.config = config;
  const auto pool = config.pools.find(state.options.pool);
  if (pool != config.pools.end()) {
    Configure(state.limit, pool->second);
  } else {
    RejectAllWaiting(context, common::Reason::kNoConfiguration);
    ReleaseGrants(context, {});
  }
  for (const auto& [name, workspace] : config.workspaces) {
    fairness::SetWeight(state.ledger, {state.options.pool, name},
                        workspace.weight);
  }
  SendHeartbeats(context);
}

void OnDrain(Context& context) {
  AgentState& state = context.state;
  if (state.draining) return;
  state.draining = true;
  state.drain_started = context.now;
  StopAccepting(context);
}

bool IsConfigured(const AgentState& state) {
  return state.config.pools.contains(state.options.pool);
}

bool IsLeaving(const AgentState& state) {
  return state.draining || state.listed_leaving;
}

bool HasRouterContact(const AgentState& state) {
  // Until a first router is heard from, there may be none that could know that
  // this agent is leaving.
  return !state.unacknowledged_since_pause &&
         (!state.routers.empty() || !state.has_seen_router);
}

void OnTick(Context& context) {
  AgentState& state = context.state;
  DropSilentRouters(context);
  ExpireGrants(context);
  ExpireAttempts(context);
  for (const std::string& key : Expire(state.keys, context.now)) {
    context.Emit(DiscardResult{.key = key});
  }
  suspects::Expire(state.suspects, context.now);
  MeasureServiceRate(context);
  // The routers can dispatch these requests to other agents, and this agent may
  // be leaving.
  if (!HasRouterContact(state)) {
    RejectAllWaiting(context, common::Reason::kBusy);
  }
  // Done before the heartbeat, which reports the slots that remain free.
  FillSlots(context);
  if (HeartbeatDue(state, context.now)) SendHeartbeats(context);
  SendShares(context);
  ProbeIfDown(context);
  CheckDrain(context);
}

}  // namespace shallotbeam::admission::internal
