#include <set>

#include "AgentHarness.h"
#include "Property.h"

namespace shallotbeam::admission {

namespace {

// Applies one random event: from a router, from the upstream or the passing of
// time.
void ApplyRandomStep(Harness& agent, int step, std::uint64_t* sequence) {
  const std::string workspace(1, static_cast<char>('a' + (step >> 4) % 3));
  const common::ProcessName router((step >> 6) % 2 == 0 ? "router" : "other");
  // The incarnation of the second router changes now and then.
  const auto router_incarnation =
      router == kRouter ? kRouterIncarnation
                        : static_cast<common::Incarnation>(10 + step % 2);
  ++*sequence;
  switch (step % 12) {
    case 0:
    case 1:
    case 2:
      return agent.Demand(*sequence, workspace, (step >> 8) % 5, router,
                          router_incarnation);
    case 3:
      return agent.Apply(agent.Offer(*sequence));
    case 4:
      return agent.Apply(agent.Offer(*sequence, std::to_string(step % 9), 1));
    case 5:
    case 6: {
      if (agent.state.grants.empty()) return;
      const auto& [id, grant] = *agent.state.grants.begin();
      RequestOffered offer = agent.Offer(*sequence);
      offer.grant = id;
      offer.router = grant.router;
      offer.workspace = Workspace(workspace);
      return agent.Apply(offer);
    }
    case 7:
      if (agent.state.grants.empty()) return;
      return agent.Message(
          router, router_incarnation,
          protocol::GrantReturn{.grant = agent.state.grants.begin()->first});
    case 8:
    case 9: {
      if (agent.state.running.empty()) return;
      const auto outcome = static_cast<UpstreamOutcome>((step >> 8) % 6);
      return agent.Apply(UpstreamEnded{.id = agent.state.running.begin()->first,
                                       .outcome = outcome});
    }
    case 10:
      if (!agent.state.running.empty()) {
        agent.Apply(OfferWithdrawn{.id = agent.state.running.begin()->first});
      }
      return agent.Apply(UpstreamProbed{.reachable = true});
    default:
      agent.now += milliseconds((step >> 4) % 300);
      return agent.Apply(Tick{});
  }
}

// Checks that the backlog index is consistent with the demand of routers and
// the queued attempts.
void CheckBacklog(const AgentState& state) {
  std::set<common::WorkspaceName> expected;
  for (const auto& [router, peer] : state.routers) {
    for (const auto& [workspace, demand] : peer.demand) {
      RC_ASSERT(demand.waiting > 0);
      expected.insert(workspace);
      RC_ASSERT(state.backlog.at(workspace).routers.contains(
          {demand.oldest_arrival, router}));
    }
  }
  int granted = 0;
  for (const Attempt& it : state.waiting) {
    if (it.granted) ++granted;
    if (!it.granted) expected.insert(it.workspace);
  }
  RC_ASSERT(granted == state.waiting_granted);
  RC_ASSERT(expected.size() == state.backlog.size());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SlotsTest)

// Guards against idle slots while requests wait, against running more requests
// than the limit, and against a backlog index that is inconsistent with the
// demand.
BOOST_AUTO_TEST_CASE(CapacityIsNeitherIdleNorExceeded) {
  test::CheckProperty("committed slots stay within limit and prefetch", [] {
    constexpr int kSlots = 3;
    constexpr int kPrefetch = 1;
    Harness agent(Pool(kSlots, kPrefetch));
    std::uint64_t sequence = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(
        300, rc::gen::inRange(0, 1 << 20));
    for (const int step : steps) {
      ApplyRandomStep(agent, step, &sequence);
      agent.actions.clear();
      const AgentState& state = agent.state;
      CheckBacklog(state);
      // Back-off after an error keeps the slot of a request that has just
      // ended, so it never pushes the sum over the limit.
      RC_ASSERT(static_cast<int>(state.running.size() +
                                 state.backoff_slots.size()) <= kSlots);
      RC_ASSERT(agent.CommittedSlots() <= kSlots + kPrefetch);
      if (state.upstream_up && !state.backlog.empty()) {
        RC_ASSERT(agent.CommittedSlots() >= kSlots);
      }
      // A waiting attempt with a grant starts before anything else.
      if (state.waiting_granted > 0 && state.upstream_up) {
        RC_ASSERT(static_cast<int>(state.running.size() +
                                   state.backoff_slots.size()) == kSlots);
      }
    }
  });
}

// Guards against charges that are lost or refunded twice: when no request is in
// progress, the sums equal the service that was provided.
BOOST_AUTO_TEST_CASE(SumsMatchTheServiceProvided) {
  test::CheckProperty("charges minus refunds are the tokens generated", [] {
    Harness agent(Pool(3, 1));
    std::uint64_t sequence = 0;
    common::Cost tokens_generated = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(
        200, rc::gen::inRange(0, 1 << 20));
    for (const int step : steps) {
      if (!agent.state.running.empty() && step % 3 == 0) {
        const AttemptId id = agent.state.running.begin()->first;
        const int tokens = (step >> 5) % 100;
        agent.Apply(UpstreamProgressed{
            .id = id, .generated_tokens = static_cast<std::uint64_t>(tokens)});
        tokens_generated += tokens;
        if (step % 2 == 0) {
          agent.Apply(OfferWithdrawn{.id = id});
        } else {
          agent.Apply(UpstreamEnded{
              .id = id,
              .outcome = UpstreamOutcome::kCompleted,
              .generated_tokens = static_cast<std::uint64_t>(tokens)});
        }
        // A request with a key continues after the withdrawal; this ends it
        // with the same tokens.
        agent.Apply(UpstreamEnded{
            .id = id,
            .outcome = UpstreamOutcome::kCompleted,
            .generated_tokens = static_cast<std::uint64_t>(tokens)});
        continue;
      }
      if (step % 12 == 8 || step % 12 == 9 || step % 12 == 10) continue;
      ApplyRandomStep(agent, step, &sequence);
    }
    // Deadlines end the remaining requests without any token. The demand of the
    // silent routers is dropped.
    for (int i = 0; i < 100; ++i) {
      agent.now += seconds(1);
      agent.Apply(Tick{});
    }
    RC_ASSERT(agent.state.running.empty() && agent.state.grants.empty());
    const double sum =
        agent.ServiceOf("a") + agent.ServiceOf("b") + agent.ServiceOf("c");
    RC_ASSERT(std::abs(sum - tokens_generated) < 1e-6 * (1 + tokens_generated));
  });
}

// Guards against a lost grant that reserves its slot forever.
BOOST_AUTO_TEST_CASE(LostGrantExpires) {
  Harness agent(Pool(1));
  agent.Demand(1, "a", 1);
  BOOST_CHECK_EQUAL(agent.TakeSent<protocol::Grant>().size(), 1);
  agent.Advance(milliseconds(520));
  BOOST_CHECK_EQUAL(agent.CommittedSlots(), 0);
  BOOST_CHECK_EQUAL(agent.ServiceOf("a"), 0);
}

// Guards against a late or repeated offer that uses a grant twice.
BOOST_AUTO_TEST_CASE(GrantIsUsedOnce) {
  Harness agent(Pool(1));
  agent.Demand(1, "a", 1);
  RequestOffered offer = agent.Offer(1);
  offer.grant = agent.TakeSent<protocol::Grant>().at(0).grant;
  agent.Apply(offer);
  BOOST_CHECK_EQUAL(agent.Take<StartUpstream>().size(), 1);
  agent.Apply(offer);  // the same attempt again
  offer.id = Id(2);
  agent.Apply(offer);  // another request with the same grant
  BOOST_CHECK_EQUAL(agent.Take<StartUpstream>().size(), 0);
  BOOST_CHECK_EQUAL(agent.state.running.size(), 1);
}

// Guards against a returned grant being issued again at once for the same,
// outdated demand, and against a grant being returned by another router.
BOOST_AUTO_TEST_CASE(ReturnedGrantGoesToAnotherWorkspace) {
  Harness agent(Pool(1));
  agent.Demand(1, "a", 9);
  const common::GrantId id = agent.TakeSent<protocol::Grant>().at(0).grant;
  agent.Demand(1, "b", 9, common::ProcessName("other"),
               static_cast<common::Incarnation>(8));
  agent.Message(common::ProcessName("other"),
                static_cast<common::Incarnation>(8),
                protocol::GrantReturn{.grant = id});
  BOOST_CHECK(agent.TakeSent<protocol::Grant>().empty());
  agent.Message(kRouter, kRouterIncarnation,
                protocol::GrantReturn{.grant = id});
  const auto grants = agent.TakeSent<protocol::Grant>();
  BOOST_REQUIRE_EQUAL(grants.size(), 1);
  BOOST_CHECK(grants[0].workspace == Workspace("b"));
}

// Guards against demand and grants that outlive their router's incarnation, and
// against late messages of that incarnation.
BOOST_AUTO_TEST_CASE(RestartedRouterLosesItsDemandAndGrants) {
  Harness agent(Pool(1));
  agent.Demand(7, "a", 5);
  const auto next = static_cast<common::Incarnation>(6);
  agent.Heartbeat(kRouter, next);
  BOOST_CHECK_EQUAL(agent.CommittedSlots(), 0);
  BOOST_CHECK(agent.state.backlog.empty());
  agent.Demand(8, "a", 5);
  BOOST_CHECK(agent.state.backlog.empty());
  agent.Demand(1, "b", 1, kRouter, next);
  BOOST_CHECK_EQUAL(agent.CommittedSlots(), 1);
}

// Guards against a grant of an earlier incarnation of the agent being mistaken
// for one of this incarnation.
BOOST_AUTO_TEST_CASE(GrantsOfIncarnationsDiffer) {
  Harness before(Pool(1), static_cast<common::Incarnation>(1));
  Harness after(Pool(1), static_cast<common::Incarnation>(2));
  before.Demand(1, "a", 1);
  after.Demand(1, "a", 1);
  const common::GrantId old = before.TakeSent<protocol::Grant>().at(0).grant;
  after.Message(kRouter, kRouterIncarnation,
                protocol::GrantReturn{.grant = old});
  BOOST_CHECK_EQUAL(after.state.grants.size(), 1);
}

// Guards against outdated demand being restored by a late message.
BOOST_AUTO_TEST_CASE(LateDemandIsIgnored) {
  Harness agent(Pool(1));
  agent.Demand(5, "a", 0);
  agent.Demand(4, "a", 3);
  BOOST_CHECK(agent.state.backlog.empty());
}

// Guards against grants without a configuration, which would be refused.
BOOST_AUTO_TEST_CASE(NothingIsGrantedWithoutConfiguration) {
  AgentState state =
      MakeAgent({.incarnation = kAgentIncarnation, .pool = kPool});
  AgentActions actions;
  const protocol::Demand demand{
      .pool = kPool,
      .sequence = 1,
      .workspaces = {{.workspace = Workspace("a"), .waiting = 1}}};
  Handle(state, common::TimePoint(seconds(1)),
         MessageReceived{.envelope = {.sender = kRouter,
                                      .incarnation = kRouterIncarnation,
                                      .body = demand}},
         &actions);
  BOOST_CHECK(state.grants.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::admission
