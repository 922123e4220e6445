#ifndef SHALLOTBEAM_CORE_RUNTIME_REFUSALS_H_
#define SHALLOTBEAM_CORE_RUNTIME_REFUSALS_H_

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>

#include "Common/Verdict.h"
#include "Transport/Http.h"

// HTTP encoding of refusals.
namespace shallotbeam::runtime {

int StatusOf(const common::Refusal& refusal);

// Response with verdict and reason in headers and in a JSON body.
transport::HttpResponse ToResponse(const common::Refusal& refusal);

// Response with the given HTTP status to a request that could not be parsed, or
// was not received because of a lack of memory (status 503).
transport::HttpResponse ToMalformedResponse(int status);

// Final server-sent event of a truncated stream.
std::string ToErrorEvent(const common::Refusal& refusal);

// Returns the refusal in a response of an agent, or nullopt if the request was
// served.
std::optional<common::Refusal> ParseRefusal(
    const boost::beast::http::fields& headers);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_REFUSALS_H_
