#include "Gateway/GatewaySettings.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::gateway {

namespace {

constexpr const char* kRequired = "required";
constexpr const char* kWeighed = "weighed";
constexpr const char* kByDemand = "by_demand";
constexpr std::chrono::milliseconds kMinDuration{1};
constexpr std::chrono::milliseconds kMaxDuration = std::chrono::hours(1);
constexpr int kLargestMaxOffers = 100;
constexpr int kMinDescriptors = 64;
constexpr int kMaxDescriptors = 1'048'576;
constexpr int kMinMemoryMb = 16;
// File descriptors reserved for files and control connections.
constexpr int kReservedDescriptors = 300;
constexpr std::size_t kMegabyte = 1'048'576;
// Parts of the memory for the bytes held for callers, and for the connections
// themselves with their requests and upstream connections.
constexpr std::size_t kBufferPart = 4;
constexpr std::size_t kConnectionPart = 3;
constexpr std::size_t kConnectionBytes = 32'768;
constexpr int kMaxMemoryMb = 1'048'576;
constexpr double kMaxCpuShare = 1'024;

settings::Setting CpuShare(double* target) {
  return {.name = "cpu-share",
          .expected = absl::StrCat("a number from 0 to ", kMaxCpuShare),
          .default_value = absl::StrCat(*target),
          .unit = {},
          .description =
              "quota of processor time of this host, as a fraction of a core; "
              "new connections are accepted at the rate that it allows, 0 for "
              "no quota",
          .number = true,
          .parse =
              [target](const std::string& text) {
                double value = 0;
                // Rejects NaN, too.
                if (!absl::SimpleAtod(text, &value) ||
                    !(value >= 0 && value <= kMaxCpuShare)) {
                  return false;
                }
                *target = value;
                return true;
              },
          .clear = {}};
}

}  // namespace

bool RequiresCredentials(const GatewaySettings& settings) {
  return settings.credentials == kRequired;
}

bool WeighsPlacement(const GatewaySettings& settings) {
  return settings.placement == kWeighed;
}

bool FollowsLongPrompts(const GatewaySettings& settings) {
  return settings.long_prompt_engines == kByDemand;
}

bool IsRelay(const GatewaySettings& settings) {
  return std::any_of(settings.relays.begin(), settings.relays.end(),
                     [&settings](const common::Endpoint& it) {
                       return it.address == settings.control.address;
                     });
}

std::vector<common::Endpoint> ControlAddresses(
    const GatewaySettings& settings) {
  std::vector<common::Endpoint> addresses;
  for (const common::Endpoint& it : settings.relays) {
    addresses.push_back({.address = it.address, .port = settings.control.port});
  }
  return addresses;
}

std::chrono::milliseconds ChangeLimit(const GatewaySettings& settings) {
  return std::min(settings.config_limit, settings.drain_limit);
}

std::size_t MaxConnections(const GatewaySettings& settings) {
  const auto by_descriptors = static_cast<std::size_t>(
      std::max(settings.max_descriptors - kReservedDescriptors,
               settings.max_descriptors / 2) /
      2);
  const std::size_t by_memory =
      settings.memory_mb * kMegabyte / kConnectionPart / kConnectionBytes;
  return std::min(by_descriptors, by_memory);
}

overload::MemoryBudgetOptions MemoryOptions(const GatewaySettings& settings) {
  return {.bytes = settings.memory_mb * kMegabyte / kBufferPart};
}

settings::Settings GatewayKeys(GatewaySettings* target) {
  using settings::Address;
  using settings::Milliseconds;
  using settings::Seconds;
  using settings::Text;
  return {
      Text("name", "name of this process, unique in the fleet", &target->name),
      Text("data-centre", "data centre of this host", &target->data_centre),
      Address("listen", "address for callers (HTTP)", &target->callers),
      Address("readiness", "address for the load balancer's readiness checks",
              &target->readiness),
      Address("admin", "address for metrics and status (HTTP)", &target->admin),
      Address("control", "address for messages of schedulers",
              &target->control),
      Address("store", "address of the platform's key-value service",
              &target->store),
      settings::Addresses("relays",
                          "gateways that pass changes of the store on to the "
                          "others, on their port for control messages",
                          &target->relays),
      settings::LogLevels("log", "log levels by subsystem",
                          &target->log_levels),
      settings::Choice("credentials",
                       "whether callers need a credential under a "
                       "configuration without a list of workspaces",
                       {kRequired, "if_configured"}, &target->credentials),
      Milliseconds("revocation-limit-ms",
                   "longest time for which a withdrawn credential is served",
                   kMinDuration, kMaxDuration, &target->revocation_limit),
      Milliseconds("config-limit-ms",
                   "time within which a new configuration must be in force",
                   kMinDuration, kMaxDuration, &target->config_limit),
      Milliseconds("drain-limit-ms",
                   "time within which a draining upstream must get no more "
                   "requests",
                   kMinDuration, kMaxDuration, &target->drain_limit),
      Seconds("stop-limit-s", "time after which a stopped process is killed",
              kMinDuration, kMaxDuration, &target->stop_limit),
      settings::Number("max-descriptors", "file descriptors of this process",
                       kMinDescriptors, kMaxDescriptors,
                       &target->max_descriptors),
      settings::Number("memory-mb", "memory that this process may use, in MiB",
                       kMinMemoryMb, kMaxMemoryMb, &target->memory_mb),
      settings::Choice("placement",
                       "order in which engines are asked for a prompt: by "
                       "place in its cache order, or by expected time to the "
                       "first event",
                       {"ranked", kWeighed}, &target->placement),
      settings::Choice("long-prompt-engines",
                       "engines reserved for long prompts: an eighth, or as "
                       "many as their demand needs",
                       {"fixed", kByDemand}, &target->long_prompt_engines),
      CpuShare(&target->cpu_share),
      Milliseconds("away-penalty-ms",
                   "wait that is accepted at the engine with the cached prompt "
                   "before another is preferred",
                   std::chrono::milliseconds(0), kMaxDuration,
                   &target->away_penalty),
      Milliseconds("tolerated-wait-ms",
                   "wait at one engine before a request is offered to another",
                   std::chrono::milliseconds(0), kMaxDuration,
                   &target->tolerated_wait),
      settings::Number("max-offers", "engines that a request is offered to", 1,
                       kLargestMaxOffers, &target->max_offers)};
}

}  // namespace shallotbeam::gateway
