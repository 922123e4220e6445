#ifndef SHALLOTBEAM_CORE_RUNTIME_AGENTPROCESS_H_
#define SHALLOTBEAM_CORE_RUNTIME_AGENTPROCESS_H_

#include "Runtime/ProcessSettings.h"
#include "absl/status/status.h"

namespace shallotbeam::runtime {

// Runs an agent until it has drained after SIGTERM or SIGINT; a second signal
// stops it immediately. Returns kUnavailable if an address can't be bound.
absl::Status RunAgent(const AgentSettings& settings);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_AGENTPROCESS_H_
