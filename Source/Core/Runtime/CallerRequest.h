#ifndef SHALLOTBEAM_CORE_RUNTIME_CALLERREQUEST_H_
#define SHALLOTBEAM_CORE_RUNTIME_CALLERREQUEST_H_

#include <variant>

#include "Common/Types.h"
#include "Common/Verdict.h"
#include "Routing/Events.h"
#include "Transport/Http.h"

namespace shallotbeam::runtime {

// The event of a valid HTTP request of a caller, or the reason for refusing it.
using CallerRequest = std::variant<routing::RequestArrived,
                                   routing::TicketRequested, common::Refusal>;

// Parses POST /v1/requests and POST /v1/tickets.
CallerRequest ParseCallerRequest(const transport::HttpRequest& request,
                                 common::RequestId id);

// Lower-case hexadecimal SHA-256.
std::string Sha256Hex(std::string_view text);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_CALLERREQUEST_H_
