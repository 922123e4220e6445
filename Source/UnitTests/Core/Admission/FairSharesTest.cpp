#include <algorithm>
#include <cmath>

#include "ShareGap.h"

namespace shallotbeam::admission {

BOOST_AUTO_TEST_SUITE(FairSharesTest)

// Guards against a gap in service above the bound: the largest request plus the
// service of one share (weight 1) in 2 s. Four agents exchange counters with a
// lag of 0.5 s, requests arrive unevenly at the routers, costs are 10 to 1500
// tokens, and estimates are wrong by a factor of 40. First come, first served
// fails the same check.
BOOST_AUTO_TEST_CASE(GapStaysWithinTheBound) {
  FleetModel fleet({}, UnevenWorkspaces());
  fleet.RunFor(kWarmUp);
  BOOST_CHECK_LE(WorstGapRatio(fleet, std::chrono::minutes(5)), 1);
  BOOST_CHECK_GE(fleet.Utilisation(), 0.97);
  FleetModel first_come({.policy = Policy::kFirstComeFirstServed},
                        UnevenWorkspaces());
  BOOST_CHECK_GT(WorstGapRatio(first_come, std::chrono::minutes(5)), 1);
}

// Guards against a workspace that accumulates credit while idle.
// FairShareBoundsTest checks the gap after its return. Without raising its
// virtual time, the same check fails.
BOOST_AUTO_TEST_CASE(ReturningWorkspaceGetsNoCredit) {
  const auto behind = [](common::Duration idle_threshold) {
    Harness agent(Pool(1));
    agent.state.options.idle_threshold = idle_threshold;
    agent.Demand(1, "a", 1);
    agent.Demand(2, "a", 0);
    agent.Demand(1, "b", 1, common::ProcessName("other"),
                 static_cast<common::Incarnation>(3));
    agent.Advance(milliseconds(700));
    fairness::AddService(agent.state.ledger, kAgentIncarnation,
                         {kPool, Workspace("b")}, 1000);
    agent.Demand(3, "a", 1);
    const auto time = [&](const std::string& name) {
      return fairness::VirtualTime(agent.state.ledger,
                                   {kPool, Workspace(name)});
    };
    return time("b") - time("a");
  };
  BOOST_CHECK_LE(behind(milliseconds(500)), 1);
  BOOST_CHECK_GT(behind(std::chrono::hours(24)), 1);
}

// Guards against one workspace getting slots in a burst because nothing is
// charged until its requests end. Without the estimated charge at dispatch, the
// same check fails.
BOOST_AUTO_TEST_CASE(DispatchIsCharged) {
  const auto run = [](bool charge) {
    FleetOptions options{.agents = 1, .slots = 32, .streamed = false};
    if (!charge) {
      options.modify_agent = [](AgentState& state) {
        for (auto& [key, mean] : state.estimates) mean.cost = 0;
      };
    }
    std::vector<ModelWorkspace> model_workspaces = {
        {.name = "a", .tokens = FixedTokens(100), .routers = {0}},
        {.name = "b", .tokens = FixedTokens(1500), .routers = {1}}};
    FleetModel fleet(options, model_workspaces);
    fleet.RunFor(kWarmUp);
    return WorstGapRatio(fleet, std::chrono::minutes(5));
  };
  BOOST_CHECK_LE(run(true), 1);
  BOOST_CHECK_GT(run(false), 1);
}

// Guards against unlimited debt: a workspace whose virtual time turns out to be
// far ahead after a partition gets service again after at most the debt cap.
// Without the cap, the same check fails.
BOOST_AUTO_TEST_CASE(DebtIsCapped) {
  const auto wait = [](bool cap) {
    FleetOptions options;
    if (!cap) {
      options.modify_agent = [](AgentState& state) {
        state.options.debt_cap = std::chrono::hours(24);
      };
    }
    FleetModel fleet(options, UnevenWorkspaces());
    fleet.RunFor(kWarmUp);
    const protocol::Shares other_side{
        .rows = {{.writer = static_cast<common::Incarnation>(999),
                  .pool = kPool,
                  .workspace = Workspace("chat"),
                  .charged = 1e6}}};
    for (Harness& it : fleet.agents) {
      it.Message(common::ProcessName("r0"), kRouterIncarnation, other_side);
    }
    fleet.RunFor(seconds(1));  // running requests end
    const double before = fleet.service["chat"];
    double waited = 0;
    while (fleet.service["chat"] < before + 100 && waited < 100) {
      fleet.Step();
      waited += 0.01;
    }
    // The three other workspaces catch up by the cap, each at a third of the
    // service rate of the pool.
    const double pool = 4 * 8 * 100;
    const double cap_seconds =
        2 * (4 * fleet.largest_weighted_cost + pool / 4 * 2) / (pool / 3);
    BOOST_TEST_MESSAGE("waited " << waited << " s, cap " << cap_seconds);
    return waited / (cap_seconds + 1);
  };
  BOOST_CHECK_LE(wait(true), 1);
  BOOST_CHECK_GT(wait(false), 1);
}

// Guards against a restarted agent computing the debt cap or the urgency boost
// from sums that it has just received, as if they were recent service.
BOOST_AUTO_TEST_CASE(RestartDoesNotDistortTheRate) {
  Harness agent(Pool(2));
  agent.Advance(seconds(1));
  const protocol::Shares sums{
      .rows = {{.writer = static_cast<common::Incarnation>(999),
                .pool = kPool,
                .workspace = Workspace("a"),
                .charged = 1e9},
               {.writer = static_cast<common::Incarnation>(999),
                .pool = kPool,
                .workspace = Workspace("b"),
                .charged = 1e9 - 1000}}};
  agent.Demand(1, "a", 1);
  agent.Demand(1, "b", 1, common::ProcessName("other"),
               static_cast<common::Incarnation>(3));
  agent.Message(kRouter, kRouterIncarnation, sums);
  agent.Advance(milliseconds(400));
  // When the demand of "b" arrived, the virtual time of "a" consisted of the
  // charge of its grant.
  BOOST_CHECK_LE(
      (agent.state.ledger.shares[{kPool, Workspace("b")}].virtual_time_offset),
      1);
  agent.Advance(seconds(5));
  BOOST_CHECK_LE(agent.state.rate.cost_per_second, 2);
}

// Guards against a flood of urgent requests that starves other workspaces, and
// against demand that stays unchanged for long being treated as a return from
// idle.
BOOST_AUTO_TEST_CASE(UrgencyIsABoundedHeadStart) {
  std::vector<ModelWorkspace> model_workspaces = UnevenWorkspaces();
  model_workspaces[0].urgency = common::Urgency::kUrgent;
  FleetModel fleet({}, model_workspaces);
  fleet.RunFor(kWarmUp);
  BOOST_CHECK_LE(WorstGapRatio(fleet, std::chrono::minutes(5)), 1);
}

// Guards against a workspace losing its position because it has waited with
// unchanged demand for longer than `idle_threshold`.
BOOST_AUTO_TEST_CASE(UnchangedDemandIsNotIdle) {
  Harness agent(Pool(1));
  agent.Apply(agent.Offer(1));
  agent.Demand(1, "b", 1);
  agent.Apply(UpstreamProgressed{.id = Id(1), .generated_tokens = 1000});
  agent.Demand(1, "c", 1, common::ProcessName("other"),
               static_cast<common::Incarnation>(3));
  const auto key = fairness::ShareKey(kPool, Workspace("b"));
  const double before = fairness::VirtualTime(agent.state.ledger, key);
  agent.state.ledger.shares[{kPool, Workspace("c")}].virtual_time_offset = 500;
  for (std::uint64_t i = 2; i < 5; ++i) {
    agent.Advance(milliseconds(900));
    agent.Demand(i, "b", 1);
  }
  BOOST_CHECK_EQUAL(fairness::VirtualTime(agent.state.ledger, key), before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::admission
