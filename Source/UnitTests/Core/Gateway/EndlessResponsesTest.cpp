#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "Core/Gateway/GatewayFixture.h"

namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const std::string kUnendingRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
    "Content-Length: 99999999999\r\n\r\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(EndlessResponsesTest)

// Guards against a request, which has not run and may be sent elsewhere, that
// waits for the end of a refusal until its deadline.
BOOST_AUTO_TEST_CASE(RefusalThatStallsIsNotAwaited) {
  FaultyFirstFixture it({.bytes = kUnendingRefusal});
  Caller caller(it.fleet.context, it.fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1"));
  it.fleet.RunUntil([&] { return it.requests == 1; });
  it.fleet.RunPending();
  for (int i = 0; i < 10; ++i) it.fleet.Advance(kTickInterval);
  it.fleet.RunUntil([&] { return Contains(caller.Received(), "done"); });
  BOOST_CHECK_EQUAL(it.requests, 2);
}

BOOST_AUTO_TEST_CASE(RefusalThatGoesOnIsNotAwaited) {
  FaultyFirstFixture it(
      {.bytes = kUnendingRefusal + std::string(100'000, 'x')});
  Caller caller(it.fleet.context, it.fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1"));
  it.fleet.RunUntil([&] { return Contains(caller.Received(), "done"); });
  BOOST_CHECK_EQUAL(it.requests, 2);
}

// Guards against a stream whose event never ends: the process would hold all of
// it, and its caller would wait until the deadline.
BOOST_AUTO_TEST_CASE(EventWithoutEndBreaksTheStream) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 99999999999\r\n\r\n"
      "id: 1\ndata: whole\n\n";
  GatewayFixture fleet;
  FakeUpstream upstream(fleet.context, [&](const std::string&) {
    return FakeUpstream::Reaction{head + std::string(3'000'000, 'x')};
  });
  fleet.AddUpstream("u1", upstream.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/talk/1"));
  fleet.RunUntil([&] { return caller.IsClosed(); });
  BOOST_CHECK(Contains(caller.Received(), "whole"));
  BOOST_CHECK(!Contains(caller.Received(), "xxx"));
  BOOST_CHECK(!Contains(caller.Received(), "\r\n0\r\n\r\n"));
}

// Guards against a stream that stalls but lives on by a byte now and then: it
// ends at its deadline.
BOOST_AUTO_TEST_CASE(StalledStreamEndsAtItsDeadline) {
  GatewayFixture fleet;
  FakeUpstream upstream(fleet.context, [&](const std::string&) {
    return FakeUpstream::Reaction{
        "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 99999\r\n\r\n"
        "id: 1\ndata: whole\n\n"};
  });
  fleet.AddUpstream("u1", upstream.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/talk/1", "Time-Left: 4000\r\n"));
  fleet.RunUntil([&] { return Contains(caller.Received(), "whole"); });
  fleet.Advance(3'900ms);
  BOOST_CHECK(!caller.IsClosed());
  fleet.Advance(200ms);
  fleet.RunUntil([&] { return caller.IsClosed(); });
  BOOST_CHECK(!Contains(caller.Received(), "\r\n0\r\n\r\n"));
}

// Guards against a slow but sound stream that is cut: its events come at nine
// tenths of the accepted gap for a minute.
BOOST_AUTO_TEST_CASE(SlowStreamIsRelayedToItsEnd) {
  GatewayFixture fleet;
  catalogue::Catalogue catalogue = fleet.catalogue;
  catalogue.version = static_cast<common::ConfigVersion>(9);
  for (catalogue::Route& it : catalogue.routes) {
    it.timeout = 120s;
    it.event_gap_target = 400ms;
  }
  fleet.PutCatalogue(catalogue);
  namespace net = boost::asio;
  net::ip::tcp::acceptor acceptor(fleet.context,
                                  {net::ip::address_v4::loopback(), 0});
  fleet.AddUpstream(
      "u1", {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()});
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/talk/1", "Time-Left: 90000\r\n"));
  net::ip::tcp::socket upstream(fleet.context);
  bool accepted = false;
  acceptor.async_accept(
      upstream, [&accepted](boost::system::error_code) { accepted = true; });
  fleet.RunUntil([&accepted] { return accepted; });
  const std::string event = "id: 7\ndata: x\n\n";
  const int events = 60'000 / 360;
  net::write(upstream,
             net::buffer("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: " +
                         std::to_string(events * event.size()) + "\r\n\r\n"));
  for (int i = 0; i < events; ++i) {
    fleet.clock.Advance(360ms);
    fleet.gateway->OnTick();
    net::write(upstream, net::buffer(event));
    fleet.context.restart();
    fleet.context.poll();
  }
  fleet.RunUntil([&] { return Contains(caller.Received(), "\r\n0\r\n\r\n"); });
  std::size_t relayed = 0;
  for (std::size_t at = caller.Received().find(event); at != std::string::npos;
       at = caller.Received().find(event, at + 1)) {
    ++relayed;
  }
  BOOST_CHECK_EQUAL(relayed, events);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
