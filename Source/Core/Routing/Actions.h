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

// What a router decides to do. Carried out in order.
namespace shallotbeam::routing {

// Send the request to an agent. Answered by DispatchEnded.
struct DispatchRequest {
  common::RequestId id;
  std::uint32_t attempt = 0;
  common::ProcessName agent;
  common::Endpoint endpoint;
  common::GrantId grant = common::GrantId::kNone;
  // Only this incarnation may run the request; kNone if it is not bound.
  common::Incarnation bound_to = common::Incarnation::kNone;
  std::uint64_t binding_revision = 0;
  bool suspect = false;
  common::Duration time_left{};
};

// Close the connection of an attempt whose answer is no longer wanted.
struct CancelDispatch {
  common::RequestId id;
  std::uint32_t attempt = 0;
};

// Final answer: refused or failed. The request is forgotten.
struct RefuseRequest {
  common::RequestId id;
  common::Refusal refusal;
};

// The response had started and can't be completed: end it as truncated.
struct TruncateResponse {
  common::RequestId id;
  common::Refusal refusal;
};

struct GiveTicket {
  common::RequestId id;
  std::string ticket;
};

struct SendMessage {
  common::ProcessName to;
  protocol::Body body;
};

// Read the binding of a caller's key. Answered by BindingRead.
struct ReadBinding {
  common::RequestId id;
  std::string store_key;
};

// Compare-and-swap a binding; revision 0 means that it must be absent. A lost
// answer is read back before BindingWritten is raised.
struct WriteBinding {
  common::RequestId id;
  std::string store_key;
  std::uint64_t expected_revision = 0;
  std::string value;
};

// One line of the decision log.
struct LogDecision {
  common::RequestId id;
  common::WorkspaceName workspace;
  common::KindName kind;
  std::string_view decision;  // for example "dispatch"
  common::ProcessName agent;
  std::string_view cause;  // for example "direct"
  PassedOver passed_over;  // agents of the pool
  std::string inputs;      // further key=value pairs, each after a space
};

// Everything accepted has been answered; the process may exit.
struct DrainCompleted {};

using RouterAction =
    std::variant<DispatchRequest, CancelDispatch, RefuseRequest,
                 TruncateResponse, GiveTicket, SendMessage, ReadBinding,
                 WriteBinding, LogDecision, DrainCompleted>;

using RouterActions = std::vector<RouterAction>;

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_ACTIONS_H_
