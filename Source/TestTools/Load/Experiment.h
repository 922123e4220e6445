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

// An experiment: a fleet, phases of load and bounds on what is measured. Read
// from a JSON file with comments; Experiments/*.jsonc are examples.
namespace shallotbeam::load {

struct Range {
  int low = 0;
  int high = 0;
};

// Agents of one pool, each with its own engine.
struct PoolSpec {
  std::string pool;
  int agents = 1;
  // Options of the engine stand-in without dashes, for example "batch".
  std::map<std::string, std::string> engine;
};

struct FleetSpec {
  std::vector<std::string> data_centres = {"dc1"};
  int routers = 2;
  std::vector<PoolSpec> pools;
  std::string log = "info";
};

enum class Shape : std::uint8_t {
  kConstant,
  kRamp,   // from 0 to twice the rate
  kBurst,  // three times the rate in one second of three
};

// Requests of one kind, sent by each of the workspaces.
struct LoadSpec {
  std::vector<std::string> workspaces;
  std::string kind;
  double rate = 1;  // per second and workspace
  Shape shape = Shape::kConstant;
  std::vector<double> entry;  // weights of the routers; empty: of the phase
  bool plain = false;
  bool stream = true;
  Range prompt_tokens{50, 50};
  Range tokens{16, 16};
  int shared_prefix_tokens = 0;
  int retries = 0;  // after a refusal with Retry-After
  bool keyed = false;
  double resend = 0;  // share of keyed requests sent again while in flight
  std::chrono::milliseconds resend_after{20};
  std::chrono::milliseconds deadline{0};    // 0: the kind's default
  std::chrono::milliseconds read_pause{0};  // before each piece is taken
};

// Switches at POST /faults of the platform or of an engine ("POOL-NUMBER").
struct FaultSpec {
  std::string process;
  nlohmann::json faults;
};

struct Phase {
  std::string name;
  std::chrono::milliseconds length{10'000};
  std::vector<double> entry;
  std::vector<FaultSpec> faults;  // cleared at the end of the phase
  std::vector<LoadSpec> loads;
};

// A limit that a measure must keep. Limits come from the requirements.
struct Bound {
  std::string measure;
  std::string phase;    // empty: the whole run
  std::string against;  // phase to compare with, for ratios
  std::string pool;
  std::vector<std::string> except;  // workspaces left out
  std::optional<double> min;
  std::optional<double> max;
};

struct Experiment {
  std::string name;
  std::string text;  // what it shows
  std::uint64_t seed = 1;
  std::string config_folder;  // or:
  nlohmann::json config;
  FleetSpec fleet;
  std::vector<Phase> phases;
  std::vector<Bound> bounds;
  // Time for requests in flight at the end of the last phase.
  std::chrono::milliseconds drain{10'000};
};

// Fails with kInvalidArgument or kNotFound, with the place in the message.
absl::StatusOr<Experiment> ReadExperiment(const std::string& path);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_EXPERIMENT_H_
