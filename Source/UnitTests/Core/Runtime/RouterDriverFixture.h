#ifndef SHALLOTBEAM_UNITTESTS_CORE_RUNTIME_ROUTERDRIVERFIXTURE_H_
#define SHALLOTBEAM_UNITTESTS_CORE_RUNTIME_ROUTERDRIVERFIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Runtime/RouterDriver.h"

namespace shallotbeam::runtime {

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

// A router whose reads of the store and of the host list the test completes.
struct RouterDriverFixture {
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
    for (common::Duration it{0}; it < time;
         it += std::chrono::milliseconds(10)) {
      clock.Advance(std::chrono::milliseconds(10));
      driver.OnTick();
    }
  }
  int ReadyStatus() { return driver.OnAdmin("/readyz").status; }
};

// A read of a configuration that was published at `revision`.
inline platform_clients::ReadResult StoredConfig(std::uint64_t revision) {
  return {
      .stored = {.revision = revision,
                 .value = R"({"pools": {"p": {}}, "kinds": {"k": {"pool": "p"}},
                              "workspaces": {"w": {"open": true, "kinds": ["k"]}}})"}};
}

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_UNITTESTS_CORE_RUNTIME_ROUTERDRIVERFIXTURE_H_
