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

// What a gateway serves: routes, the pools behind them, and who may call.
namespace shallotbeam::catalogue {

// How often the requests of a route may run.
enum class Repetition : std::uint8_t {
  kAtMostOnce,
  kRepeatable,
};

// A pool and its share of a route's traffic.
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
  bool streamed = false;   // the response is a series of events
  bool resumable = false;  // a broken stream may go on at another upstream
  bool requires_credential = true;  // callers need a credential
  bool carries_prompt = false;
  int attempts = 1;  // upstreams at which one request may run
  int priority = 0;  // 0 is the most urgent
  common::Duration timeout = std::chrono::seconds(60);
  // Time to the response, or to the first event of a stream, that counts as on
  // time.
  common::Duration latency_target = std::chrono::seconds(60);
  // Longest pause between events that counts as on time; zero if there is none.
  common::Duration event_gap_target{0};
};

// The model engine of each upstream of a pool.
struct Engine {
  int slots = 1;             // requests in one batch
  double memory_tokens = 0;  // of running requests and cached prefixes
  int tokens_per_event = 1;
};

struct Pool {
  std::optional<Engine> engine;
};

// What callers may send.
struct CallerLimits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 4'194'304;
  common::Duration header_timeout = std::chrono::seconds(3);
  common::Duration idle_timeout = std::chrono::seconds(15);
};

struct Workspace {
  common::WorkspaceName name;
  std::optional<int> priority;  // replaces the rank of routes
};

struct Catalogue {
  common::ConfigVersion version = common::ConfigVersion::kNone;
  std::vector<Route> routes;
  std::unordered_map<common::PoolName, Pool> pools;
  CallerLimits limits;
  // Service that all engines together give, in tokens; absent: not stated.
  std::optional<double> tokens_per_second;
  std::vector<Workspace> workspaces;
  // Index into `workspaces` by credential. Without workspaces no caller needs a
  // credential.
  std::unordered_map<std::string, std::size_t> credentials;
};

}  // namespace shallotbeam::catalogue

#endif  // SHALLOTBEAM_CORE_CATALOGUE_MODEL_H_
