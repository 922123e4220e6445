#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_SCENARIO_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_SCENARIO_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Fakes/Fleet.h"
#include "absl/status/statusor.h"

// Text form of a timed test. One step a line, `#` starts a comment:
//
//   fleet routers 2 agents 3 slots 2 seed 7
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
// Calls with `crashes yes` crash the upstream that runs them; calls with
// `ticket yes` get a ticket first and use it as their key.
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
  std::vector<Step> steps;  // in the order of the file
};

// Returns kInvalidArgument with file and line on the first mistake.
absl::StatusOr<Scenario> ParseScenario(const std::string& file,
                                       std::string_view text);

// Returns kNotFound if the file can't be read.
absl::StatusOr<Scenario> ReadScenario(const std::string& path);

std::string ToString(const Scenario& scenario);

// Runs the steps, heals every fault, waits until all deadlines have passed and
// checks the invariants. Returns one line per violation.
std::vector<std::string> RunScenario(const Scenario& scenario);

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_SCENARIO_H_
