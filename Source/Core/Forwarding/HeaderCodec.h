#ifndef SHALLOTBEAM_CORE_FORWARDING_HEADERCODEC_H_
#define SHALLOTBEAM_CORE_FORWARDING_HEADERCODEC_H_

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Clock.h"
#include "Common/Prompt.h"
#include "Common/Types.h"

// Content of request and response headers, independent of the header names of a
// deployment.
namespace shallotbeam::forwarding {

using Fields = boost::beast::http::fields;

struct RequestMetadata {
  std::string request_id;  // empty if the caller sent none
  // Time left when the caller sent the request.
  std::optional<common::Duration> deadline;
  std::string credential;  // empty if none
  std::optional<common::Prompt> prompt;
  std::string last_event_id;  // resume point of a stream; or empty
};

// What an upstream states of itself in a response, whatever became of the
// request.
struct UpstreamStatements {
  // Requests a second that it takes from all hosts together.
  std::optional<double> rate_limit;
  bool leaving = false;
  // It wants no requests from this process for so long.
  std::optional<common::Duration> retry_after;

  friend bool operator==(const UpstreamStatements&,
                         const UpstreamStatements&) = default;
};

struct ResponseMetadata {
  std::string request_id;  // empty if the upstream did not echo it
  bool not_run = false;    // the upstream states that the request did not run
  // Another incarnation now uses the address and rejects all requests that are
  // meant for this one.
  bool other_incarnation = false;
  bool has_digest = false;  // the response has the upstream's digest
  UpstreamStatements stated;
};

// Values of the headers that a gateway adds to a forwarded request.
struct UpstreamHeaders {
  common::Duration time_left{0};
  std::string_view upstream_id;    // only this incarnation may run the request
  std::string_view workspace;      // empty for callers without credential
  std::string_view last_event_id;  // replaces the caller's value unless empty
  // Address of an upstream that may cache the beginning of the prompt; or
  // empty.
  std::string_view cache_source;
};

// Decodes and encodes the headers of a deployment. Consists of plain function
// pointers, so that the codec of a deployment is a constant.
struct HeaderCodec {
  RequestMetadata (*decode_request)(const Fields& fields);
  ResponseMetadata (*decode_response)(int status, const Fields& fields);
  // False for headers that the gateway sets itself or must not forward.
  bool (*is_forwarded)(std::string_view name);
  // Appends complete header lines.
  void (*append_upstream_headers)(const UpstreamHeaders& headers,
                                  std::string* head);
  // Header that carries the request id in the gateway's own responses.
  std::string_view request_id_header;
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_HEADERCODEC_H_
