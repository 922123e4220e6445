#ifndef SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_PROCESSCHECKS_H_
#define SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_PROCESSCHECKS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "ProcessScenarios/Callers.h"

namespace shallotbeam::process_scenarios {

// A run of a request with a key, as recorded by an engine.
struct Run {
  std::string key;
  std::size_t tag = 0;          // of the send that ran
  std::int64_t started_ms = 0;  // on the steady clock of this machine
  std::string engine;
};

// Checks the invariants that hold in every scenario. Returns one line per
// violation.
std::vector<std::string> CheckRun(const std::deque<Call>& calls,
                                  const std::vector<Run>& runs);

// Returns the numbers of completed calls and of all calls of a workspace.
std::pair<int, int> CountCompleted(const std::deque<Call>& calls,
                                   const std::string& workspace);

}  // namespace shallotbeam::process_scenarios

#endif  // SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_PROCESSCHECKS_H_
