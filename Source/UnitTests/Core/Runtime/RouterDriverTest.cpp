#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "Runtime/RouterDriver.h"

namespace shallotbeam::runtime {

namespace {

using std::chrono::milliseconds;

// Stores the callback of every read, so that the test completes the reads.
class DeferredStore : public platform_clients::KeyValueStore {
 public:
  void Read(const std::string& /*key*/,
            std::function<void(platform_clients::ReadResult)> done) override {
    reads.push_back(std::move(done));
  }
  void CompareAndSwap(
      const std::string& /*key*/, std::uint64_t /*expected*/,
      const std::string& /*value*/,
      std::function<void(platform_clients::SwapResult)>) override {}

  std::vector<std::function<void(platform_clients::ReadResult)>> reads;
};

class DeferredHostList : public platform_clients::HostList {
 public:
  void List(std::function<void(platform_clients::HostsResult)> done) override {
    lists.push_back(std::move(done));
  }

  std::vector<std::function<void(platform_clients::HostsResult)>> lists;
};

struct Fixture {
  common::ManualClock clock;
  boost::asio::io_context context;
  transport::HttpClient client{context};
  DeferredStore store;
  DeferredHostList hosts;
  std::unique_ptr<transport::Mailbox> mailbox =
      *transport::Mailbox::Open({"127.0.0.1", 0}, [](const std::string&) {});
  RouterDriver driver{{.name = common::ProcessName("r1")},
                      {.clock = clock,
                       .client = client,
                       .mailbox = *mailbox,
                       .store = store,
                       .post_event = [](const routing::RouterEvent&) {},
                       .post_stored_config =
                           [this](const platform_clients::ReadResult& it) {
                             driver.OnStoredConfig(it);
                           },
                       .on_drained = [] {},
                       .hosts = &hosts,
                       .post_hosts =
                           [this](const platform_clients::HostsResult& it) {
                             driver.OnHosts(it);
                           }}};

  // Advances the clock by `time` with a tick every 10 ms.
  void Run(common::Duration time) {
    for (common::Duration it{0}; it < time; it += milliseconds(10)) {
      clock.Advance(milliseconds(10));
      driver.OnTick();
    }
  }
  int ReadyStatus() { return driver.OnAdmin("/readyz").status; }
};

const platform_clients::ReadResult kStoreUnavailable = {
    .status = absl::UnavailableError("")};
const platform_clients::ReadResult kPublishedConfig = {
    .stored = {.revision = 7,
               .value = R"({"pools": {"p": {}}, "kinds": {"k": {"pool": "p"}},
                            "workspaces": {"w": {"kinds": ["k"]}}})"}};

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
