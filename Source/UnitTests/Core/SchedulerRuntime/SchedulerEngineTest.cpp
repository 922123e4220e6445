#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "SchedulerRuntime/SchedulerEngine.h"
#include "Wire/Codec.h"

namespace shallotbeam::scheduler_runtime {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr auto kGateway = static_cast<common::Incarnation>(1);
const common::UpstreamName kEarlier("earlier");
const common::UpstreamName kCurrent("current");

struct Fixture {
  common::ManualClock clock;
  std::vector<protocol::SchedulingEnvelope> sent;
  SchedulerEngine engine{{},
                         static_cast<common::Incarnation>(7),
                         {.clock = clock,
                          .send = [this](const common::Endpoint& /*peer*/,
                                         std::string_view bytes) {
                            sent.push_back(*wire::DecodeScheduling(bytes));
                          }}};
  std::uint64_t last_number = 0;

  Fixture() { clock.Advance(1h); }

  void Receive(protocol::SchedulingBody body) {
    engine.OnBytes(wire::Encode(
        protocol::SchedulingEnvelope{.sender = common::ProcessName("g"),
                                     .incarnation = kGateway,
                                     .body = std::move(body)}));
  }
  void Hello(const common::UpstreamName& upstream, std::uint64_t started) {
    Receive(protocol::GatewayHello{.upstream = upstream,
                                   .upstream_started = started,
                                   .slots = 32,
                                   .memory_tokens = 500'000,
                                   .in_progress = {last_number}});
  }
  // Offers a prompt whose shared part is always the same; returns what the
  // scheduler believes to be cached.
  int OfferShared() {
    ++last_number;
    Receive(protocol::StartOffer{
        .number = last_number,
        .request_id = "r",
        .prompt = {.prompt_tokens = 500,
                   .parts = {{.id = 1, .tokens = 400},
                             {.id = 100 + last_number, .tokens = 100}}},
        .first = true,
        .target_left = 1s,
        .patience = 2s});
    clock.Advance(100ms);
    engine.OnTick();
    for (auto it = sent.rbegin(); it != sent.rend(); ++it) {
      const auto* reply = std::get_if<protocol::StartReply>(&it->body);
      if (reply != nullptr && reply->number == last_number) {
        return reply->cached_tokens;
      }
    }
    return -1;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(SchedulerEngineTest, Fixture)

// Pattern: all hosts lost power, and gateways still know the engine from before
// at this address. Guards against a scheduler that forgets its engine with each
// hello that speaks of the other.
BOOST_AUTO_TEST_CASE(EarlierEngineAtTheAddressIsIgnored) {
  Hello(kCurrent, 20);
  BOOST_CHECK_EQUAL(OfferShared(), 0);
  for (int i = 0; i < 3; ++i) {
    Hello(kEarlier, 10);
    Hello(kCurrent, 20);
    BOOST_CHECK_EQUAL(OfferShared(), 400);
  }
}

// Guards against a cache that is believed to outlive its engine.
BOOST_AUTO_TEST_CASE(LaterEngineStartsEmpty) {
  Hello(kEarlier, 10);
  OfferShared();
  Hello(kCurrent, 20);
  BOOST_CHECK_EQUAL(OfferShared(), 0);
}

// Pattern: the clock of a host was set back. Guards against an engine that is
// ignored for ever because it seems to have started earlier.
BOOST_AUTO_TEST_CASE(EngineThatNobodyNamesIsForgotten) {
  Hello(kCurrent, 20);
  OfferShared();
  clock.Advance(3s);
  Hello(kEarlier, 10);
  BOOST_CHECK_EQUAL(OfferShared(), 0);
  BOOST_CHECK_EQUAL(OfferShared(), 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::scheduler_runtime
