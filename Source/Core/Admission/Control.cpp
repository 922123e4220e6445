#include <algorithm>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

protocol::AgentState StateOf(const AgentState& state) {
  if (IsLeaving(state)) return protocol::AgentState::kDraining;
  if (state.config.version == common::ConfigVersion::kNone) {
    return protocol::AgentState::kNoConfiguration;
  }
  if (!state.upstream_up) return protocol::AgentState::kUpstreamDown;
  return protocol::AgentState::kServing;
}

// Slots are not on offer for direct dispatch while others wait for them.
int SlotsOnOffer(const AgentState& state) {
  const bool open =
      StateOf(state) == protocol::AgentState::kServing && !HasDemand(state);
  return open ? std::max(0, FreeSlots(state)) : 0;
}

bool HeartbeatDue(const AgentState& state, common::TimePoint now) {
  const bool reopened = state.reported_full && SlotsOnOffer(state) > 0;
  return now - state.heartbeat_sent >= (reopened
                                            ? state.options.reopen_interval
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
          .state = StateOf(state),
          .free_slots = SlotsOnOffer(state),
          .slot_limit = Slots(state.limit),
          .known_routers = std::move(routers)};
}

// The peer that sent the envelope; null if the sender's incarnation has ended.
// A router that restarted loses its demand and its grants.
RouterPeer* FindSender(Context& context, const protocol::Envelope& envelope) {
  RouterPeer& peer = context.state.routers[envelope.sender];
  if (peer.previous == envelope.incarnation) return nullptr;
  if (peer.incarnation != envelope.incarnation) {
    ClearDemand(context, envelope.sender, peer);
    DropGrants(context, envelope.sender);
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
                              .since = context.now - it.oldest_wait,
                              .urgency = it.urgency};
  }
  // Workspaces that are no longer reported have nothing waiting.
  for (const auto& [workspace, old] : peer->demand) reported[workspace];
  for (const auto& [workspace, it] : reported) {
    SetDemand(context, envelope.sender, *peer, workspace, it);
  }
}

// Nothing new starts here any more.
void StopGranting(Context& context) {
  ReturnWaiting(context, common::Reason::kDraining);
  DropGrants(context, {});
  SendHeartbeats(context);
}

void OnRouterHeartbeat(Context& context, const protocol::Envelope& envelope,
                       const protocol::Heartbeat& heartbeat) {
  AgentState& state = context.state;
  if (heartbeat.leaving && !state.listed_leaving) {
    state.listed_leaving = true;
    StopGranting(context);
  }
  // Noted even from a heartbeat that does not count: if both were paused, each
  // learns only from such a one what the other waits to have answered.
  state.router_stamps[heartbeat.control] = {.sent = heartbeat.sent,
                                            .heard = context.now};
  if (!common::IsFresh(state.pause, heartbeat.answers)) return;
  RouterPeer* peer = FindSender(context, envelope);
  if (peer == nullptr) return;
  // Demand may arrive before the first heartbeat.
  const bool joined = peer->control == common::Endpoint();
  peer->control = heartbeat.control;
  state.met_router = true;
  state.deaf = false;
  for (const protocol::PeerAddress& it : heartbeat.known_routers) {
    state.learnt_routers[it.process] = {.control = it.control,
                                        .mentioned = context.now};
  }
  if (!joined) return;
  // A router that starts empty gets everything at once.
  context.Do(SendMessage{.to = envelope.sender,
                         .body = fairness::Snapshot(state.ledger)});
  context.Do(
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
    if (const auto it = suspects::PassOn(rows)) SendToRouters(context, *it);
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
    return context.now - it.second.mentioned >=
           state.options.forget_router_after;
  });
  std::erase_if(state.router_stamps, [&](const auto& it) {
    return context.now - it.second.heard >= state.options.forget_stamp_after;
  });
}

void SendShares(Context& context) {
  AgentState& state = context.state;
  if (context.now - state.shares_sent < state.options.shares_interval) return;
  state.shares_sent = context.now;
  // Routers hear the rows of other agents from these.
  const protocol::Shares shares = fairness::TakeSharesToSend(
      state.ledger, state.relay, context.now, [&](common::Incarnation writer) {
        return writer == state.options.incarnation;
      });
  if (shares.rows.empty() && shares.lifts.empty()) return;
  SendToRouters(context, shares);
}

void CheckDrain(Context& context) {
  AgentState& state = context.state;
  if (!state.draining || state.drain_reported) return;
  const bool late =
      context.now - state.drain_started >= state.options.drain_deadline;
  if (!state.running.empty() && !late) return;
  state.drain_reported = true;
  context.Do(DrainCompleted{});
}

}  // namespace

void SendToRouters(Context& context, const protocol::Body& body) {
  for (const auto& [name, peer] : context.state.routers) {
    context.Do(SendMessage{.to = name, .body = body});
  }
}

void SendHeartbeats(Context& context) {
  AgentState& state = context.state;
  state.heartbeat_sent = context.now;
  protocol::Heartbeat heartbeat = MakeHeartbeat(state, context.now);
  state.reported_full = heartbeat.free_slots == 0;
  const auto send = [&](const common::ProcessName& name,
                        const common::Endpoint& control) {
    const auto stamp = state.router_stamps.find(control);
    heartbeat.answers =
        stamp == state.router_stamps.end() ? 0 : stamp->second.sent;
    context.Do(SendMessage{.to = name, .body = heartbeat});
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
  // Only a higher version is taken over: a configuration never reverts.
  if (config.version <= state.config.version) return;
  state.config = config;
  const auto pool = config.pools.find(state.options.pool);
  if (pool != config.pools.end()) Configure(state.limit, pool->second);
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
  StopGranting(context);
}

bool IsLeaving(const AgentState& state) {
  return state.draining || state.listed_leaving;
}

bool HearsRouters(const AgentState& state) {
  // Before the first one is heard of, there may be none that knows better.
  return !state.deaf && (!state.routers.empty() || !state.met_router);
}

void OnTick(Context& context) {
  AgentState& state = context.state;
  DropSilentRouters(context);
  ExpireGrants(context);
  ExpireAttempts(context);
  for (const std::string& key : Expire(state.keys, context.now)) {
    context.Do(ForgetResult{.key = key});
  }
  suspects::Expire(state.suspects, context.now);
  MeasureShareRate(context);
  // The routers can place these elsewhere, and this agent may be leaving.
  if (!HearsRouters(state)) ReturnWaiting(context, common::Reason::kBusy);
  // Before the heartbeat, which reports the slots that are left.
  FillSlots(context);
  if (HeartbeatDue(state, context.now)) SendHeartbeats(context);
  SendShares(context);
  ProbeIfDown(context);
  CheckDrain(context);
}

}  // namespace shallotbeam::admission::internal
