#ifndef SHALLOTBEAM_CORE_CONFIG_MODEL_H_
#define SHALLOTBEAM_CORE_CONFIG_MODEL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Common/Types.h"

namespace shallotbeam::config {

enum class PoolType : std::uint8_t {
  kModel,  // streaming model engines; cost is measured in tokens
  kPlain,  // plain services; cost is measured in calls
};

// A set of interchangeable upstreams.
struct PoolConfig {
  PoolType type = PoolType::kModel;
  // Slots (concurrent requests) of an upstream until its concurrency limit has
  // been measured.
  int initial_slots = 8;
  int min_slots = 1;
  int max_slots = 64;
  // Requests that an agent may accept beyond its slots, so that a slot is not
  // idle for a round trip to the router.
  int prefetch = 1;
};

// A kind of request.
struct KindConfig {
  common::PoolName pool;
  common::Urgency urgency = common::Urgency::kNormal;
  bool idempotent = true;
  // Path of the call at the upstream.
  std::string upstream_path = "/v1/completions";
  std::chrono::milliseconds default_deadline{30'000};
  std::chrono::milliseconds max_deadline{300'000};
  std::size_t max_body_bytes = 1'000'000;
  // Limits of one router's queue for one workspace and this kind.
  int max_queued = 256;
  std::size_t max_queued_bytes = 16'000'000;
};

struct WorkspaceConfig {
  double weight = 1.0;
  // Lower-case hexadecimal SHA-256 of the credential. If it is empty, no
  // request is accepted, unless the workspace is open.
  std::string credential_sha256;
  bool open = false;  // requests need no credential
  std::set<common::KindName> kinds;
};

// The configuration that the operators publish for the whole fleet.
struct FleetConfig {
  common::ConfigVersion version = common::ConfigVersion::kNone;
  std::map<common::PoolName, PoolConfig> pools;
  std::map<common::KindName, KindConfig> kinds;
  std::map<common::WorkspaceName, WorkspaceConfig> workspaces;
};

}  // namespace shallotbeam::config

#endif  // SHALLOTBEAM_CORE_CONFIG_MODEL_H_
