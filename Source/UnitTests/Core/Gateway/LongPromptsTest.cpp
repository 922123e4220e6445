#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "Core/Gateway/GatewayFixture.h"

// Where a gateway sends prompts that are too long for most engines of a pool.
namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr int kEngines = 8;
// Engines and their schedulers are known by their addresses.
constexpr std::uint16_t kControlPort = 8083;

struct Fixture : GatewayFixture {
  Fixture() {
    catalogue.version = static_cast<common::ConfigVersion>(2);
    catalogue.pools[common::PoolName("plain")] = {.engine =
                                                      catalogue::Engine{}};
    for (catalogue::Route& it : catalogue.routes) {
      it.latency_target = 1s;
      it.event_gap_target = 300ms;
    }
    PutCatalogue(catalogue);
    for (int i = 0; i < kEngines; ++i) {
      PutUpstream("e" + std::to_string(i),
                  {.pool = common::PoolName("plain"),
                   .endpoint = {.address = Address(i), .port = 1},
                   .started = 1});
    }
  }

  static std::string Address(int engine) {
    return "127.0.1." + std::to_string(engine + 1);
  }

  void Receive(int scheduler, protocol::SchedulingBody body) {
    gateway->OnControlMessage(wire::Encode(protocol::SchedulingEnvelope{
        .incarnation = static_cast<common::Incarnation>(scheduler + 1),
        .body = std::move(body)}));
  }

  // Each token of a prompt takes this time at all engines.
  void ReportAll(std::chrono::nanoseconds per_token) {
    for (int i = 0; i < kEngines; ++i) {
      Receive(i, protocol::SchedulerReport{
                     .control = {.address = Address(i), .port = kControlPort},
                     .ns_per_token = static_cast<double>(per_token.count())});
    }
    for (int i = 0; i < 20; ++i) Advance(kTickInterval);
  }

  std::vector<protocol::StartOffer> Offers() const {
    return SentBodies<protocol::StartOffer>();
  }

  void Decline(std::uint64_t number) {
    Receive(0,
            protocol::StartReply{.number = number,
                                 .decision = common::OfferDecision::kDeclined,
                                 .wait = 3s});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LongPromptsTest, Fixture)

// Guards against a long prompt that is refused because the engines reserved for
// long prompts are full, while others have room: on rcf-quetzal-grown, scale-2,
// 0.40 of the largest tenth of a kind were served, 0.88 of all.
BOOST_AUTO_TEST_CASE(LongPromptIsOfferedElsewhereIfItsEnginesAreFull) {
  // The unshared part of a prompt has 10 tokens, here of 300 ms in all.
  ReportAll(30ms);
  Caller caller(context, gateway->CallersPort());
  caller.Send(Request("/talk/1", "Time-Left: 9000\r\nParts: 1 2\r\n"));
  RunUntil([&] { return !Offers().empty(); });
  // One engine is reserved in a pool of eight.
  BOOST_REQUIRE_EQUAL(Offers().size(), 1);
  Decline(Offers().back().number);
  BOOST_CHECK_EQUAL(Offers().size(), 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
