#ifndef SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_PROCESSRUN_H_
#define SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_PROCESSRUN_H_

#include <map>
#include <string>
#include <vector>

#include "Fakes/Scenario.h"

// Runs scenarios against a fleet of real processes on loopback.
namespace shallotbeam::process_scenarios {

struct ProcessRunOptions {
  std::string programs;     // folder with the built programs
  std::string work_folder;  // for logs and configuration
  int first_port = 30'100;  // 40 ports from here on
};

struct ProcessRunResult {
  std::vector<std::string> violations;  // one line each
  std::map<std::string, int> outcomes;  // number of calls by outcome
  int keys = 0;                         // number of keys that ran
  int runs = 0;                         // number of runs with a key
  int crashes = 0;                      // number of engine crashes
};

// Runs the steps in the order of their times. The time that a `wait` takes
// delays all later steps. At the end the store is restored, frozen processes
// are resumed, every call is awaited, and the invariants of CheckRun() are
// checked.
ProcessRunResult RunWithProcesses(const fakes::Scenario& scenario,
                                  const ProcessRunOptions& options);

}  // namespace shallotbeam::process_scenarios

#endif  // SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_PROCESSRUN_H_
