#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_SCENARIO_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_SCENARIO_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Fakes/Fleet.h"
#include "absl/status/statusor.h"

// Text format of a timed test. Each line is one step; `#` starts a comment:
//
//   fleet routers 2 agents 3 slots 2 seed 7 delay 5ms
//   workspace a weight 2
//   check undisturbed
//   at 0ms send c1 via r1 workspace a kind order key k1 cost 20 deadline 3s
//   at 10ms resend c2 of c1 via r2
//   at 20ms disconnect c1
//   at 0ms flood b via r1 count 100 every 5ms kind chat cost 20
//   at 1s kill r1            (restart, freeze, resume, drain, leave)
//   at 1s cut r1 a1          (heal)
//   at 1s store down         (up, slow, loses-answers)
//   at 1s upstream a1 slow   (up, errors, silent, refuses, crash)
//   at 1s publish
//   at 6s expect call c1 completed
//   at 6s expect runs k1 1
//
// The words in brackets are alternatives to the verb or state in their line.
// Calls with `crashes yes` crash the upstream that runs them. Calls with
// `ticket yes` obtain a ticket first and use it as their key. `leaves TIME`
// disconnects the caller after that time; `again ROUTER` resends the call
// through that router after 300 ms. Calls with equal `content` have equal
// fingerprints.
namespace shallotbeam::fakes {

struct Step {
  common::Duration at{};
  std::string verb;
  std::vector<std::string> words;  // positional
  std::map<std::string, std::string> options;
  int line = 0;
};

struct Scenario {
  std::string file;
  FleetOptions fleet;
  bool check_undisturbed = false;
  bool unconfigured = false;  // the fleet starts without a configuration
  std::vector<Step> steps;    // in the order of the file
};

// What a scenario runs against: the simulated fleet of this folder, or real
// processes. With processes a step may run later than its time, and there are
// additional steps and options:
//
//   at 0ms send c1 via r1 stream yes
//   at 0ms flood b via r1 count 50 every 20ms kind order key k again r2
//   at 0ms wait begun c1      (waits until the given expectation holds)
//   at 0ms terminate a1       (SIGTERM, may be repeated)
//   at 1s expect exited a1 0
//   at 1s expect quiet a1 3s  (its engine starts no request in that time)
//   at 1s race                (two operators publish concurrently)
//   unconfigured              (no configuration is published at the start)
enum class ScenarioTarget : std::uint8_t { kFakes, kProcesses };

// Returns kInvalidArgument with the file and line of the first error.
absl::StatusOr<Scenario> ParseScenario(
    const std::string& file, std::string_view text,
    ScenarioTarget target = ScenarioTarget::kFakes);

// Returns kNotFound if the file can't be read.
absl::StatusOr<Scenario> ReadScenario(
    const std::string& path, ScenarioTarget target = ScenarioTarget::kFakes);

std::string ToString(const Scenario& scenario);

// Statistics on what a scenario exercised, accumulated over several scenarios.
struct RunCounts {
  std::map<std::string, std::size_t>
      answers;           // by outcome, for example "broken"
  std::size_t runs = 0;  // at upstreams
  std::size_t crashes = 0;
  std::size_t contended = 0;  // samples in which several workspaces waited
};

// Runs the steps, heals every fault, waits until all deadlines have passed and
// checks the invariants. Returns one line per violation. Adds to `counts`
// unless it is null.
std::vector<std::string> RunScenario(const Scenario& scenario,
                                     RunCounts* counts = nullptr);

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_SCENARIO_H_
