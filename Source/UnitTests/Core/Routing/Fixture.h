#ifndef SHALLOTBEAM_UNITTESTS_CORE_ROUTING_FIXTURE_H_
#define SHALLOTBEAM_UNITTESTS_CORE_ROUTING_FIXTURE_H_

#include <string>
#include <utility>
#include <vector>

#include "Routing/Router.h"

namespace shallotbeam::routing::testing {

using common::Incarnation;
using common::ProcessName;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline const common::PoolName kPool("assistant");
inline const common::WorkspaceName kWorkspace("stable");
inline const common::KindName kChat("chat");    // idempotent
inline const common::KindName kOrder("order");  // not idempotent
inline const ProcessName kAgentA("agent-a");
inline const ProcessName kAgentB("agent-b");
constexpr auto kFirstIncarnation = static_cast<Incarnation>(1);
constexpr auto kSecondIncarnation = static_cast<Incarnation>(2);

inline config::FleetConfig MakeConfig() {
  config::FleetConfig config;
  config.version = static_cast<common::ConfigVersion>(1);
  config.pools[kPool] = {};
  config.kinds[kChat] = {.pool = kPool,
                         .default_deadline = seconds(10),
                         .max_queued = 4,
                         .max_queued_bytes = 1000};
  config.kinds[kOrder] = {
      .pool = kPool, .idempotent = false, .default_deadline = seconds(10)};
  config.workspaces[kWorkspace] = {.open = true, .kinds = {kChat, kOrder}};
  return config;
}

template <typename Action>
std::vector<Action> ActionsOfType(const RouterActions& actions) {
  std::vector<Action> found;
  for (const RouterAction& it : actions) {
    if (const auto* action = std::get_if<Action>(&it)) found.push_back(*action);
  }
  return found;
}

template <typename Body>
std::vector<Body> SentBodies(const RouterActions& actions) {
  std::vector<Body> found;
  for (const SendMessage& it : ActionsOfType<SendMessage>(actions)) {
    if (const auto* body = std::get_if<Body>(&it.body)) found.push_back(*body);
  }
  return found;
}

// A router with a configuration, and helpers to send it events.
struct Fixture {
  RouterState router;
  common::TimePoint now = common::TimePoint() + std::chrono::hours(1);

  explicit Fixture(const std::string& name = "router-1",
                   std::uint64_t incarnation = 100) {
    router = MakeRouter({.name = ProcessName(name),
                         .incarnation = static_cast<Incarnation>(incarnation),
                         .data_centre = common::DataCentreName("here")});
    Send(ConfigReceived{.config = MakeConfig()});
  }

  RouterActions Send(const RouterEvent& event) {
    RouterActions actions;
    Handle(router, now, event, &actions);
    return actions;
  }
  RouterActions Tick(common::Duration step = milliseconds(20)) {
    now += step;
    return Send(routing::Tick{});
  }
  common::RequestId Id(int sequence) const {
    return {.router = router.options.incarnation,
            .sequence = static_cast<std::uint64_t>(sequence)};
  }
  RouterActions Receive(const ProcessName& from, Incarnation incarnation,
                        const protocol::Body& body) {
    return Send(MessageReceived{.envelope = {.sender = from,
                                             .incarnation = incarnation,
                                             .body = body}});
  }
  RouterActions ReceiveHeartbeat(
      const ProcessName& agent, int free,
      Incarnation incarnation = kFirstIncarnation,
      protocol::AgentState state = protocol::AgentState::kServing) {
    return Receive(
        agent, incarnation,
        protocol::Heartbeat{.role = protocol::Role::kAgent,
                            .data_centre = common::DataCentreName("here"),
                            .pool = kPool,
                            .state = state,
                            .free_slots = free});
  }
  RouterActions Grant(const ProcessName& agent, std::uint64_t id,
                      Incarnation incarnation = kFirstIncarnation) {
    return Receive(agent, incarnation,
                   protocol::Grant{.grant = static_cast<common::GrantId>(id),
                                   .pool = kPool,
                                   .workspace = kWorkspace});
  }
  RouterActions Arrive(int sequence, std::size_t bytes = 10,
                       std::uint64_t fingerprint = 0) {
    return Send(RequestArrived{
        .id = Id(sequence),
        .workspace = kWorkspace,
        .kind = kChat,
        .body_bytes = bytes,
        .fingerprint = static_cast<common::Fingerprint>(fingerprint)});
  }
  RouterActions ArriveKeyed(int sequence, const std::string& key) {
    return Send(RequestArrived{.id = Id(sequence),
                               .workspace = kWorkspace,
                               .kind = kOrder,
                               .idempotency_key = key});
  }
  RouterActions EndAttempt(int sequence, std::uint32_t attempt,
                           DispatchOutcome outcome,
                           common::Refusal refusal = {}) {
    return Send(DispatchEnded{.id = Id(sequence),
                              .attempt = attempt,
                              .outcome = outcome,
                              .refusal = refusal});
  }
  RouterActions RefuseNotRun(int sequence, std::uint32_t attempt,
                             common::Reason reason) {
    return EndAttempt(sequence, attempt, DispatchOutcome::kRefused,
                      {.verdict = common::Verdict::kNotRun, .reason = reason});
  }
};

// Returns the only refusal in `actions`; kCompleted if there is not exactly
// one.
inline common::Refusal RefusalIn(const RouterActions& actions) {
  const auto refusals = ActionsOfType<RefuseRequest>(actions);
  if (refusals.size() != 1) return {.verdict = common::Verdict::kCompleted};
  return refusals.front().refusal;
}

}  // namespace shallotbeam::routing::testing

#endif  // SHALLOTBEAM_UNITTESTS_CORE_ROUTING_FIXTURE_H_
