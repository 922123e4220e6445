#include <boost/test/unit_test.hpp>

#include "Fixture.h"

namespace shallotbeam::routing {

namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

// Returns, for each of two routers, how many of the rows of `writers` agents
// the router forwards in its next message.
std::vector<std::size_t> ImmediateRows(int writers, bool know_each_other) {
  std::vector<std::size_t> rows;
  const std::vector<std::string> names = {"router-1", "router-2"};
  for (std::size_t i = 0; i < names.size(); ++i) {
    Fixture fixture(names[i]);
    const protocol::PeerAddress other{
        .process = ProcessName(names[1 - i]),
        .control = {.address = "127.0.0.1", .port = 1}};
    fixture.ReceiveHeartbeat(kAgentA, 1);
    if (know_each_other) {
      fixture.Receive(kAgentA, kFirstIncarnation,
                      protocol::Heartbeat{.role = protocol::Role::kAgent,
                                          .pool = kPool,
                                          .known_routers = {other}});
    }
    // The first message sends the rows that have been held since the start.
    fixture.Tick(seconds(6));
    fixture.ReceiveHeartbeat(kAgentA, 1);
    protocol::Shares shares;
    for (int writer = 1; writer <= writers; ++writer) {
      shares.rows.push_back({.writer = static_cast<Incarnation>(1000 + writer),
                             .pool = kPool,
                             .workspace = kWorkspace,
                             .charged = 1});
    }
    fixture.Receive(kAgentA, kFirstIncarnation, shares);
    std::size_t sent = 0;
    for (const auto& it :
         SentBodies<protocol::Shares>(fixture.Tick(milliseconds(200)))) {
      sent += it.rows.size();
    }
    rows.push_back(sent);
  }
  return rows;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ShareRelayTest)

// Guards against every router sending every row to every agent, and against a
// row that no router sends.
BOOST_AUTO_TEST_CASE(RoutersDivideTheRows) {
  const auto rows = ImmediateRows(40, /*know_each_other=*/true);
  BOOST_CHECK_EQUAL(rows[0] + rows[1], 40);
  BOOST_CHECK(rows[0] > 5);
  BOOST_CHECK(rows[1] > 5);
}

// Guards against rows that wait for a router that no process knows.
BOOST_AUTO_TEST_CASE(RouterWithoutPeersSendsAllRows) {
  const auto rows = ImmediateRows(40, /*know_each_other=*/false);
  BOOST_CHECK_EQUAL(rows[0], 40);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::routing
