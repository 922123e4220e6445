#ifndef SHALLOTBEAM_CORE_CATALOGUE_MODEL_H_
#define SHALLOTBEAM_CORE_CATALOGUE_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Pacing/ColdStarts.h"

// Configuration that a gateway serves: routes, the pools behind them and the
// callers with their credentials.
namespace shallotbeam::catalogue {

// Whether a request of a route may run more than once.
enum class Repetition : std::uint8_t {
  kAtMostOnce,
  kRepeatable,
};

// A pool and its weight in the traffic split of a route.
struct PoolShare {
  common::PoolName pool;
  int weight = 1;
};

struct Route {
  std::string name;
  std::string host;         // value of the Host header
  std::string path_prefix;  // begins and ends with a slash
  std::vector<PoolShare> weighted_pools;
  Repetition repetition = Repetition::kAtMostOnce;
  bool streamed = false;   // the response is a stream of events
  bool resumable = false;  // another upstream may continue a broken stream
  bool requires_credential = true;  // callers must present a credential
  bool carries_prompt = false;
  int attempts = 1;  // number of upstreams at which one request may run
  int priority = 0;  // priority; 0 is the most urgent
  common::Duration timeout = std::chrono::seconds(60);
  // Within this time, a response or the first event of a stream is on time.
  common::Duration latency_target = std::chrono::seconds(60);
  // Longest gap between events that counts as on time; zero if there is no
  // target.
  common::Duration event_gap_target{0};
};

// Capacity of the model engine behind each upstream of a pool.
struct Engine {
  int slots = 1;             // largest number of requests in one batch
  double memory_tokens = 0;  // for running requests and cached prefixes
  int tokens_per_event = 1;
};

struct Pool {
  std::optional<Engine> engine;
  pacing::ColdLimit cold;
};

// Limits on what callers send.
struct CallerLimits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 4'194'304;
  common::Duration header_timeout = std::chrono::seconds(3);
  common::Duration idle_timeout = std::chrono::seconds(15);
};

struct Workspace {
  common::WorkspaceName name;
  std::optional<int> priority;  // priority that overrides the route's
};

struct Catalogue {
  common::ConfigVersion version = common::ConfigVersion::kNone;
  std::vector<Route> routes;
  std::unordered_map<common::PoolName, Pool> pools;
  CallerLimits limits;
  // Service rate of all engines together; absent if not configured.
  std::optional<double> tokens_per_second;
  std::vector<Workspace> workspaces;
  // Index into `workspaces` by credential.
  std::unordered_map<std::string, std::size_t> credentials;
  // Whether routes that require a credential check it. False only if the
  // configuration has no list of workspaces at all; with an empty list, no
  // credential is valid.
  bool checks_credentials = true;
};

}  // namespace shallotbeam::catalogue

#endif  // SHALLOTBEAM_CORE_CATALOGUE_MODEL_H_
