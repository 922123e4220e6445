#ifndef SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_PROCESSCHECKS_H_
#define SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_PROCESSCHECKS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "ProcessScenarios/Callers.h"

namespace shallotbeam::process_scenarios {

// A run of a request with a key, from the engines' records.
struct Run {
  std::string key;
  std::size_t tag = 0;        // of the send that ran
  std::int64_t begun_ms = 0;  // steady clock of this machine
  std::string engine;
};

// Returns one line per violation of what must hold in every run.
std::vector<std::string> CheckRun(const std::deque<Call>& calls,
                                  const std::vector<Run>& runs);

// Completed calls and all calls of a workspace.
std::pair<int, int> CompletedOf(const std::deque<Call>& calls,
                                const std::string& workspace);

}  // namespace shallotbeam::process_scenarios

#endif  // SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_PROCESSCHECKS_H_
