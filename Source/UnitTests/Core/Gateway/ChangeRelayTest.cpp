#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "Common/Clock.h"
#include "Gateway/ChangeRelay.h"
#include "PlatformClients/RelayedStore.h"

namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
namespace clients = platform_clients;

// The store is not reachable for the follower, so that only the relay can
// answer it.
class UnreachableStore : public clients::ItemStore {
 public:
  void List(const std::string&, const std::string&,
            std::function<void(clients::ListResult)> done) override {
    done({.status = absl::UnavailableError("")});
  }
  void AwaitChanges(const std::string&, common::StorePosition,
                    std::chrono::milliseconds,
                    std::function<void(clients::ChangesResult)> done) override {
    done({.status = absl::UnavailableError("")});
  }
};

// A relay with a current copy of the store at revision 10, and a follower.
struct Fixture {
  boost::asio::io_context context;
  common::ManualClock clock;
  clients::StoreSession session;
  ChangeRelay relay{clock, session, /*max_age=*/2s};
  std::shared_ptr<transport::HttpServer> server =
      *transport::HttpServer::Listen(
          context, {.endpoint = {.address = "127.0.0.1", .port = 0}},
          [this](const std::shared_ptr<transport::HttpExchange>& it) {
            relay.OnPoll(it);
          });
  transport::HttpClient client{context};
  UnreachableStore store;
  clients::RelayedStore follower{store,
                                 client,
                                 clock,
                                 {.name = common::ProcessName("g1"),
                                  .relays = {{"127.0.0.1", server->Port()}}}};
  std::optional<clients::ChangesResult> result;

  Fixture() {
    clock.Advance(1h);
    clients::NextCall(session, clock.Now());
    relay.OnUpdate(clients::OnListed(
        session, clock.Now(),
        {.status = absl::OkStatus(), .items = {}, .as_of = {.revision = 10}}));
  }

  void StartPoll(std::uint64_t revision) {
    result.reset();
    follower.AwaitChanges(
        "", {.revision = revision}, 3s,
        [this](clients::ChangesResult it) { result = std::move(it); });
    Run();
  }
  void Run() {
    for (int i = 0; i < 20; ++i) context.run_one_for(3ms);
    context.restart();
  }
  // The store answers the relay's own poll.
  void ReceiveFromStore(const clients::ChangesResult& changes) {
    clients::NextCall(session, clock.Now());
    const auto update = clients::OnChanges(session, clock.Now(), changes);
    for (const auto& it : update.changes) relay.Record(it);
    relay.OnUpdate(update);
    Run();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ChangeRelayTest, Fixture)

// Guards against a change that reaches the followers only with their next poll.
BOOST_AUTO_TEST_CASE(ChangeIsPassedOnAtOnce) {
  StartPoll(10);
  BOOST_CHECK(!result);
  ReceiveFromStore({.status = absl::OkStatus(),
                    .changes = {{.item = {.key = "a",
                                          .value = "1",
                                          .position = {.revision = 12}}}},
                    .as_of = {.revision = 12}});
  BOOST_REQUIRE(result);
  BOOST_CHECK(result->status.ok());
  BOOST_REQUIRE_EQUAL(result->changes.size(), 1);
  BOOST_CHECK_EQUAL(result->as_of.revision, 12);
}

// Guards against a revoked credential that is accepted because a copy counts as
// younger than it is.
BOOST_AUTO_TEST_CASE(AgeOfTheCopyIsStated) {
  clock.Advance(700ms);
  StartPoll(10);
  clock.Advance(1s);
  relay.OnTick();
  Run();
  BOOST_REQUIRE(result);
  BOOST_REQUIRE(result->copy);
  BOOST_CHECK(result->changes.empty());
  BOOST_CHECK(result->copy->waited == 1s);
  BOOST_CHECK(result->copy->age == 1'700ms);
}

// Guards against an outage of the store that the followers do not notice, and
// against followers that wait for a relay which can tell them nothing.
BOOST_AUTO_TEST_CASE(FollowersAskTheStoreWhenTheRelayLosesIt) {
  StartPoll(10);
  ReceiveFromStore({.status = absl::UnavailableError("")});
  BOOST_REQUIRE(result);
  BOOST_CHECK(!result->status.ok());
}

// Guards against followers that take an old copy for current because the poll
// of the relay's own is never answered: the connection is silent, or the relay
// is cut off from the store.
BOOST_AUTO_TEST_CASE(FollowersAskTheStoreWhenTheRelaysCopyIsOld) {
  clock.Advance(1'500ms);
  StartPoll(10);
  BOOST_CHECK(!result);
  clock.Advance(600ms);
  relay.OnTick();
  Run();
  BOOST_REQUIRE(result);
  BOOST_CHECK(!result->status.ok());
  clock.Advance(1h);
  StartPoll(10);
  BOOST_REQUIRE(result);
  BOOST_CHECK(!result->status.ok());
}

// Guards against a relay that confirms a state older than the follower's.
BOOST_AUTO_TEST_CASE(RelayThatIsBehindConfirmsNothing) {
  StartPoll(20);
  clock.Advance(1s);
  relay.OnTick();
  Run();
  BOOST_REQUIRE(result);
  BOOST_CHECK(!result->status.ok());
}

// Guards against changes that are lost because the relay started later.
BOOST_AUTO_TEST_CASE(ChangesBeforeTheRelaysListAreNotSkipped) {
  StartPoll(9);
  BOOST_REQUIRE(result);
  BOOST_CHECK(!result->status.ok());
}

// Guards against a relay that answers a follower of another era as if its
// changes followed: the follower must list.
BOOST_AUTO_TEST_CASE(FollowerOfAnotherEraIsSentToTheStore) {
  for (const common::StorePosition position :
       {common::StorePosition{1, 10}, common::StorePosition{1, 5}}) {
    result.reset();
    follower.AwaitChanges("", position, 3s, [this](clients::ChangesResult it) {
      result = std::move(it);
    });
    Run();
    BOOST_REQUIRE(result);
    BOOST_CHECK(!result->copy);
    clock.Advance(4s);
    clients::NextCall(session, clock.Now());
    relay.OnUpdate(clients::OnChanges(
        session, clock.Now(),
        {.status = absl::OkStatus(), .as_of = {.revision = 10}}));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
