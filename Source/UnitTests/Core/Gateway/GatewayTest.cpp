#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>

#include "Core/Gateway/GatewayFixture.h"
#include "Wire/Codec.h"

namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

}  // namespace

BOOST_AUTO_TEST_SUITE(GatewayTest)

// Guards against a response whose status, body or digest is lost when it is
// relayed.
BOOST_AUTO_TEST_CASE(RelaysTheWholeResponse) {
  GatewayFixture fleet;
  FakeUpstream upstream(fleet.context, RespondDone);
  fleet.AddUpstream("u1", upstream.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1"));
  fleet.RunUntil([&] { return Contains(caller.Received(), "done"); });
  BOOST_CHECK(Contains(caller.Received(), "HTTP/1.1 200"));
  BOOST_CHECK(Contains(caller.Received(), "Seal: s"));
  BOOST_REQUIRE_EQUAL(upstream.Requests().size(), 1);
  BOOST_CHECK(Contains(upstream.Requests()[0], "Expected: u1"));
}

// Guards against upstreams that keep working for callers that have
// disconnected.
BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsTheUpstreamRequest) {
  GatewayFixture fleet;
  FakeUpstream silent(fleet.context, [](const std::string&) {
    return FakeUpstream::Reaction{};
  });
  fleet.AddUpstream("u1", silent.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/look/1"));
  fleet.RunUntil([&] { return silent.OpenConnections() == 1; });
  fleet.RunUntil([&] { return !silent.Requests().empty(); });
  caller.Close();
  fleet.RunUntil([&] { return silent.OpenConnections() == 0; });
}

// Guards against an item of the store that hides the changes which arrive with
// it.
BOOST_AUTO_TEST_CASE(UnreadableItemHidesNoOtherChange) {
  GatewayFixture fleet;
  fleet.with_unreadable_items = true;
  FakeUpstream upstream(fleet.context, RespondDone);
  fleet.AddUpstream("u1", upstream.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1"));
  fleet.RunUntil([&] { return Contains(caller.Received(), "done"); });
}

// Guards against new requests to a draining upstream.
BOOST_AUTO_TEST_CASE(DrainingUpstreamGetsNoNewWork) {
  GatewayFixture fleet;
  FakeUpstream leaving(fleet.context, RespondDone);
  FakeUpstream staying(fleet.context, RespondDone);
  fleet.AddUpstream("u1", leaving.Endpoint());
  fleet.AddUpstream("u2", staying.Endpoint());
  fleet.AddUpstream("u1", leaving.Endpoint(), /*draining=*/true);
  for (int i = 0; i < 5; ++i) {
    Caller caller(fleet.context, fleet.gateway->CallersPort());
    caller.Send(GatewayFixture::Request("/look/1"));
    fleet.RunUntil([&] { return Contains(caller.Received(), "done"); });
  }
  BOOST_CHECK(leaving.Requests().empty());
}

// Guards against revoked credentials that are accepted by a gateway that can't
// reach the store, and against refusals with a status that forbids a retry.
BOOST_AUTO_TEST_CASE(CredentialsAreRefusedWhileTheStoreIsUnreachable) {
  GatewayFixture fleet(/*with_workspaces=*/true);
  FakeUpstream upstream(fleet.context, RespondDone);
  fleet.AddUpstream("u1", upstream.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1", "Credential: secret\r\n"));
  fleet.RunUntil([&] { return Contains(caller.Received(), "done"); });
  BOOST_CHECK(Contains(upstream.Requests()[0], "Workspace: yard"));
  BOOST_CHECK(!Contains(upstream.Requests()[0], "secret"));

  fleet.Advance(4900ms);
  Caller late(fleet.context, fleet.gateway->CallersPort());
  late.Send(GatewayFixture::Request("/order/1", "Credential: secret\r\n"));
  fleet.RunUntil([&] { return Contains(late.Received(), "HTTP/1.1 "); });
  BOOST_CHECK(Contains(late.Received(), "HTTP/1.1 503"));
  BOOST_CHECK_EQUAL(upstream.Requests().size(), 1);
}

// Guards against requests with unknown credentials, and against responses whose
// differences reveal which names exist.
BOOST_AUTO_TEST_CASE(UnknownCredentialIsRefused) {
  GatewayFixture fleet(/*with_workspaces=*/true);
  FakeUpstream upstream(fleet.context, RespondDone);
  fleet.AddUpstream("u1", upstream.Endpoint());
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1", "Credential: wrong\r\n"));
  fleet.RunUntil([&] { return Contains(caller.Received(), "HTTP/1.1 401"); });
  BOOST_CHECK(upstream.Requests().empty());
}

// Guards against a workspace that is told that the fleet is unavailable,
// although it is its own requests that exceed its share.
BOOST_AUTO_TEST_CASE(RefusalBeyondTheShareNamesTheCaller) {
  for (const bool beyond_share : {false, true}) {
    GatewayFixture fleet(/*with_workspaces=*/true);
    FakeUpstream engine(fleet.context, RespondDone);
    catalogue::Catalogue limited = fleet.catalogue;
    limited.version = static_cast<common::ConfigVersion>(2);
    limited.tokens_per_second = 10;
    limited.pools[common::PoolName("plain")] = {.engine = catalogue::Engine{}};
    fleet.PutCatalogue(limited);
    fleet.AddUpstream("u1", engine.Endpoint());
    const auto receive = [&](protocol::SchedulingBody body) {
      fleet.gateway->OnControlMessage(wire::Encode(protocol::SchedulingEnvelope{
          .incarnation = static_cast<common::Incarnation>(9),
          .body = std::move(body)}));
    };
    for (const double requested : {0.0, beyond_share ? 1e7 : 1.0}) {
      receive(protocol::SchedulerReport{
          .control = {.address = "127.0.0.1", .port = 8083},
          .workspaces = {{.workspace = common::WorkspaceName("yard"),
                          .requested = requested,
                          .served = requested}}});
      for (int i = 0; i < 20; ++i) fleet.Advance(kTickInterval);
    }
    Caller caller(fleet.context, fleet.gateway->CallersPort());
    caller.Send(GatewayFixture::Request(
        "/order/1", "Credential: secret\r\nParts: 1 2\r\n"));
    std::vector<protocol::StartOffer> offers;
    fleet.RunUntil([&] {
      offers = fleet.SentBodies<protocol::StartOffer>();
      return !offers.empty();
    });
    receive(protocol::StartReply{.number = offers.back().number,
                                 .decision = common::OfferDecision::kDeclined,
                                 .wait = 2s});
    fleet.RunUntil([&] { return Contains(caller.Received(), "\r\n\r\n"); });
    BOOST_CHECK(Contains(caller.Received(),
                         beyond_share ? "HTTP/1.1 429" : "HTTP/1.1 503"));
    BOOST_CHECK(Contains(caller.Received(), "Retry-After: "));
  }
}

// Guards against an older configuration that replaces a newer one.
BOOST_AUTO_TEST_CASE(OlderConfigurationIsIgnored) {
  GatewayFixture fleet;
  catalogue::Catalogue newer = fleet.catalogue;
  newer.version = static_cast<common::ConfigVersion>(9);
  newer.routes.erase(newer.routes.begin());
  fleet.PutCatalogue(newer);
  fleet.PutCatalogue(fleet.catalogue);
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1"));
  fleet.RunUntil([&] { return Contains(caller.Received(), "HTTP/1.1 "); });
  BOOST_CHECK(Contains(caller.Received(), "HTTP/1.1 404"));
}

// Guards against status 404 for a route that a gateway without contact to the
// store may not know yet.
BOOST_AUTO_TEST_CASE(
    UnknownRouteIsNotReportedAsNotFoundWhileTheStoreIsUnreachable) {
  GatewayFixture fleet;
  fleet.Advance(4900ms);
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/new/1"));
  fleet.RunUntil([&] { return Contains(caller.Received(), "HTTP/1.1 503"); });
}

// Guards against a final answer for a route or credential that was added within
// the time in which the gateway could not confirm its copy of the store.
BOOST_AUTO_TEST_CASE(UnknownNamesAreNotRefusedForGoodByAnOutdatedCopy) {
  GatewayFixture fleet(/*with_workspaces=*/true);
  FakeUpstream upstream(fleet.context, RespondDone);
  fleet.AddUpstream("u1", upstream.Endpoint());
  const auto send = [&](const std::string& path, const std::string& key) {
    Caller caller(fleet.context, fleet.gateway->CallersPort());
    caller.Send(GatewayFixture::Request(path, "Credential: " + key + "\r\n"));
    fleet.RunUntil([&] { return Contains(caller.Received(), "\r\n\r\n"); });
    return caller.Received();
  };
  BOOST_CHECK(Contains(send("/new/1", "secret"), "HTTP/1.1 404"));
  BOOST_CHECK(Contains(send("/order/1", "new"), "HTTP/1.1 401"));
  for (const auto step : {2'100ms, 2'800ms}) {
    fleet.Advance(step);
    for (const auto& [path, key] :
         {std::pair("/new/1", "secret"), std::pair("/order/1", "new")}) {
      const std::string response = send(path, key);
      BOOST_CHECK(Contains(response, "HTTP/1.1 503"));
      BOOST_CHECK(Contains(response, "Retry-After: "));
    }
  }
}

// The same before the copy is too old for known names.
BOOST_AUTO_TEST_CASE(KnownNamesAreServedByAnOutdatedCopy) {
  GatewayFixture fleet(/*with_workspaces=*/true);
  FakeUpstream upstream(fleet.context, RespondDone);
  fleet.AddUpstream("u1", upstream.Endpoint());
  fleet.Advance(2'100ms);
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/1", "Credential: secret\r\n"));
  fleet.RunUntil([&] { return Contains(caller.Received(), "done"); });
}

// Guards against streams that are accepted long after the stop signal and then
// cut off: on the test deployment reunidas-rota, day mix with seed
// 524868797754, 26 streams of up to 12 s were accepted 7 s after the signal and
// cut off 0.3 s later.
BOOST_AUTO_TEST_CASE(StoppingGatewayAcceptsOnlyWhatItCanFinish) {
  GatewayFixture fleet;
  FakeUpstream silent(fleet.context, [](const std::string&) {
    return FakeUpstream::Reaction{};
  });
  fleet.AddUpstream("u1", silent.Endpoint());
  // Keeps the gateway from stopping.
  Caller running(fleet.context, fleet.gateway->CallersPort());
  running.Send(GatewayFixture::Request("/look/1", "Time-Left: 90000\r\n"));
  fleet.RunUntil([&] { return silent.Requests().size() == 1; });
  fleet.gateway->Drain([] {});
  BOOST_CHECK(!fleet.gateway->IsReady());

  // Until the load balancer has noticed the drain, requests are served.
  Caller early(fleet.context, fleet.gateway->CallersPort());
  early.Send(GatewayFixture::Request("/talk/1"));
  fleet.RunUntil([&] { return silent.Requests().size() == 2; });
  fleet.Advance(4s);
  Caller late(fleet.context, fleet.gateway->CallersPort());
  late.Send(GatewayFixture::Request("/talk/1"));
  fleet.RunUntil([&] { return Contains(late.Received(), "HTTP/1.1 "); });
  BOOST_CHECK(Contains(late.Received(), "HTTP/1.1 503"));
  BOOST_CHECK_EQUAL(silent.Requests().size(), 2);
}

// Guards against request smuggling: a request hidden in the body of another one
// would bypass the checks of route and credential.
BOOST_AUTO_TEST_CASE(AmbiguouslyFramedRequestsAreRefused) {
  const std::vector<std::string> framings = {
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: chunked, identity\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
      "Content-Length: 4\r\nContent-Length: 5\r\n",
      "Content-Length: 4\r\nContent-Length: 4\r\n"};
  for (const std::string& framing : framings) {
    GatewayFixture fleet;
    FakeUpstream upstream(fleet.context, RespondDone);
    fleet.AddUpstream("u1", upstream.Endpoint());
    Caller caller(fleet.context, fleet.gateway->CallersPort());
    caller.Send("POST /order/1 HTTP/1.1\r\nHost: service\r\nId: r1\r\n" +
                framing + "\r\nPOST /order/2 HTTP/1.1\r\nHost: service\r\n" +
                "Id: r2\r\nContent-Length: 0\r\n\r\n");
    fleet.RunUntil([&] { return Contains(caller.Received(), "HTTP/1.1 "); });
    fleet.RunPending();
    BOOST_CHECK_MESSAGE(Contains(caller.Received(), "HTTP/1.1 400"), framing);
    BOOST_CHECK_MESSAGE(upstream.Requests().empty(), framing);
  }
}

// Load pattern: one workspace opens many connections to the smallest entry host
// (host that runs a gateway) and sends more requests than it can serve.
// Guards against connections that are accepted although no request on them can
// be served, and against a gateway that accepts no connections after the
// overload has ended.
BOOST_AUTO_TEST_CASE(NoConnectionIsAcceptedDuringAnOverload) {
  GatewayFixture fleet;
  FakeUpstream upstream(fleet.context, RespondDone);
  fleet.AddUpstream("u1", upstream.Endpoint());
  Caller early(fleet.context, fleet.gateway->CallersPort());
  early.Send(GatewayFixture::Request("/look/1"));
  fleet.RunUntil([&] { return Contains(early.Received(), "done"); });

  // Ticks that come long after they are due.
  for (int i = 0; i < 100 && fleet.gateway->IsReady(); ++i) fleet.Advance(1s);
  BOOST_REQUIRE(!fleet.gateway->IsReady());
  boost::asio::ip::tcp::socket late(fleet.context);
  boost::system::error_code ec;
  late.connect(
      {boost::asio::ip::address_v4::loopback(), fleet.gateway->CallersPort()},
      ec);
  BOOST_CHECK(ec == boost::asio::error::connection_refused);

  for (int i = 0; i < 1'000; ++i) fleet.Advance(kTickInterval);
  BOOST_REQUIRE(fleet.gateway->IsReady());
  Caller after(fleet.context, fleet.gateway->CallersPort());
  after.Send(GatewayFixture::Request("/look/2"));
  fleet.RunUntil([&] { return Contains(after.Received(), "done"); });
}

// Guards against error responses that the metrics miss, or count under another
// reason than that in the log line.
BOOST_AUTO_TEST_CASE(MetricsCountErrorResponsesByReason) {
  GatewayFixture fleet;
  FakeUpstream upstream(fleet.context, RespondDone);
  fleet.AddUpstream("u1", upstream.Endpoint());
  Caller served(fleet.context, fleet.gateway->CallersPort());
  served.Send(GatewayFixture::Request("/order/1"));
  fleet.RunUntil([&] { return Contains(served.Received(), "done"); });
  Caller lost(fleet.context, fleet.gateway->CallersPort());
  lost.Send(GatewayFixture::Request("/nowhere/1"));
  fleet.RunUntil([&] { return Contains(lost.Received(), "HTTP/1.1 404"); });
  const std::string text = fleet.gateway->MetricsText();
  BOOST_CHECK(Contains(
      text,
      "shallotbeam_gateway_answers_total{reason=\"no_route\",status=\"404\"} "
      "1"));
  BOOST_CHECK(Contains(
      text, "shallotbeam_gateway_request_seconds_count{route=\"/order/\"} 1"));
  BOOST_CHECK(Contains(text, "shallotbeam_gateway{item=\"upstreams\"} 1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
