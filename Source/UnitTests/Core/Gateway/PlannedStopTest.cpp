#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <list>

#include "Core/Gateway/GatewayFixture.h"

namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// A gateway that drains with callers on new and on kept connections.
struct Fixture {
  GatewayFixture fleet;
  FakeUpstream upstream{fleet.context, RespondDone};
  std::list<Caller> callers;
  bool stopped = false;

  Fixture() { fleet.AddUpstream("u1", upstream.Endpoint()); }

  Caller& Connect() {
    return callers.emplace_back(fleet.context, fleet.gateway->CallersPort());
  }
  bool IsListening() {
    boost::asio::ip::tcp::socket probe(fleet.context);
    boost::system::error_code ec;
    probe.connect(
        {boost::asio::ip::address_v4::loopback(), fleet.gateway->CallersPort()},
        ec);
    return !ec;
  }
  void Drain() {
    fleet.gateway->Drain([this] { stopped = true; });
  }
  int Answered() const {
    return static_cast<int>(std::count_if(
        callers.begin(), callers.end(),
        [](const Caller& it) { return Contains(it.Received(), "HTTP/1.1 "); }));
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(PlannedStopTest)

// Load pattern: a planned stop while callers keep coming. Guards against a
// process that exits while requests have arrived that it has not read: on
// connections in the listen backlog, and on accepted ones.
BOOST_AUTO_TEST_CASE(ArrivedRequestsAreAnsweredBeforeTheExit) {
  Fixture it;
  for (int i = 0; i < 5; ++i) it.Connect();  // kept connections
  it.fleet.RunPending();
  it.Drain();
  it.fleet.Advance(2'400ms);
  BOOST_REQUIRE(!it.stopped);
  for (int i = 0; i < 100 && !it.stopped; ++i) {
    // The bytes arrive just before the tick, without a handler between.
    if (it.IsListening()) {
      it.Connect().Send(GatewayFixture::Request("/look/1"));
    }
    it.fleet.clock.Advance(kTickInterval);
    it.fleet.gateway->OnTick();
    if (it.stopped) break;
    for (int j = 0; j < 200; ++j) it.fleet.context.poll_one();
    it.fleet.context.restart();
  }
  BOOST_REQUIRE(it.stopped);
  it.fleet.gateway.reset();  // the process exits
  it.fleet.RunPending();
  const int kept = 5;
  BOOST_CHECK_GT(it.callers.size(), kept);
  BOOST_CHECK_EQUAL(it.Answered(), static_cast<int>(it.callers.size()) - kept);
}

// Guards against requests that are taken late in a planned stop and cut without
// a response at its end: one that can't end in time is refused as not run, and
// one that is still running is answered before the exit.
BOOST_AUTO_TEST_CASE(LateRequestsAreAnsweredOrRefused) {
  GatewayFixture fleet;
  FakeUpstream silent(fleet.context, [](const std::string&) {
    return FakeUpstream::Reaction{};
  });
  fleet.AddUpstream("silent", silent.Endpoint());
  auto catalogue = fleet.catalogue;
  catalogue.version = static_cast<common::ConfigVersion>(2);
  for (auto& route : catalogue.routes) route.timeout = 20s;
  fleet.PutCatalogue(catalogue);
  bool stopped = false;
  fleet.gateway->Drain([&] { stopped = true; });
  Caller running(fleet.context, fleet.gateway->CallersPort());
  running.Send(GatewayFixture::Request("/order/1"));
  fleet.RunUntil([&] { return silent.Requests().size() == 1; });
  fleet.Advance(3s);
  Caller late(fleet.context, fleet.gateway->CallersPort());
  late.Send(GatewayFixture::Request("/order/2"));
  fleet.RunUntil([&] { return !late.Received().empty(); });
  BOOST_CHECK(Contains(late.Received(), "HTTP/1.1 503"));
  BOOST_CHECK_EQUAL(silent.Requests().size(), 1);
  for (int i = 0; i < 300 && !stopped; ++i) fleet.Advance(kTickInterval);
  BOOST_REQUIRE(stopped);
  BOOST_CHECK(Contains(running.Received(), "HTTP/1.1 504"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
