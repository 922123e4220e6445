#include "Forwarding/Framing.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <iterator>

namespace shallotbeam::forwarding {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "Connection",          "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate",  "TE",         "Trailer",
    "Proxy-Authorization", "Upgrade",    "Transfer-Encoding"};

// A chunk of one byte has five bytes of framing.
constexpr std::size_t kMaxFramingPerBodyByte = 8;

constexpr int kFirstInterimStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

bool IsHopByHop(const Fields& fields, std::string_view name) {
  const auto is_name = [name](std::string_view it) {
    return beast::iequals(ToBeast(it), ToBeast(name));
  };
  if (std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), is_name)) {
    return true;
  }
  const auto connection = fields.find(http::field::connection);
  if (connection == fields.end()) return false;
  return http::token_list(connection->value()).exists(ToBeast(name));
}

std::size_t MemoryOf(const Fields& fields) {
  constexpr std::size_t kFieldBytes = 80;
  std::size_t n = 0;
  for (const auto& it : fields) {
    n += kFieldBytes + it.name_string().size() + it.value().size();
  }
  return n;
}

bool IsAmbiguouslyFramed(const Fields& fields) {
  const auto lengths = fields.count(http::field::content_length);
  const auto codings = fields.count(http::field::transfer_encoding);
  if (lengths + codings > 1) return true;
  if (codings == 0) return false;
  return !beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

ResponseKind KindOfResponse(int status, const Fields& fields) {
  const bool defined = status >= kFirstInterimStatus && status <= kLastStatus;
  if (!defined || status == kSwitchingProtocols ||
      IsAmbiguouslyFramed(fields)) {
    return ResponseKind::kInvalid;
  }
  return status < kFirstFinalStatus ? ResponseKind::kInterim
                                    : ResponseKind::kFinal;
}

bool HasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

bool HasExcessiveFraming(const MessageBytes& bytes, std::size_t head_limit) {
  const std::size_t framing = bytes.consumed - bytes.body;
  // The head and the trailers.
  const std::size_t fixed = 2 * head_limit;
  return framing > fixed + kMaxFramingPerBodyByte * bytes.body;
}

std::optional<int> KeepAliveSeconds(const Fields& fields) {
  const auto it = fields.find(http::field::keep_alive);
  if (it == fields.end()) return std::nullopt;
  // The list refers to the text.
  const std::string text = "; " + std::string(it->value());
  for (const auto& param : http::param_list(text)) {
    if (!beast::iequals(param.first, "timeout")) continue;
    int seconds = 0;
    const auto value = param.second;
    const auto result =
        std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (result.ec == std::errc()) return seconds;
  }
  return std::nullopt;
}

void AppendHeader(std::string_view name, std::string_view value,
                  std::string* head) {
  head->append(name).append(": ").append(value).append("\r\n");
}

void AppendChunk(std::string_view bytes, std::string* out) {
  fmt::format_to(std::back_inserter(*out), "{:x}\r\n", bytes.size());
  out->append(bytes).append("\r\n");
}

std::string_view ReasonPhrase(int status) {
  const auto text =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return {text.data(), text.size()};
}

}  // namespace shallotbeam::forwarding
