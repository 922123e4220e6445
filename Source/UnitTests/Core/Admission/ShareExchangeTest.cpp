#include "AgentHarness.h"
#include "Property.h"

namespace shallotbeam::admission {

namespace {

constexpr auto kOther = static_cast<common::Incarnation>(99);

protocol::ShareRow RowOf(common::Incarnation writer, common::Cost charged) {
  return {.writer = writer,
          .pool = kPool,
          .workspace = Workspace("a"),
          .charged = charged};
}

int CountRowsOf(Harness& agent, common::Incarnation writer) {
  int rows = 0;
  for (const protocol::Shares& it : agent.TakeSent<protocol::Shares>()) {
    rows += static_cast<int>(
        std::count_if(it.rows.begin(), it.rows.end(),
                      [&](const auto& row) { return row.writer == writer; }));
  }
  return rows;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ShareExchangeTest)

// Guards against rows that agents and routers send back and forth: traffic
// would grow with the square of the number of agents.
BOOST_AUTO_TEST_CASE(RowsOfOtherAgentsAreRelayedRarely) {
  Harness agent(Pool(4));
  agent.Advance(agent.state.options.relay.interval + seconds(1));
  agent.actions.clear();
  for (int i = 1; i <= 10; ++i) {
    agent.Message(kRouter, kRouterIncarnation,
                  protocol::Shares{{RowOf(kOther, i)}});
    agent.Advance(milliseconds(200));
  }
  BOOST_CHECK_EQUAL(CountRowsOf(agent, kOther), 0);
  agent.Advance(agent.state.options.relay.interval);
  BOOST_CHECK_EQUAL(CountRowsOf(agent, kOther), 1);
}

// Guards against other agents learning too late of the service that this agent
// provided.
BOOST_AUTO_TEST_CASE(OwnRowsAreSentAtOnce) {
  Harness agent(Pool(4));
  agent.Advance(seconds(1));
  agent.actions.clear();
  agent.Apply(agent.Offer(1));
  agent.Advance(agent.state.options.shares_interval + milliseconds(20));
  BOOST_CHECK(CountRowsOf(agent, kAgentIncarnation) >= 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::admission
