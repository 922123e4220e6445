#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "Core/Runtime/RouterDriverFixture.h"

namespace shallotbeam::runtime {

namespace {

using std::chrono::milliseconds;
using Fixture = RouterDriverFixture;

const platform_clients::ReadResult kStoreUnavailable = {
    .status = absl::UnavailableError("")};
const platform_clients::ReadResult kPublishedConfig = StoredConfig(7);

}  // namespace

// Guards against a router that accepts callers before it has a configuration,
// and against reads that accumulate while the store is slow or unavailable.
BOOST_FIXTURE_TEST_CASE(ReadyAfterTheFirstStoreRead, Fixture) {
  Run(std::chrono::seconds(5));
  BOOST_TEST(store.reads.size() == 1U);
  store.reads.back()(kStoreUnavailable);
  BOOST_TEST(ReadyStatus() == 503);
  Run(std::chrono::seconds(2));
  BOOST_REQUIRE(store.reads.size() == 2U);
  store.reads.back()(kPublishedConfig);
  BOOST_TEST(ReadyStatus() == 200);
  const auto status = nlohmann::json::parse(driver.OnAdmin("/status").body);
  BOOST_TEST(status.value("config_version", 0) == 7);
  // A later outage does not revoke readiness.
  Run(std::chrono::seconds(2));
  store.reads.back()(kStoreUnavailable);
  BOOST_TEST(ReadyStatus() == 200);
  driver.OnEvent(routing::DrainRequested{});
  BOOST_TEST(ReadyStatus() == 503);
}

// Guards against a host list that is not polled, that is polled again while a
// request is pending, or that is no longer polled after a failure.
BOOST_FIXTURE_TEST_CASE(PollsTheHostList, Fixture) {
  Run(std::chrono::seconds(3));
  BOOST_TEST(hosts.lists.size() == 1U);
  hosts.lists.back()(absl::UnavailableError(""));
  Run(milliseconds(20));
  BOOST_TEST(hosts.lists.size() == 2U);
  hosts.lists.back()(std::vector<platform_clients::Host>());
  Run(milliseconds(400));
  BOOST_TEST(hosts.lists.size() == 2U);
  Run(milliseconds(200));
  BOOST_TEST(hosts.lists.size() == 3U);
}

}  // namespace shallotbeam::runtime
