#include "AgentHarness.h"
#include "Property.h"

namespace shallotbeam::admission {

BOOST_AUTO_TEST_SUITE(LifecycleTest)

// Guards against a drain that interrupts running requests, keeps queued ones,
// completes twice or issues grants.
BOOST_AUTO_TEST_CASE(DrainCompletesRunningRequests) {
  Harness agent(Pool(1, 1));
  agent.Apply(agent.Offer(1));
  agent.Apply(agent.Offer(2, "k", 1));
  agent.Apply(DrainRequested{});
  const auto rejects = agent.Take<RejectOffer>();
  BOOST_REQUIRE_EQUAL(rejects.size(), 1);
  BOOST_CHECK(rejects[0].refusal.verdict == common::Verdict::kNotRun);
  agent.Demand(1, "a", 3);
  agent.Apply(agent.Offer(3));
  agent.Advance(seconds(1));
  BOOST_CHECK_EQUAL(agent.state.running.size(), 1);
  BOOST_CHECK(agent.state.grants.empty());
  BOOST_CHECK(agent.Take<DrainCompleted>().empty());
  agent.End(1, UpstreamOutcome::kCompleted, 5);
  agent.Advance(seconds(1));
  agent.Apply(DrainRequested{});
  agent.Advance(seconds(70));
  BOOST_CHECK_EQUAL(agent.Take<DrainCompleted>().size(), 1);
}

// Guards against requests that an agent goes on starting although its pool was
// taken out of the configuration.
BOOST_AUTO_TEST_CASE(AgentOfARemovedPoolStartsNothing) {
  Harness agent(Pool(1, 1));
  agent.Apply(agent.Offer(1));
  agent.Apply(agent.Offer(2, "k", 1));
  config::FleetConfig config = agent.state.config;
  config.version = static_cast<common::ConfigVersion>(2);
  config.pools.clear();
  agent.Apply(ConfigReceived{.config = config});
  agent.Apply(agent.Offer(3));
  const auto rejects = agent.Take<RejectOffer>();
  BOOST_REQUIRE_EQUAL(rejects.size(), 2);
  for (const RejectOffer& it : rejects) {
    BOOST_CHECK(it.refusal.verdict == common::Verdict::kNotRun);
    BOOST_CHECK(it.refusal.reason == common::Reason::kNoConfiguration);
  }
  agent.End(1, UpstreamOutcome::kCompleted, 5);
  agent.Demand(1, "a", 3);
  agent.Advance(seconds(1));
  BOOST_CHECK(agent.state.running.empty());
  BOOST_CHECK(agent.state.grants.empty());
}

// Guards against a drain that never ends.
BOOST_AUTO_TEST_CASE(DrainEndsAtItsDeadline) {
  Harness agent(Pool(1));
  RequestOffered offer = agent.Offer(1);
  offer.time_left = seconds(1000);
  agent.Apply(offer);
  agent.Apply(DrainRequested{});
  agent.Advance(seconds(59));
  BOOST_CHECK(agent.Take<DrainCompleted>().empty());
  agent.Advance(seconds(2));
  BOOST_CHECK_EQUAL(agent.Take<DrainCompleted>().size(), 1);
}

// Guards against a draining agent that no longer answers for its keys.
BOOST_AUTO_TEST_CASE(DrainingAgentReplaysAndAnswersRevokes) {
  Harness agent(Pool(2));
  agent.Apply(agent.Offer(1, "done", 1));
  agent.End(1, UpstreamOutcome::kCompleted, 5);
  agent.Apply(agent.Offer(2));
  agent.Apply(DrainRequested{});
  agent.Take<RejectOffer>();
  agent.Apply(agent.Offer(3, "done", 1));
  BOOST_CHECK_EQUAL(agent.Take<ReplayResult>().size(), 1);
  for (const std::string key : {"done", "new"}) {
    agent.Message(kRouter, kRouterIncarnation,
                  protocol::Revoke{.bound_to = kAgentIncarnation,
                                   .workspace = Workspace("a"),
                                   .key = key,
                                   .binding_revision = 1});
    BOOST_CHECK_EQUAL(agent.TakeSent<protocol::RevokeReply>().at(0).started,
                      key == "done");
  }
}

// Guards against routers that never discover each other or this agent.
BOOST_AUTO_TEST_CASE(RoutersLearntFromHeartbeatsAreAnnounced) {
  Harness agent(Pool(1));
  const common::ProcessName other("other");
  const protocol::PeerAddress address{.process = other,
                                      .control = {.address = "o", .port = 2}};
  const auto sent_to = [&](const common::ProcessName& name) {
    int n = 0;
    for (const SendMessage& it : agent.Take<SendMessage>()) {
      if (it.to != name) continue;
      if (std::holds_alternative<protocol::Heartbeat>(it.body)) ++n;
    }
    return n;
  };
  agent.Heartbeat(kRouter, kRouterIncarnation, {address});
  agent.Advance(seconds(1));
  BOOST_CHECK_GE(sent_to(other), 3);
  agent.Heartbeat(other, static_cast<common::Incarnation>(9));
  agent.Advance(milliseconds(500));
  const auto known = agent.TakeSent<protocol::Heartbeat>().back().known_routers;
  BOOST_CHECK_EQUAL(known.size(), 2);
  // After a second of silence the router is no longer listed in heartbeats;
  // later, heartbeats to it stop.
  agent.Advance(milliseconds(1500));
  BOOST_CHECK_EQUAL(
      agent.TakeSent<protocol::Heartbeat>().back().known_routers.size(), 1);
  agent.Advance(seconds(10));
  agent.actions.clear();
  agent.Advance(seconds(1));
  BOOST_CHECK_EQUAL(sent_to(other), 0);
}

// Guards against a router that does not receive the state because its demand
// arrived before its first heartbeat.
BOOST_AUTO_TEST_CASE(JoiningRouterGetsTheShareLedger) {
  Harness agent(Pool(1));
  agent.Apply(agent.Offer(1));
  const common::ProcessName other("other");
  const auto router_incarnation = static_cast<common::Incarnation>(9);
  agent.Demand(1, "a", 1, other, router_incarnation);
  agent.actions.clear();
  agent.Heartbeat(other, router_incarnation);
  BOOST_CHECK_EQUAL(agent.TakeSent<protocol::Shares>().size(), 1);
}

// Guards against requests that are queued at an agent named as leaving and
// start later, and against the host list entry ending the agent's process.
BOOST_AUTO_TEST_CASE(LeavingAgentReturnsWaitingRequests) {
  Harness agent(Pool(1));
  agent.Apply(agent.Offer(1));
  agent.Apply(agent.Offer(2, "k", 1));
  agent.actions.clear();
  agent.Message(kRouter, kRouterIncarnation,
                protocol::Heartbeat{.leaving = true});
  const auto rejected = agent.Take<RejectOffer>();
  BOOST_REQUIRE_EQUAL(rejected.size(), 1);
  BOOST_CHECK(rejected.front().refusal.reason == common::Reason::kDraining);
  // A restarted router does not know that the agent is leaving.
  agent.Advance(seconds(2));
  agent.End(1, UpstreamOutcome::kCompleted, 1);
  agent.Advance(seconds(1));
  BOOST_CHECK(agent.Take<DrainCompleted>().empty());
  agent.Apply(agent.Offer(3));
  BOOST_CHECK(agent.state.running.empty());
}

// Guards against an agent that starts requests after a process pause because of
// a heartbeat sent before the pause. The host list may have named the agent as
// leaving in the meantime.
BOOST_AUTO_TEST_CASE(PausedAgentWaitsForAFreshHeartbeat) {
  Harness agent(Pool(1));
  const std::uint64_t before = common::ToStamp(agent.now);
  agent.now += seconds(3);
  agent.Message(kRouter, kRouterIncarnation,
                protocol::Heartbeat{.echoed_sent = before});
  agent.Apply(agent.Offer(1));
  BOOST_CHECK(agent.state.running.empty());
  agent.Message(kRouter, kRouterIncarnation,
                protocol::Heartbeat{.echoed_sent = common::ToStamp(agent.now)});
  agent.Apply(agent.Offer(2));
  BOOST_CHECK_EQUAL(agent.state.running.size(), 1);
}

// Guards against an agent that starts queued requests while it is partitioned
// from all routers.
BOOST_AUTO_TEST_CASE(AgentWithoutRouterContactReturnsWaitingRequests) {
  Harness agent(Pool(1));
  agent.Apply(agent.Offer(1));
  agent.Apply(agent.Offer(2, "k", 1));
  agent.actions.clear();
  for (int i = 0; i < 60; ++i) {
    agent.now += milliseconds(20);
    agent.Apply(Tick{});
  }
  const auto rejected = agent.Take<RejectOffer>();
  BOOST_REQUIRE_EQUAL(rejected.size(), 1);
  BOOST_CHECK(rejected.front().refusal.verdict == common::Verdict::kNotRun);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::admission
