#ifndef SHALLOTBEAM_CORE_FORWARDING_DIALECT_H_
#define SHALLOTBEAM_CORE_FORWARDING_DIALECT_H_

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Clock.h"
#include "Common/Prompt.h"
#include "Common/Types.h"

// What headers say, apart from how a deployment names them.
namespace shallotbeam::forwarding {

using Fields = boost::beast::http::fields;

struct RequestFacts {
  std::string request_id;                    // empty if the caller sent none
  std::optional<common::Duration> deadline;  // from the caller's sending
  std::string credential;                    // empty if none
  std::optional<common::Prompt> prompt;
  std::string last_event_id;  // a stream goes on after this event; or empty
};

struct ResponseFacts {
  std::string request_id;  // empty if the upstream did not repeat it
  bool not_run = false;    // the upstream states that the request did not run
  // The address belongs to another incarnation, so that all requests for this
  // one are refused there.
  bool other_incarnation = false;
  bool sealed = false;  // bears the upstream's digest
};

// What a gateway tells an upstream besides the caller's headers.
struct ForwardStamp {
  common::Duration time_left{0};
  std::string_view upstream_id;    // only this incarnation may run the request
  std::string_view workspace;      // empty for callers without credential
  std::string_view last_event_id;  // replaces the caller's, unless empty
  // Address of an upstream whose cache may hold the front of the prompt; or
  // empty.
  std::string_view cache_source;
};

// How a deployment writes these facts; plain functions, so that a deployment is
// one constant.
struct Dialect {
  RequestFacts (*decode_request)(const Fields& fields);
  ResponseFacts (*decode_response)(int status, const Fields& fields);
  // False for headers that the gateway sets or withholds.
  bool (*is_forwarded)(std::string_view name);
  // Appends complete header lines.
  void (*append_stamp)(const ForwardStamp& stamp, std::string* head);
  // Header in which the gateway's own answers repeat the id of the request.
  std::string_view request_id_name;
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_DIALECT_H_
