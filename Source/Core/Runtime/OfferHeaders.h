#ifndef SHALLOTBEAM_CORE_RUNTIME_OFFERHEADERS_H_
#define SHALLOTBEAM_CORE_RUNTIME_OFFERHEADERS_H_

#include <optional>

#include "Admission/Events.h"
#include "Routing/Actions.h"
#include "Transport/Http.h"

// HTTP encoding of an offer: a request that a router dispatches to an agent
// (POST /v1/run).
namespace shallotbeam::runtime {

transport::HttpRequest SendOffer(const common::ProcessName& router,
                                 const routing::DispatchRequest& action,
                                 const transport::HttpRequest& caller_request);

// Returns nullopt if a header is missing or malformed.
std::optional<admission::RequestOffered> ParseOffer(
    const transport::HttpRequest& request);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_OFFERHEADERS_H_
