#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Deployment.h"
#include "Gateway/Gateway.h"
#include "Gateway/GatewayProcess.h"
#include "Platform/FleetNetwork.h"
#include "PlatformClients/RelayedStore.h"
#include "Runtime/ProcessEvents.h"
#include "StoreClient.h"

namespace shallotbeam::platform_adapter {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr int kPublishedVersion = 2;

// Limits of a deployment.
struct Limits {
  std::chrono::milliseconds change;  // until a change must take effect
  // A host counts as undisturbed this long after the end of a disturbance.
  std::chrono::milliseconds recovery;
};

// A gateway that follows the store, wired as in RunGateway().
class TestGateway {
 public:
  TestGateway(boost::asio::io_context& context, gateway::GatewaySettings input,
              const common::Endpoint& store_endpoint,
              const std::optional<common::Endpoint>& relay)
      : settings_(std::move(input)),
        client_(context, clock_, gateway::ControlClientOptions()),
        store_(client_, store_endpoint),
        relayed_(store_, client_, clock_, WithRelay(settings_, relay)),
        gateway(settings_, static_cast<common::Incarnation>(1),
                {.context = context,
                 .clock = clock_,
                 .store = relayed_,
                 .header_codec = GatewayDeployment().header_codec,
                 .decode =
                     [this](const platform_clients::ItemChange& it) {
                       return Decode(it);
                     },
                 .send = [](const common::Endpoint&, std::string_view) {}}),
        ticker_(context, gateway::kTickInterval, [this] { gateway.OnTick(); }) {
  }

  // When the published version was received.
  std::optional<common::TimePoint> received;

 private:
  static platform_clients::RelayedStoreOptions WithRelay(
      const gateway::GatewaySettings& settings,
      const std::optional<common::Endpoint>& relay) {
    auto options = gateway::StoreOptions(settings);
    if (relay) options.relays = {*relay};
    return options;
  }

  std::optional<gateway::FleetChange> Decode(
      const platform_clients::ItemChange& change) {
    if (change.item.key != "config") return std::nullopt;
    const int version = std::stoi(change.item.value);
    if (version == kPublishedVersion && !received) received = clock_.Now();
    catalogue::Catalogue catalogue;
    catalogue.version = static_cast<common::ConfigVersion>(version);
    return gateway::FleetChange{.catalogue = catalogue};
  }

  const common::BootClock clock_;
  const gateway::GatewaySettings settings_;
  transport::HttpClient client_;
  StoreClient store_;
  platform_clients::RelayedStore relayed_;

 public:
  gateway::Gateway gateway;

 private:
  const runtime::Ticker ticker_;
};

gateway::GatewaySettings Settings(const Limits& limits, const std::string& name,
                                  bool relay) {
  gateway::GatewaySettings settings;
  settings.name = common::ProcessName(name);
  settings.config_limit = limits.change;
  settings.drain_limit = limits.change;
  settings.control = {.address = relay ? "relay" : name, .port = 0};
  settings.relays = {{.address = "relay", .port = 0}};
  return settings;
}

// A relay, a follower and the connections between them and the store.
struct Fleet {
  Fleet(boost::asio::io_context& context, const Limits& limits,
        std::uint16_t store)
      : relay_to_store(context, store),
        follower_to_store(context, store),
        relay(context, Settings(limits, "relay", true),
              relay_to_store.Endpoint(), {}),
        server(*transport::HttpServer::Listen(
            context, {.endpoint = {.address = "127.0.0.1", .port = 0}},
            [this](const std::shared_ptr<transport::HttpExchange>& it) {
              relay.gateway.OnRelayPoll(it);
            })),
        follower_to_relay(context, server->Port()),
        follower(context, Settings(limits, "follower", false),
                 follower_to_store.Endpoint(), follower_to_relay.Endpoint()) {}

  SilencingProxy relay_to_store;
  SilencingProxy follower_to_store;
  TestGateway relay;
  std::shared_ptr<transport::HttpServer> server;
  SilencingProxy follower_to_relay;
  TestGateway follower;
};

// Several fleets that meet the same fault at different moments around a change
// of the configuration.
class Experiment {
 public:
  using Fault = std::function<void(Fleet&)>;

  Experiment(const Limits& limits, const Fault& fault) {
    constexpr int kFleets = 12;
    for (int i = 0; i < kFleets; ++i) {
      fleets_.push_back(
          std::make_unique<Fleet>(context_, limits, store_.Port()));
    }
    Run(1'500ms);
    // The faults come one after the other. Most of them come before the change,
    // the last ones after it.
    constexpr int kFaultsBeforeChange = 8;
    for (int i = 0; i < kFleets; ++i) {
      if (i == kFaultsBeforeChange) Publish();
      fault(*fleets_[i]);
      Run(100ms);
    }
    Run(limits.recovery);
  }

  // Checks that the change reached each follower or relay within `limit`.
  void CheckFollowers(common::Duration limit) const {
    for (const auto& it : fleets_) Check(it->follower, limit);
  }
  void CheckRelays(common::Duration limit) const {
    for (const auto& it : fleets_) Check(it->relay, limit);
  }

 private:
  void Check(const TestGateway& gateway, common::Duration limit) const {
    BOOST_REQUIRE(gateway.received.has_value());
    BOOST_CHECK_LE((*gateway.received - published_) / 1ms, limit / 1ms);
  }
  void Publish() {
    store_.Publish();
    published_ = clock_.Now();
  }
  void Run(common::Duration time) { context_.run_for(time); }

  boost::asio::io_context context_;
  const common::BootClock clock_;
  FakeStoreServer store_{context_};
  std::vector<std::unique_ptr<Fleet>> fleets_;
  common::TimePoint published_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ChangePropagationTest)

// Guards against a configuration that comes into force late because the polls
// wait on connections that have gone silent, while new connections work.
BOOST_AUTO_TEST_CASE(SilentConnectionsDelayNoChange) {
  const Limits limits{.change = 2s, .recovery = 3s};
  const Experiment experiment(limits, [](Fleet& it) {
    it.relay_to_store.SilenceOpen();
    it.follower_to_relay.SilenceOpen();
    it.follower_to_store.SilenceOpen();
  });
  experiment.CheckFollowers(limits.recovery);
  experiment.CheckRelays(limits.recovery);
}

// Guards against a configuration that comes into force late at gateways in
// touch with the store because their relay is cut off from it.
BOOST_AUTO_TEST_CASE(RelayCutOffFromTheStoreDelaysNoChange) {
  const Limits limits{.change = 3s, .recovery = 4s};
  const Experiment experiment(
      limits, [](Fleet& it) { it.relay_to_store.SilenceAll(); });
  experiment.CheckFollowers(limits.change);
}

// The same for a relay that is frozen or without power.
BOOST_AUTO_TEST_CASE(SilentRelayDelaysNoChange) {
  const Limits limits{.change = 3s, .recovery = 4s};
  const Experiment experiment(
      limits, [](Fleet& it) { it.follower_to_relay.SilenceAll(); });
  experiment.CheckFollowers(limits.change);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::platform_adapter
