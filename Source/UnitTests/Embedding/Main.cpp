#include <cstdio>

#include "Admission/Agent.h"
#include "Routing/Router.h"

// Guards against an installed library that another project can't build against:
// one router dispatches one request to one agent without any I/O.
int main() {
  namespace admission = shallotbeam::admission;
  namespace common = shallotbeam::common;
  namespace routing = shallotbeam::routing;
  common::ManualClock clock;

  shallotbeam::config::FleetConfig config;
  config.version = static_cast<common::ConfigVersion>(1);
  config.pools[common::PoolName("pool")] = {};
  config.kinds[common::KindName("chat")] = {.pool = common::PoolName("pool")};
  config.workspaces[common::WorkspaceName("a")] = {
      .open = true, .kinds = {common::KindName("chat")}};

  routing::RouterState router =
      routing::MakeRouter({.name = common::ProcessName("router"),
                           .incarnation = static_cast<common::Incarnation>(1)});
  admission::AgentState agent =
      admission::MakeAgent({.name = common::ProcessName("agent"),
                            .incarnation = static_cast<common::Incarnation>(2),
                            .pool = common::PoolName("pool"),
                            .data = {.address = "127.0.0.1", .port = 1}});
  routing::RouterActions router_actions;
  admission::AgentActions agent_actions;
  routing::Handle(router, clock.Now(), routing::ConfigReceived{config},
                  &router_actions);
  admission::Handle(agent, clock.Now(), admission::ConfigReceived{config},
                    &agent_actions);
  shallotbeam::protocol::Heartbeat heartbeat{
      .role = shallotbeam::protocol::Role::kAgent,
      .data = agent.options.data,
      .pool = agent.options.pool,
      .free_slots = 1,
      .slot_limit = 1};
  routing::Handle(
      router, clock.Now(),
      routing::MessageReceived{{.sender = agent.options.name,
                                .incarnation = agent.options.incarnation,
                                .body = heartbeat}},
      &router_actions);
  routing::Handle(
      router, clock.Now(),
      routing::RequestArrived{
          .id = {.router = router.options.incarnation, .sequence = 1},
          .workspace = common::WorkspaceName("a"),
          .kind = common::KindName("chat")},
      &router_actions);
  for (const routing::RouterAction& it : router_actions) {
    if (std::holds_alternative<routing::DispatchRequest>(it)) {
      std::puts("dispatched");
      return 0;
    }
  }
  std::puts("not dispatched");
  return 1;
}
