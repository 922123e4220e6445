#include "Runtime/ProcessSettings.h"

#include <iterator>

namespace shallotbeam::runtime {

namespace {

using settings::Presence;

constexpr int kMaxThreads = 64;
constexpr int kMinMemoryMb = 16;
constexpr int kMaxMemoryMb = 1'048'576;
constexpr std::size_t kMegabyte = 1'048'576;
// Part of the memory for the requests of callers.
constexpr std::size_t kBufferPart = 4;
constexpr std::chrono::milliseconds kMinDrainTime{1};
constexpr std::chrono::milliseconds kMaxDrainTime = std::chrono::hours(1);

settings::Settings SharedKeys(ProcessSettings* target, Presence routers) {
  return {
      settings::Text("name", "name of this process, unique in the fleet",
                     &target->name),
      settings::Text("data-centre", "data centre of this host",
                     &target->data_centre),
      settings::Text("region", "region of the data centre", &target->region),
      settings::Address("admin",
                        "address for health, metrics and status (HTTP)",
                        &target->admin),
      settings::Address("control", "address for control messages",
                        &target->control),
      settings::Addresses("router", "control address of a router",
                          &target->routers, routers),
      settings::Number("threads", "network threads", 1, kMaxThreads,
                       &target->threads),
      settings::Number("memory-mb", "memory that this process may use, in MiB",
                       kMinMemoryMb, kMaxMemoryMb, &target->memory_mb),
      settings::LogLevels("log", "log levels by subsystem",
                          &target->log_levels),
      settings::Milliseconds("drain-deadline-ms", "longest graceful shutdown",
                             kMinDrainTime, kMaxDrainTime,
                             &target->drain_deadline)};
}

}  // namespace

RouterSettings::RouterSettings() {
  name = common::ProcessName("router");
  admin = {"127.0.0.1", 8081};
  control = {"127.0.0.1", 8082};
}

AgentSettings::AgentSettings() {
  name = common::ProcessName("agent");
  admin = {"127.0.0.1", 8091};
  control = {"127.0.0.1", 8092};
}

std::size_t MaxBufferedBytes(const ProcessSettings& settings) {
  return settings.memory_mb * kMegabyte / kBufferPart;
}

settings::Settings RouterKeys(RouterSettings* target) {
  settings::Settings keys = SharedKeys(target, Presence::kOptional);
  keys.push_back(settings::Address("listen", "address for callers (HTTP)",
                                   &target->callers));
  keys.push_back(settings::Address(
      "platform", "address of the platform's key-value service",
      &target->platform));
  keys.push_back(settings::Address(
      "hosts", "address of the platform's host list; without it none is read",
      &target->hosts));
  keys.push_back(settings::Milliseconds(
      "drain-grace-ms", "time to serve new requests after the signal to end",
      kMinDrainTime, kMaxDrainTime, &target->drain_grace));
  return keys;
}

settings::Settings AgentKeys(AgentSettings* target) {
  settings::Settings keys = SharedKeys(target, Presence::kRequired);
  keys.push_back(
      settings::Address("listen", "address for routers (HTTP)", &target->data));
  keys.push_back(settings::Text("pool", "pool of the upstream", &target->pool,
                                Presence::kRequired));
  keys.push_back(settings::Text(
      "upstream-name", "name of the upstream; without it the agent's name",
      &target->upstream_name));
  keys.push_back(settings::Address("upstream", "address of the upstream (HTTP)",
                                   &target->upstream, Presence::kRequired));
  return keys;
}

}  // namespace shallotbeam::runtime
