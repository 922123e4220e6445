#include <algorithm>
#include <cmath>

#include "ShareGap.h"

namespace shallotbeam::admission {

BOOST_AUTO_TEST_SUITE(FairSharesTest)

// Guards against a gap in service over one largest request plus what one share
// earns in 2 s, with four agents that exchange counters with a lag of 0.5 s,
// uneven entry, costs of 10 to 1500 tokens and estimates that are wrong by a
// factor of 40. First come, first served breaks the same check.
BOOST_AUTO_TEST_CASE(GapStaysWithinTheBound) {
  FleetModel fleet({}, UnevenTenants());
  fleet.For(kStartUp);
  BOOST_CHECK_LE(WorstGap(fleet, std::chrono::minutes(5)), 1);
  BOOST_CHECK_GE(fleet.Utilisation(), 0.97);
  FleetModel first_come({.policy = Policy::kFirstCome}, UnevenTenants());
  BOOST_CHECK_GT(WorstGap(first_come, std::chrono::minutes(5)), 1);
}

// Guards against credit saved while idle. The gap after the return is checked
// by FairShareBoundsTest. Without the lift the same check fails.
BOOST_AUTO_TEST_CASE(ReturnStartsLevel) {
  const auto behind = [](common::Duration idle_after) {
    Harness agent(Pool(1));
    agent.state.options.idle_after = idle_after;
    agent.Demand(1, "a", 1);
    agent.Demand(2, "a", 0);
    agent.Demand(1, "b", 1, common::ProcessName("other"),
                 static_cast<common::Incarnation>(3));
    agent.Advance(milliseconds(700));
    fairness::AddService(agent.state.ledger, kSelf, {kPool, Workspace("b")},
                         1000);
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

// Guards against slots given to one workspace in a burst because nothing is
// charged until its requests end. Without the estimate the same check fails.
BOOST_AUTO_TEST_CASE(DispatchIsCharged) {
  const auto run = [](bool charge) {
    FleetOptions options{.agents = 1, .slots = 32, .streamed = false};
    if (!charge) {
      options.tamper = [](AgentState& state) {
        for (auto& [key, mean] : state.estimates) mean.cost = 0;
      };
    }
    std::vector<Tenant> tenants = {
        {.name = "a", .tokens = Tokens(100), .routers = {0}},
        {.name = "b", .tokens = Tokens(1500), .routers = {1}}};
    FleetModel fleet(options, tenants);
    fleet.For(kStartUp);
    return WorstGap(fleet, std::chrono::minutes(5));
  };
  BOOST_CHECK_LE(run(true), 1);
  BOOST_CHECK_GT(run(false), 1);
}

// Guards against endless debt: a workspace that is found to be far ahead after
// a partition gets service again after at most the debt cap. Without the cap
// the same check fails.
BOOST_AUTO_TEST_CASE(DebtIsCapped) {
  const auto wait = [](bool cap) {
    FleetOptions options;
    if (!cap) {
      options.tamper = [](AgentState& state) {
        state.options.debt_cap = std::chrono::hours(24);
      };
    }
    FleetModel fleet(options, UnevenTenants());
    fleet.For(kStartUp);
    const protocol::Shares other_side{
        .rows = {{.writer = static_cast<common::Incarnation>(999),
                  .pool = kPool,
                  .workspace = Workspace("chat"),
                  .charged = 1e6}}};
    for (Harness& it : fleet.agents) {
      it.Message(common::ProcessName("r0"), kRouterRun, other_side);
    }
    fleet.For(seconds(1));  // what had been started ends
    const double before = fleet.service["chat"];
    double waited = 0;
    while (fleet.service["chat"] < before + 100 && waited < 100) {
      fleet.Step();
      waited += 0.01;
    }
    // The three others catch up with the cap at a third of the pool each.
    const double pool = 4 * 8 * 100;
    const double cap_seconds =
        2 * (4 * fleet.largest + pool / 4 * 2) / (pool / 3);
    BOOST_TEST_MESSAGE("waited " << waited << " s, cap " << cap_seconds);
    return waited / (cap_seconds + 1);
  };
  BOOST_CHECK_LE(wait(true), 1);
  BOOST_CHECK_GT(wait(false), 1);
}

// Guards against a debt cap or an urgency boost that a restarted agent computes
// from the sums it has just been told.
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
  agent.Message(kRouter, kRouterRun, sums);
  agent.Advance(milliseconds(400));
  // The charge of the grant for "a" was the level when "b" came.
  BOOST_CHECK_LE((agent.state.ledger.shares[{kPool, Workspace("b")}].lift), 1);
  agent.Advance(seconds(5));
  BOOST_CHECK_LE(agent.state.rate.cost_per_second, 2);
}

// Guards against urgent floods that starve others, and against demand that is
// unchanged for long being taken for a return from idle.
BOOST_AUTO_TEST_CASE(UrgencyIsABoundedHeadStart) {
  std::vector<Tenant> tenants = UnevenTenants();
  tenants[0].urgency = common::Urgency::kUrgent;
  FleetModel fleet({}, tenants);
  fleet.For(kStartUp);
  BOOST_CHECK_LE(WorstGap(fleet, std::chrono::minutes(5)), 1);
}

// Guards against a workspace that waits with unchanged demand for longer than
// `idle_after` losing its place.
BOOST_AUTO_TEST_CASE(UnchangedDemandIsNotIdle) {
  Harness agent(Pool(1));
  agent.Give(agent.Offer(1));
  agent.Demand(1, "b", 1);
  agent.Give(UpstreamProgressed{.id = Id(1), .generated_tokens = 1000});
  agent.Demand(1, "c", 1, common::ProcessName("other"),
               static_cast<common::Incarnation>(3));
  const auto key = fairness::ShareKey(kPool, Workspace("b"));
  const double before = fairness::VirtualTime(agent.state.ledger, key);
  agent.state.ledger.shares[{kPool, Workspace("c")}].lift = 500;
  for (std::uint64_t i = 2; i < 5; ++i) {
    agent.Advance(milliseconds(900));
    agent.Demand(i, "b", 1);
  }
  BOOST_CHECK_EQUAL(fairness::VirtualTime(agent.state.ledger, key), before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::admission
