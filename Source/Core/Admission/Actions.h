#ifndef SHALLOTBEAM_CORE_ADMISSION_ACTIONS_H_
#define SHALLOTBEAM_CORE_ADMISSION_ACTIONS_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Admission/Events.h"
#include "Common/Verdict.h"
#include "Protocol/Messages.h"

// Actions that the agent emits. The caller of Handle() executes them in order.
namespace shallotbeam::admission {

// Sends the request to the upstream. UpstreamEnded reports the outcome.
struct StartUpstream {
  AttemptId id;
  // If not empty, the whole response is stored under this key for ReplayResult.
  std::string result_key;
};

// Tells the router that this agent does not serve the request.
struct RejectOffer {
  AttemptId id;
  common::Refusal refusal;
};

// Answers the router with a stored response.
struct ReplayResult {
  AttemptId id;
  std::string key;
};

// Deletes a stored response.
struct DiscardResult {
  std::string key;
};

// Closes the connection to the upstream. No further events follow for the
// attempt.
struct CancelUpstream {
  AttemptId id;
};

// Checks whether the upstream accepts connections. UpstreamProbed reports the
// result.
struct ProbeUpstream {};

struct SendMessage {
  common::ProcessName to;
  protocol::Body body;
};

// One line of the decision log.
struct LogDecision {
  AttemptId id;
  common::WorkspaceName workspace;
  std::string_view decision;  // for example "start"
  std::string_view cause;
  common::ProcessName router;
  int running = 0;
  int limit = 0;
};

// All running requests have ended, or the drain deadline has passed. The
// process may exit.
struct DrainCompleted {};

using AgentAction = std::variant<StartUpstream, RejectOffer, ReplayResult,
                                 DiscardResult, CancelUpstream, ProbeUpstream,
                                 SendMessage, LogDecision, DrainCompleted>;

using AgentActions = std::vector<AgentAction>;

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_CORE_ADMISSION_ACTIONS_H_
