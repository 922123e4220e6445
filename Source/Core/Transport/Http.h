#ifndef SHALLOTBEAM_CORE_TRANSPORT_HTTP_H_
#define SHALLOTBEAM_CORE_TRANSPORT_HTTP_H_

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Common/Types.h"

// Plain HTTP/1.1 messages of the server and the client.
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

// Value of a header, or empty.
std::string HeaderOf(const HttpRequest& request, std::string_view name);

// Parses "10.1.2.3:8080". Absent unless it is an IP address and a port.
std::optional<common::Endpoint> ParseEndpoint(std::string_view text);

}  // namespace shallotbeam::transport

#endif  // SHALLOTBEAM_CORE_TRANSPORT_HTTP_H_
