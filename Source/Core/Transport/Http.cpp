#include "Transport/Http.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace shallotbeam::transport {

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  const auto it =
      request.headers.find(boost::beast::string_view(name.data(), name.size()));
  if (it == request.headers.end()) return {};
  return std::string(it->value());
}

std::string HeaderOf(const HttpResponse& response, std::string_view name) {
  for (const auto& [key, value] : response.headers) {
    if (boost::beast::iequals(key, {name.data(), name.size()})) return value;
  }
  return {};
}

std::optional<common::Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  common::Endpoint endpoint;
  endpoint.address = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const auto [end, parse_error] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (parse_error != std::errc() || end != port.data() + port.size()) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address(endpoint.address, ec);
  if (ec) return std::nullopt;
  return endpoint;
}

}  // namespace shallotbeam::transport
