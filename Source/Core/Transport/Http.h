#ifndef SHALLOTBEAM_CORE_TRANSPORT_HTTP_H_
#define SHALLOTBEAM_CORE_TRANSPORT_HTTP_H_

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Common/Types.h"

// HTTP/1.1 messages (without TLS) for the server and the client.
namespace shallotbeam::transport {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  boost::beast::http::fields headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  Headers headers;
  std::string body;
};

// Returns the value of a header, or an empty string if the request has none.
std::string HeaderOf(const HttpRequest& request, std::string_view name);
// The same for a response, whose first header of that name counts.
std::string HeaderOf(const HttpResponse& response, std::string_view name);

// Parses an IP address and a port such as "10.1.2.3:8080". Returns nullopt for
// anything else.
std::optional<common::Endpoint> ParseEndpoint(std::string_view text);

}  // namespace shallotbeam::transport

#endif  // SHALLOTBEAM_CORE_TRANSPORT_HTTP_H_
