#ifndef SHALLOTBEAM_CORE_GATEWAY_GATEWAYSETTINGS_H_
#define SHALLOTBEAM_CORE_GATEWAY_GATEWAYSETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Overload/MemoryBudget.h"
#include "Settings/Settings.h"

namespace shallotbeam::gateway {

struct GatewaySettings {
  common::ProcessName name{"gateway"};
  common::DataCentreName data_centre;
  common::Endpoint callers{"127.0.0.1", 8080};
  common::Endpoint readiness{"127.0.0.1", 8081};
  common::Endpoint admin{"127.0.0.1", 8082};    // metrics and status
  common::Endpoint control{"127.0.0.1", 8083};  // messages from schedulers
  common::Endpoint store{"127.0.0.1", 2379};
  // Gateways that poll the store and pass its changes on to the others. Only
  // the addresses are used; the port is that of `control`.
  std::vector<common::Endpoint> relays;
  std::string log_levels = "info";

  // "required" or "if_configured": whether callers need a credential under a
  // configuration without a list of workspaces.
  std::string credentials = "if_configured";
  // A revoked credential must not be accepted for longer than this.
  std::chrono::milliseconds revocation_limit{5'000};
  // Times within which a change of the configuration, and the draining of an
  // upstream, must take effect.
  std::chrono::milliseconds config_limit{2'000};
  std::chrono::milliseconds drain_limit{2'000};
  // A stopped process is killed after this time.
  std::chrono::milliseconds stop_limit{8'000};
  int max_descriptors = 2'870;
  int memory_mb = 512;  // of the host, for this process
  // Quota of processor time, as a fraction of a core; 0 if there is none.
  double cpu_share = 0;

  // "ranked" or "weighed": how the engine of a prompt is chosen.
  std::string placement = "ranked";
  // "fixed" or "by_demand": how many engines are reserved for long prompts.
  std::string long_prompt_engines = "fixed";
  // Trade-off between the engine that caches the prompt and a shorter wait at
  // another one; see balancing::PlacementSearchOptions.
  std::chrono::milliseconds away_penalty{60};
  std::chrono::milliseconds tolerated_wait{30};
  int max_offers = 2;
};

bool RequiresCredentials(const GatewaySettings& settings);

// Whether the wait at an engine is weighed against what its cache saves.
bool WeighsPlacement(const GatewaySettings& settings);

// Whether the engines reserved for long prompts follow their demand.
bool FollowsLongPrompts(const GatewaySettings& settings);

// Whether this gateway is one of the relays.
bool IsRelay(const GatewaySettings& settings);

// Addresses of the relays for control messages.
std::vector<common::Endpoint> ControlAddresses(const GatewaySettings& settings);

// Time within which every change of the store must take effect.
std::chrono::milliseconds ChangeLimit(const GatewaySettings& settings);

// Number of connections of callers that the descriptors and the memory of the
// host allow.
std::size_t MaxConnections(const GatewaySettings& settings);

// Memory for what is held for callers.
overload::MemoryBudgetOptions MemoryOptions(const GatewaySettings& settings);

// The typed keys, bound to `target`, which must outlive them.
settings::Settings GatewayKeys(GatewaySettings* target);

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_GATEWAYSETTINGS_H_
