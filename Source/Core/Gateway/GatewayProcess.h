#ifndef SHALLOTBEAM_CORE_GATEWAY_GATEWAYPROCESS_H_
#define SHALLOTBEAM_CORE_GATEWAY_GATEWAYPROCESS_H_

#include <functional>
#include <memory>

#include "Forwarding/HeaderCodec.h"
#include "Gateway/Gateway.h"
#include "Gateway/GatewaySettings.h"
#include "PlatformClients/ItemStore.h"
#include "PlatformClients/RelayedStore.h"
#include "Transport/HttpClient.h"
#include "absl/status/status.h"

namespace shallotbeam::gateway {

// The parts of a gateway that depend on the platform.
struct Deployment {
  const forwarding::HeaderCodec& header_codec;
  std::function<std::unique_ptr<platform_clients::ItemStore>(
      transport::HttpClient& client, const common::Endpoint& store)>
      make_store;
  std::function<std::optional<FleetChange>(const platform_clients::ItemChange&)>
      decode;
  std::string readiness_path = "/readyz";
};

// Options of the clients through which a gateway follows the store.
transport::HttpClientOptions ControlClientOptions();
platform_clients::RelayedStoreOptions StoreOptions(
    const GatewaySettings& settings);

// Runs a gateway until the process receives a stop signal and has drained.
absl::Status RunGateway(const GatewaySettings& settings,
                        const Deployment& deployment);

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_GATEWAYPROCESS_H_
