#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "Core/PlatformClients/Await.h"
#include "PlatformClients/EtcdStore.h"
#include "PlatformClients/HostList.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::platform_clients {

namespace {

struct Fixture {
  testtools::PlatformServer platform;
  boost::asio::io_context context;
  transport::HttpClient client{context};
  EtcdStore store{client, {.endpoint = platform.Address()}};

  SwapResult Swap(std::uint64_t revision, const std::string& value,
                  LeaseId lease = LeaseId::kNone) {
    return test::Await<SwapResult>(context, [&](auto done) {
      store.CompareAndSwapLeased("key", revision, value, lease, done);
    });
  }
  ReadResult Read() {
    return test::Await<ReadResult>(context,
                                   [&](auto done) { store.Read("key", done); });
  }
  LeaseResult Grant(std::chrono::seconds ttl) {
    return test::Await<LeaseResult>(
        context, [&](auto done) { store.GrantLease(ttl, done); });
  }
  LeaseResult Renew(LeaseId lease) {
    return test::Await<LeaseResult>(
        context, [&](auto done) { store.RenewLease(lease, done); });
  }
  HostsResult Hosts() {
    HttpHostList hosts(client, {.endpoint = platform.Address()});
    return test::Await<HostsResult>(context,
                                    [&](auto done) { hosts.List(done); });
  }
  // Runs the context until `done` or for 5 s.
  template <typename Condition>
  void RunUntil(Condition done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    context.restart();
    while (!done() && std::chrono::steady_clock::now() < end) {
      context.run_one_for(std::chrono::milliseconds(50));
      context.restart();
    }
  }
};

}  // namespace

// Guards against a swap that overwrites another writer's value.
BOOST_FIXTURE_TEST_CASE(SwapSucceedsOnlyAtTheExpectedRevision, Fixture) {
  const SwapResult first = Swap(0, "a");
  BOOST_REQUIRE(first.outcome == SwapOutcome::kSwapped);
  const SwapResult late = Swap(0, "b");
  BOOST_TEST((late.outcome == SwapOutcome::kConflict));
  BOOST_TEST(late.stored.value == "a");
  BOOST_TEST(late.stored.revision == first.stored.revision);
  BOOST_TEST(store.Calls().writes == 2U);
}

// Guards against a key that outlives its lease, and against a renewal that
// reports success for a lease that was revoked.
BOOST_FIXTURE_TEST_CASE(LeasedKeyEndsWithItsLease, Fixture) {
  const LeaseResult lease = Grant(std::chrono::seconds(30));
  BOOST_REQUIRE(lease.status.ok());
  BOOST_REQUIRE((Swap(0, "a", lease.lease).outcome == SwapOutcome::kSwapped));
  BOOST_TEST(Renew(lease.lease).status.ok());
  const auto revoked = test::Await<LeaseResult>(
      context, [&](auto done) { store.RevokeLease(lease.lease, done); });
  BOOST_TEST(revoked.status.ok());
  BOOST_TEST(Read().stored.revision == 0U);
  BOOST_TEST(absl::IsNotFound(Renew(lease.lease).status));
  const LeaseResult brief = Grant(std::chrono::seconds(1));
  BOOST_REQUIRE((Swap(0, "b", brief.lease).outcome == SwapOutcome::kSwapped));
  RunUntil([&] { return Read().stored.revision == 0; });
  BOOST_TEST(Read().stored.revision == 0U);
}

// Guards against a watch that misses changes made before the watch started, and
// against a watch that is counted as more than one call.
BOOST_FIXTURE_TEST_CASE(WatchReportsChangesFromARevision, Fixture) {
  const std::uint64_t first = Swap(0, "a").stored.revision;
  std::vector<std::string> seen;
  auto watch = store.Watch(
      "key", first,
      {.on_change = [&](const StoredValue& it) { seen.push_back(it.value); },
       .on_end = [] {}});
  RunUntil([&] { return seen.size() == 1; });
  Swap(first, "b");
  RunUntil([&] { return seen.size() == 2; });
  BOOST_TEST(seen == (std::vector<std::string>{"a", "b"}),
             boost::test_tools::per_element());
  BOOST_TEST(store.Calls().watches == 1U);
}

// Guards against a call that hangs while the service is down.
BOOST_FIXTURE_TEST_CASE(CallsEndWhileTheServiceIsDown, Fixture) {
  test::SendCommand(platform, "/faults", R"({"down": true})");
  BOOST_TEST(!Read().status.ok());
  BOOST_TEST(!Grant(std::chrono::seconds(1)).status.ok());
  BOOST_TEST(!Hosts().ok());
}

// Guards against a leaving host that is parsed as live, and against a malformed
// list that is parsed as an empty one.
BOOST_FIXTURE_TEST_CASE(HostListNamesLeavingHosts, Fixture) {
  test::SendCommand(
      platform, "/hosts",
      R"([{"name": "h1", "address": "10.0.0.1", "state": "leaving"},
                 {"name": "h2", "address": "10.0.0.2", "state": "live"}])");
  const HostsResult hosts = Hosts();
  BOOST_REQUIRE(hosts.ok());
  BOOST_REQUIRE(hosts->size() == 2U);
  BOOST_TEST(((*hosts)[0].state == HostState::kLeaving));
  BOOST_TEST(((*hosts)[1].state == HostState::kLive));
  test::SendCommand(platform, "/faults", R"({"host_lag_ms": 300})");
  test::SendCommand(platform, "/hosts", "[]");
  BOOST_TEST(Hosts()->size() == 2U);
  RunUntil([&] { return Hosts()->empty(); });
  BOOST_TEST(Hosts()->empty());
  for (const char* text : {"{}", "[1]", R"([{"name": "h"}])",
                           R"([{"name":"h","address":"a","state":"gone"}])"}) {
    BOOST_TEST(!ParseHosts(text).ok(), text);
  }
}

// Guards against one odd row that hides the other hosts, so that a leaving host
// keeps its work, and against a row whose nesting ends the process.
BOOST_AUTO_TEST_CASE(OddRowHidesNoOtherHost) {
  const std::string row =
      R"({"name":"h","address":"10.0.0.1","state":"leaving"})";
  for (const std::string& odd :
       {std::string("1"), std::string(R"({"name":"h"})"),
        std::string(R"({"name":"h","address":"a","state":"gone"})"),
        std::string(R"({"name":"h","address":1e300,"state":"live"})"),
        std::string(R"({"name":[[[]]],"address":"a","state":"live"})")}) {
    const HostsResult hosts = ParseHosts(absl::StrCat("[", odd, ",", row, "]"));
    BOOST_REQUIRE(hosts.ok());
    BOOST_REQUIRE_EQUAL(hosts->size(), 1);
    BOOST_TEST(((*hosts)[0].state == HostState::kLeaving));
  }
  constexpr std::size_t kDepth = 400'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  BOOST_TEST(!ParseHosts(absl::StrCat("[", nested, ",", row, "]")).ok());
}

}  // namespace shallotbeam::platform_clients
