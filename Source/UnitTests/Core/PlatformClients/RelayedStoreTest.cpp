#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "Common/Clock.h"
#include "PlatformClients/RelayCodec.h"
#include "PlatformClients/RelayedStore.h"
#include "Property.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::platform_clients {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Exchange = std::shared_ptr<transport::HttpExchange>;

// Counts the polls and answers each at once.
class CountingStore : public ItemStore {
 public:
  void List(const std::string&, const std::string&,
            std::function<void(ListResult)> done) override {
    done({.status = absl::OkStatus()});
  }
  void AwaitChanges(const std::string&, common::StorePosition position,
                    std::chrono::milliseconds,
                    std::function<void(ChangesResult)> done) override {
    ++polls;
    done({.status = absl::OkStatus(), .as_of = position});
  }

  int polls = 0;
};

ChangesResult Result(std::uint64_t as_of) {
  return {.status = absl::OkStatus(),
          .changes = {{.item = {.key = "op/config",
                                .value = std::string("\0\xff", 2),
                                .position = {.revision = as_of}}},
                      {.item = {.key = "gone", .position = {.revision = as_of}},
                       .removed = true}},
          .as_of = {.revision = as_of},
          .copy = CopyOfStore{.age = 40ms, .waited = 300ms}};
}

struct Fixture {
  boost::asio::io_context context;
  common::ManualClock clock;
  CountingStore store;
  transport::HttpClient client{context};
  std::function<void(const Exchange&)> on_poll;
  int relay_polls = 0;
  std::shared_ptr<transport::HttpServer> relay = *transport::HttpServer::Listen(
      context, {.endpoint = {.address = "127.0.0.1", .port = 0}},
      [this](const Exchange& it) {
        ++relay_polls;
        if (on_poll) on_poll(it);
      });
  RelayedStore relayed{store,
                       client,
                       clock,
                       {.name = common::ProcessName("g1"),
                        .relays = {{"127.0.0.1", relay->Port()}},
                        .poll_wait = 100ms,
                        .response_timeout = 100ms}};

  Fixture() { clock.Advance(1h); }

  ChangesResult Poll(std::uint64_t revision) {
    std::optional<ChangesResult> result;
    relayed.AwaitChanges("", {.revision = revision}, 3s,
                         [&](ChangesResult it) { result = std::move(it); });
    for (int i = 0; i < 500 && !result; ++i) context.run_one_for(10ms);
    BOOST_REQUIRE(result.has_value());
    return *std::move(result);
  }

  void RespondWith(int status, const std::string& body) {
    on_poll = [status, body](const Exchange& it) {
      it->Send({.status = status, .headers = {}, .body = body});
    };
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RelayedStoreTest, Fixture)

// Guards against calls to the store that grow with the number of gateways.
BOOST_AUTO_TEST_CASE(PollsTheRelayInsteadOfTheStore) {
  RespondWith(200, EncodeRelayResult(Result(9)));
  const ChangesResult result = Poll(5);
  BOOST_CHECK_EQUAL(store.polls, 0);
  BOOST_REQUIRE_EQUAL(result.changes.size(), 2);
  BOOST_CHECK(result.changes[0].item.value == std::string("\0\xff", 2));
  BOOST_CHECK(result.changes[1].removed);
  BOOST_CHECK_EQUAL(result.as_of.revision, 9);
  BOOST_CHECK(result.copy->age == 40ms);
  BOOST_CHECK(result.copy->waited == 300ms);
}

// Guards against changes that stay unknown while a relay is lost: one that is
// silent, that has lost the store, that is behind, or whose response can't be
// read.
BOOST_AUTO_TEST_CASE(AsksTheStoreWhenTheRelayCannotAnswer) {
  const std::vector<std::function<void()>> failures = {
      [this] { on_poll = nullptr; },
      [this] { RespondWith(503, ""); },
      [this] { RespondWith(410, ""); },
      [this] { RespondWith(200, EncodeRelayResult(Result(4))); },
      [this] { RespondWith(200, "{}"); },
      [this] { RespondWith(200, "[1"); },
      [this] { RespondWith(200, R"({"as_of":-1,"age_ms":"x"})"); }};
  int polls = 0;
  for (const auto& fail : failures) {
    fail();
    const ChangesResult result = Poll(5);
    BOOST_CHECK(result.status.ok());
    BOOST_CHECK(!result.copy.has_value());
    BOOST_CHECK_EQUAL(store.polls, ++polls);
    // The relay is left alone for a while.
    const int asked = relay_polls;
    Poll(5);
    BOOST_CHECK_EQUAL(store.polls, ++polls);
    BOOST_CHECK_EQUAL(relay_polls, asked);
    clock.Advance(4s);
  }
}

// Guards against a follower that takes the changes of a relay in another era
// for changes after its own copy.
BOOST_AUTO_TEST_CASE(RelayOfAnotherEraIsNotUsed) {
  ChangesResult result = Result(9);
  result.as_of.era = 2;
  RespondWith(200, EncodeRelayResult(result));
  Poll(5);
  BOOST_CHECK_EQUAL(store.polls, 1);
}

BOOST_AUTO_TEST_CASE(EncodedPollsAreDecoded) {
  test::CheckProperty("polls survive encoding", [] {
    const RelayPoll poll{
        .position = {.era = *rc::gen::arbitrary<std::uint64_t>(),
                     .revision = *rc::gen::arbitrary<std::uint64_t>()},
        .wait = std::chrono::milliseconds(*rc::gen::inRange(0, 30'001))};
    const auto decoded = DecodeRelayPoll(EncodeRelayPoll(poll));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->position == poll.position);
    RC_ASSERT(decoded->wait == poll.wait);
  });
  for (const char* it :
       {"", "/changes", "/changes?after=", "/changes?after=1",
        "/changes?after=1&wait_ms=", "/changes?after=x&wait_ms=1",
        "/changes?after=1&wait_ms=1", "/changes?after=1&wait_ms=-1&era=1",
        "/changes?after=1&wait_ms=1&era=",
        "/changes?after=1&wait_ms=1&more=1"}) {
    BOOST_CHECK_MESSAGE(!DecodeRelayPoll(it).has_value(), it);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::platform_clients
