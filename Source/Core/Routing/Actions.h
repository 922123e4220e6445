#ifndef SHALLOTBEAM_CORE_ROUTING_ACTIONS_H_
#define SHALLOTBEAM_CORE_ROUTING_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Common/Verdict.h"
#include "Protocol/Messages.h"
#include "Routing/AgentTable.h"

// Actions that a router decides on. The embedder carries them out in order.
namespace shallotbeam::routing {

// Sends the request to an agent. Answered by DispatchEnded.
struct DispatchRequest {
  common::RequestId id;
  std::uint32_t attempt = 0;
  common::ProcessName agent;
  common::Endpoint endpoint;
  common::GrantId grant = common::GrantId::kNone;
  // Only this incarnation of the agent may run the request; kNone if the
  // request is not bound to an incarnation.
  common::Incarnation bound_to = common::Incarnation::kNone;
  std::uint64_t binding_revision = 0;
  bool suspect = false;
  common::Duration time_left{};
};

// Closes the connection of an attempt whose response is no longer needed.
struct CancelDispatch {
  common::RequestId id;
  std::uint32_t attempt = 0;
};

// Final answer: the request was refused or failed. The router then removes it.
struct RefuseRequest {
  common::RequestId id;
  common::Refusal refusal;
};

// The response has started but can't be completed: ends the response as
// truncated.
struct TruncateResponse {
  common::RequestId id;
  common::Refusal refusal;
};

struct IssueTicket {
  common::RequestId id;
  std::string ticket;
};

struct SendMessage {
  common::ProcessName to;
  protocol::Body body;
};

// Reads the binding of an idempotency key that the caller chose. Answered by
// BindingRead.
struct ReadBinding {
  common::RequestId id;
  std::string store_key;
};

// Writes a binding by compare-and-swap; an expected revision of 0 means that
// the entry must be absent. If the store's answer is lost, the entry is read
// back before BindingWritten is raised.
struct WriteBinding {
  common::RequestId id;
  std::string store_key;
  std::uint64_t expected_revision = 0;
  std::string value;
};

// One line of the decision log, which records why a request went where it did.
struct LogDecision {
  common::RequestId id;
  common::WorkspaceName workspace;
  common::KindName kind;
  std::string_view decision;  // for example "dispatch"
  common::ProcessName agent;
  std::string_view cause;         // for example "direct"
  UnavailableAgents unavailable;  // of the pool, by cause
  std::string inputs;  // further key=value pairs, each preceded by a space
};

// Every accepted request has been answered; the process may exit.
struct DrainCompleted {};

using RouterAction =
    std::variant<DispatchRequest, CancelDispatch, RefuseRequest,
                 TruncateResponse, IssueTicket, SendMessage, ReadBinding,
                 WriteBinding, LogDecision, DrainCompleted>;

using RouterActions = std::vector<RouterAction>;

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_ACTIONS_H_
