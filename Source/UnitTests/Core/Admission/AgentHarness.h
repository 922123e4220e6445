#ifndef SHALLOTBEAM_UNITTESTS_CORE_ADMISSION_AGENTHARNESS_H_
#define SHALLOTBEAM_UNITTESTS_CORE_ADMISSION_AGENTHARNESS_H_

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "Admission/Agent.h"

namespace shallotbeam::admission {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const common::PoolName kPool("pool");
inline const common::KindName kKind("kind");
inline const common::ProcessName kRouter("router");
inline constexpr auto kAgentIncarnation = static_cast<common::Incarnation>(77);
inline constexpr auto kRouterIncarnation = static_cast<common::Incarnation>(5);

inline common::WorkspaceName Workspace(const std::string& name) {
  return common::WorkspaceName(name);
}

inline AttemptId Id(std::uint64_t sequence) {
  return {.request = {.router = kRouterIncarnation, .sequence = sequence},
          .attempt = 1};
}

// One agent with a simulated clock; records all actions.
struct Harness {
  AgentState state;
  common::TimePoint now{seconds(1000)};
  AgentActions actions;

  explicit Harness(const config::PoolConfig& pool,
                   common::Incarnation incarnation = kAgentIncarnation)
      : state(MakeAgent({.name = common::ProcessName("agent"),
                         .incarnation = incarnation,
                         .pool = kPool})) {
    config::FleetConfig config{.version =
                                   static_cast<common::ConfigVersion>(1)};
    config.pools[kPool] = pool;
    config.kinds[kKind] = {.pool = kPool};
    Apply(ConfigReceived{.config = config});
    Heartbeat(kRouter, kRouterIncarnation);
  }

  void Apply(const AgentEvent& event) { Handle(state, now, event, &actions); }

  void Message(const common::ProcessName& from,
               common::Incarnation sender_incarnation, protocol::Body body) {
    Apply(MessageReceived{.envelope = {.sender = from,
                                       .incarnation = sender_incarnation,
                                       .body = std::move(body)}});
  }

  void Heartbeat(const common::ProcessName& from,
                 common::Incarnation sender_incarnation,
                 std::vector<protocol::PeerAddress> known = {}) {
    Message(from, sender_incarnation,
            protocol::Heartbeat{.control = {.address = from.value, .port = 1},
                                .known_routers = std::move(known)});
  }

  // Replaces the demand of a router by `waiting` requests of one workspace.
  void Demand(std::uint64_t sequence, const std::string& workspace, int waiting,
              const common::ProcessName& from = kRouter,
              common::Incarnation sender_incarnation = kRouterIncarnation) {
    Message(from, sender_incarnation,
            protocol::Demand{.pool = kPool,
                             .sequence = sequence,
                             .workspaces = {{.workspace = Workspace(workspace),
                                             .waiting = waiting}}});
  }

  void Advance(common::Duration period) {
    for (const auto end = now + period; now < end;) {
      now += milliseconds(20);
      Heartbeat(kRouter, kRouterIncarnation);
      Apply(Tick{});
    }
  }

  RequestOffered Offer(std::uint64_t sequence, const std::string& key = "",
                       std::uint64_t revision = 0) const {
    // All attempts with one key have the same body.
    const std::uint64_t body =
        key.empty() ? sequence + 1 : std::hash<std::string>()(key);
    return {.id = Id(sequence),
            .router = kRouter,
            .workspace = Workspace("a"),
            .kind = kKind,
            .fingerprint = static_cast<common::Fingerprint>(body),
            .time_left = seconds(30),
            .key = key,
            .bound_to = state.options.incarnation,
            .binding_revision = revision};
  }

  void End(std::uint64_t sequence, UpstreamOutcome outcome,
           std::uint64_t tokens = 0) {
    Apply(UpstreamEnded{
        .id = Id(sequence), .outcome = outcome, .generated_tokens = tokens});
  }

  // Returns the recorded actions of one type and clears all recorded actions.
  template <typename Action>
  std::vector<Action> Take() {
    std::vector<Action> found;
    for (const AgentAction& it : std::exchange(actions, {})) {
      if (const auto* action = std::get_if<Action>(&it)) {
        found.push_back(*action);
      }
    }
    return found;
  }

  template <typename Body>
  std::vector<Body> TakeSent() {
    std::vector<Body> found;
    for (const SendMessage& it : Take<SendMessage>()) {
      if (const auto* body = std::get_if<Body>(&it.body)) {
        found.push_back(*body);
      }
    }
    return found;
  }

  common::Cost ServiceOf(const std::string& workspace) const {
    const auto it = state.ledger.shares.find({kPool, Workspace(workspace)});
    return it == state.ledger.shares.end() ? 0 : it->second.net_service;
  }

  int CommittedSlots() const {
    return static_cast<int>(state.running.size() + state.grants.size() +
                            state.backoff_slots.size()) +
           state.waiting_granted;
  }
};

inline config::PoolConfig Pool(int slots, int prefetch = 0) {
  return {.initial_slots = slots,
          .min_slots = slots,
          .max_slots = slots,
          .prefetch = prefetch};
}

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_UNITTESTS_CORE_ADMISSION_AGENTHARNESS_H_
