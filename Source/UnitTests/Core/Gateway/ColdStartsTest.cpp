#include <boost/test/unit_test.hpp>
#include <vector>

#include "Core/Gateway/GatewayFixture.h"

// What a gateway does with data centres that an operator evacuates and with
// cold upstreams.
namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

struct Fixture : GatewayFixture {
  void Add(const std::string& name, const FakeUpstream& upstream,
           const std::string& data_centre, common::Duration cold_left = 0s) {
    PutUpstream(name, {.pool = common::PoolName("plain"),
                       .endpoint = upstream.Endpoint(),
                       .data_centre = common::DataCentreName(data_centre),
                       .started = 1,
                       .cold_left = cold_left});
  }

  // Upstreams of the pool take `per_second` requests while they are cold.
  void LimitColdUpstreams(double per_second) {
    catalogue.version = static_cast<common::ConfigVersion>(2);
    catalogue.pools[common::PoolName("plain")].cold = {.per_second = per_second,
                                                       .time = 3s};
    PutCatalogue(catalogue);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ColdStartsTest, Fixture)

// Guards against requests, first ones or retries, to an evacuated data centre,
// and against an evacuation that outlasts its request.
BOOST_AUTO_TEST_CASE(EvacuatedDataCentreGetsNoRequests) {
  FakeUpstream evacuated(context, RespondDone);
  FakeUpstream failing(context, [](const std::string&) {
    return FakeUpstream::Reaction{.close = true};
  });
  FakeUpstream sound(context, RespondDone);
  Add("evacuated", evacuated, "a");
  Add("failing", failing, "b");
  Add("sound", sound, "b");
  SetEvacuated("a", true);
  for (int i = 0; i < 10; ++i) Exchange("/look/");
  BOOST_CHECK_EQUAL(evacuated.Requests().size(), 0);
  BOOST_CHECK_GT(failing.Requests().size(), 0);
  BOOST_CHECK_GT(sound.Requests().size(), 0);
  SetEvacuated("a", false);
  for (int i = 0; i < 10; ++i) Exchange("/look/");
  BOOST_CHECK_GT(evacuated.Requests().size(), 0);
}

// Guards against a caller that waits while all its upstreams are evacuated.
BOOST_AUTO_TEST_CASE(CallerIsRefusedAtOnceIfNothingElseIsLeft) {
  FakeUpstream upstream(context, RespondDone);
  Add("u", upstream, "a");
  SetEvacuated("a", true);
  const std::string response = Exchange("/order/");
  BOOST_CHECK(Contains(response, "503"));
  BOOST_CHECK(Contains(response, "Retry-After"));
  BOOST_CHECK_EQUAL(upstream.Requests().size(), 0);
}

// Guards against an upstream that gets requests because its entry is written,
// or a configuration comes, after the request to evacuate.
BOOST_AUTO_TEST_CASE(LaterEntriesAndConfigurationsDoNotEndAnEvacuation) {
  SetEvacuated("a", true);
  FakeUpstream upstream(context, RespondDone);
  Add("u", upstream, "a");
  BOOST_CHECK(Contains(Exchange("/order/"), "503"));
  LimitColdUpstreams(11);
  BOOST_CHECK(Contains(Exchange("/order/"), "503"));
  BOOST_CHECK_EQUAL(upstream.Requests().size(), 0);
}

// Guards against an evacuation that holds for ever after the store was restored
// from a copy without it.
BOOST_AUTO_TEST_CASE(RestoredStoreDecides) {
  FakeUpstream upstream(context, RespondDone);
  Add("u", upstream, "a");
  SetEvacuated("a", true);
  BOOST_CHECK(Contains(Exchange("/order/"), "503"));
  RestoreStore({0, 1});
  BOOST_CHECK(Contains(Exchange("/order/"), "200"));
}

// Load: a data centre comes back while its callers wait. Guards against a flood
// of requests to cold upstreams, while no permit desk answers.
BOOST_AUTO_TEST_CASE(ColdUpstreamIsRelieved) {
  LimitColdUpstreams(11);
  FakeUpstream cold(context, RespondDone);
  FakeUpstream warm(context, RespondDone);
  Add("cold", cold, "a", 3s);
  Add("warm", warm, "b");
  for (int i = 0; i < 30; ++i) {
    BOOST_CHECK(Contains(Exchange("/order/"), "200"));
  }
  BOOST_CHECK_LE(cold.Requests().size(), 1);
  Advance(4s);
  for (int i = 0; i < 30; ++i) Exchange("/order/");
  BOOST_CHECK_GT(cold.Requests().size(), 5);
}

// Guards against the same after an evacuation, when the entry is from before.
BOOST_AUTO_TEST_CASE(UpstreamsAreColdAfterAnEvacuation) {
  LimitColdUpstreams(11);
  FakeUpstream back(context, RespondDone);
  FakeUpstream warm(context, RespondDone);
  Add("back", back, "a");
  Add("warm", warm, "b");
  SetEvacuated("a", true);
  SetEvacuated("a", false);
  for (int i = 0; i < 30; ++i) {
    BOOST_CHECK(Contains(Exchange("/order/"), "200"));
  }
  BOOST_CHECK_LE(back.Requests().size(), 1);
}

// Guards against a call that hangs, or a limit that stays, because the cold
// period ends while a permit desk is asked.
BOOST_AUTO_TEST_CASE(PermitSearchOutlastsTheColdPeriod) {
  const common::Endpoint desk{.address = "127.0.0.9", .port = 8083};
  GatewayFixture fleet(false, {desk});
  fleet.catalogue.version = static_cast<common::ConfigVersion>(2);
  fleet.catalogue.pools[common::PoolName("plain")].cold = {.per_second = 11,
                                                           .time = 3s};
  fleet.PutCatalogue(fleet.catalogue);
  FakeUpstream upstream(fleet.context, RespondDone);
  fleet.PutUpstream("u", {.pool = common::PoolName("plain"),
                          .endpoint = upstream.Endpoint(),
                          .started = 1,
                          .cold_left = 1s});
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request("/order/"));
  fleet.RunPending();
  const auto requests = fleet.SentBodies<protocol::PermitRequest>();
  BOOST_REQUIRE(!requests.empty());
  BOOST_CHECK_EQUAL(requests.back().limit.per_second, 11);
  fleet.gateway->OnControlMessage(wire::Encode(protocol::SchedulingEnvelope{
      .sender = common::ProcessName("desk"),
      .body = protocol::PermitReply{.number = requests.back().number,
                                    .granted = true,
                                    .limit = requests.back().limit}}));
  fleet.RunUntil([&] { return !caller.Received().empty(); });
  BOOST_CHECK(Contains(caller.Received(), "200"));
  fleet.Advance(2s);
  fleet.sent_messages.clear();
  for (int i = 0; i < 3; ++i) {
    BOOST_CHECK(Contains(fleet.Exchange("/order/"), "200"));
  }
  BOOST_CHECK(fleet.SentBodies<protocol::PermitRequest>().empty());
}

// Guards against a limit where the configuration states none.
BOOST_AUTO_TEST_CASE(ColdUpstreamWithoutALimitServes) {
  FakeUpstream cold(context, RespondDone);
  Add("cold", cold, "a", 3s);
  for (int i = 0; i < 10; ++i) {
    BOOST_CHECK(Contains(Exchange("/order/"), "200"));
  }
  BOOST_CHECK_EQUAL(cold.Requests().size(), 10);
}

// Guards against a scheduler that is not told of its cold engine.
BOOST_AUTO_TEST_CASE(SchedulerIsTold) {
  LimitColdUpstreams(11);
  catalogue.version = static_cast<common::ConfigVersion>(3);
  catalogue.pools[common::PoolName("plain")].engine = catalogue::Engine{};
  PutCatalogue(catalogue);
  FakeUpstream cold(context, RespondDone);
  Add("cold", cold, "a", 2s);
  sent_messages.clear();
  Advance(20ms);
  const auto reports = SentBodies<protocol::GatewayReport>();
  BOOST_REQUIRE(!reports.empty());
  BOOST_CHECK_EQUAL(reports.back().cold_per_second, 11);
  BOOST_CHECK(reports.back().cold_left > 1'500ms);
  Advance(3s);
  BOOST_CHECK(SentBodies<protocol::GatewayReport>().back().cold_left == 0s);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
