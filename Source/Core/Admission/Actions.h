#ifndef SHALLOTBEAM_CORE_ADMISSION_ACTIONS_H_
#define SHALLOTBEAM_CORE_ADMISSION_ACTIONS_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Admission/Events.h"
#include "Common/Verdict.h"
#include "Protocol/Messages.h"

// What an agent decides to do. Carried out in order.
namespace shallotbeam::admission {

// Send the request to the upstream. Answered by UpstreamEnded.
struct StartUpstream {
  AttemptId id;
  // Keep the whole response under this key for ReplayResult; may be empty.
  std::string keep_result_as;
};

// Answer the router that the request is not served here.
struct RejectOffer {
  AttemptId id;
  common::Refusal refusal;
};

// Answer the router with a kept response.
struct ReplayResult {
  AttemptId id;
  std::string key;
};

struct ForgetResult {
  std::string key;
};

// Close the connection to the upstream; no further events for the attempt.
struct CancelUpstream {
  AttemptId id;
};

// Check whether the upstream accepts connections. Answered by UpstreamProbed.
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

// Everything begun has ended; the process may exit.
struct DrainCompleted {};

using AgentAction = std::variant<StartUpstream, RejectOffer, ReplayResult,
                                 ForgetResult, CancelUpstream, ProbeUpstream,
                                 SendMessage, LogDecision, DrainCompleted>;

using AgentActions = std::vector<AgentAction>;

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_CORE_ADMISSION_ACTIONS_H_
