#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_EXPERIMENT_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_EXPERIMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

// An experiment consists of a fleet, phases of load and bounds on the measures.
// It is read from a JSON file with comments; see Experiments/*.jsonc.
namespace shallotbeam::load {

struct Range {
  int low = 0;
  int high = 0;
};

// The agents of one pool. Each agent has its own engine.
struct PoolSpec {
  std::string pool;
  int agents = 1;
  // Command-line options of the engine stand-in without the leading dashes, for
  // example "batch".
  std::map<std::string, std::string> engine;
};

struct FleetSpec {
  std::vector<std::string> data_centres = {"dc1"};
  int routers = 2;
  std::vector<PoolSpec> pools;
  std::string log = "info";
  // Memory of each router and agent, in MiB; 0 for their default.
  int memory_mb = 0;
};

// How the arrival rate changes over a phase. Every shape has the same mean
// rate.
enum class Shape : std::uint8_t {
  kConstant,
  kRamp,   // from 0 to twice the rate
  kBurst,  // three times the rate for one second out of three
};

// Load of one request kind, generated separately for each workspace.
struct LoadSpec {
  std::vector<std::string> workspaces;
  std::string kind;
  double rate = 1;  // per second and workspace
  Shape shape = Shape::kConstant;
  // Weights by which requests are distributed over the routers; if empty, the
  // weights of the phase apply.
  std::vector<double> entry;
  bool plain = false;  // plain calls instead of completions
  bool stream = true;
  Range prompt_tokens{50, 50};
  Range tokens{16, 16};
  int shared_prefix_tokens = 0;
  int retries = 0;     // per request, after refusals that have a Retry-After
  bool keyed = false;  // requests have an idempotency key
  // Share of keyed requests that are sent a second time, to another router,
  // while the first may still be in flight.
  double resend = 0;
  std::chrono::milliseconds resend_after{20};
  std::chrono::milliseconds deadline{0};    // 0: default of the kind
  std::chrono::milliseconds read_pause{0};  // before each read of the body
};

// A fault to inject through POST /faults of the platform stand-in or of an
// engine stand-in (named "POOL-NUMBER").
struct FaultSpec {
  std::string process;
  nlohmann::json faults;
};

struct Phase {
  std::string name;
  std::chrono::milliseconds length{10'000};
  std::vector<double> entry;      // weights of the routers; empty: equal
  std::vector<FaultSpec> faults;  // removed at the end of the phase
  std::vector<LoadSpec> loads;
};

// Limits for a measure. The limits come from the requirements.
struct Bound {
  std::string measure;
  std::string phase;    // empty: the whole run
  std::string against;  // reference phase, for ratios
  std::string pool;
  std::vector<std::string> except;  // excluded workspaces
  std::optional<double> min;
  std::optional<double> max;
};

struct Experiment {
  std::string name;
  std::string text;  // purpose of the experiment
  std::uint64_t seed = 1;
  // The configuration is read from `config_folder` unless that is empty;
  // otherwise `config` holds it.
  std::string config_folder;
  nlohmann::json config;
  FleetSpec fleet;
  std::vector<Phase> phases;
  std::vector<Bound> bounds;
  // Time after the last phase in which requests in flight may complete.
  std::chrono::milliseconds drain{10'000};
};

// Returns kInvalidArgument or kNotFound; the message names the key or file at
// fault.
absl::StatusOr<Experiment> ReadExperiment(const std::string& path);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_EXPERIMENT_H_
