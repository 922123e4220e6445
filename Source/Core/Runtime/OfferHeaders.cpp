#include "Runtime/OfferHeaders.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <string>

#include "Common/Hash.h"
#include "Runtime/HeaderNames.h"

namespace shallotbeam::runtime {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using transport::HeaderOf;

// Reads decimal or hexadecimal header values and records whether one was
// malformed.
class NumberReader {
 public:
  explicit NumberReader(const transport::HttpRequest& request)
      : request_(request) {}

  std::uint64_t Read(std::string_view name, int base = 10) {
    return Parse(HeaderOf(request_, name), base);
  }

  std::uint64_t Parse(std::string_view text, int base) {
    std::uint64_t value = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (ec != std::errc() || end != text.data() + text.size()) ok_ = false;
    return value;
  }

  bool Ok() const { return ok_; }

 private:
  const transport::HttpRequest& request_;
  bool ok_ = true;
};

void Set(transport::HttpRequest& request, std::string_view name,
         const std::string& value) {
  request.headers.set(boost::beast::string_view(name.data(), name.size()),
                      value);
}

}  // namespace

transport::HttpRequest SendOffer(const common::ProcessName& router,
                                 const routing::DispatchRequest& action,
                                 const transport::HttpRequest& caller_request) {
  transport::HttpRequest offer{.method = "POST", .target = "/v1/run"};
  for (const std::string_view name :
       {std::string_view("Content-Type"), kWorkspaceHeader, kKindHeader}) {
    const std::string value = HeaderOf(caller_request, name);
    if (!value.empty()) Set(offer, name, value);
  }
  const bool keyed = action.bound_to != common::Incarnation::kNone;
  if (keyed) {
    Set(offer, kIdempotencyKeyHeader,
        HeaderOf(caller_request, kIdempotencyKeyHeader));
  }
  Set(offer, kRequestIdHeader, common::ToString(action.id));
  Set(offer, kAttemptHeader, std::to_string(action.attempt));
  Set(offer, kRouterHeader, router.value);
  Set(offer, kGrantHeader, std::to_string(common::ToNumber(action.grant)));
  Set(offer, kBoundToHeader, common::ToString(action.bound_to));
  Set(offer, kRevisionHeader, std::to_string(action.binding_revision));
  Set(offer, kSuspectHeader, action.suspect ? "1" : "0");
  Set(offer, kTimeLeftHeader,
      std::to_string(duration_cast<milliseconds>(action.time_left).count()));
  offer.body = caller_request.body;
  return offer;
}

std::optional<admission::RequestOffered> ParseOffer(
    const transport::HttpRequest& request) {
  NumberReader reader(request);
  const std::string id = HeaderOf(request, kRequestIdHeader);
  const std::size_t dash = id.find('-');
  if (dash == std::string::npos) return std::nullopt;

  admission::RequestOffered offer;
  offer.id.request.router =
      static_cast<common::Incarnation>(reader.Parse(id.substr(0, dash), 16));
  offer.id.request.sequence = reader.Parse(id.substr(dash + 1), 10);
  offer.id.attempt = static_cast<std::uint32_t>(reader.Read(kAttemptHeader));
  offer.router = common::ProcessName(HeaderOf(request, kRouterHeader));
  offer.workspace = common::WorkspaceName(HeaderOf(request, kWorkspaceHeader));
  offer.kind = common::KindName(HeaderOf(request, kKindHeader));
  offer.grant = static_cast<common::GrantId>(reader.Read(kGrantHeader));
  offer.fingerprint =
      common::FingerprintOf(offer.workspace, offer.kind, request.body);
  offer.suspect = reader.Read(kSuspectHeader) != 0;
  offer.time_left = milliseconds(reader.Read(kTimeLeftHeader));
  offer.key = HeaderOf(request, kIdempotencyKeyHeader);
  offer.bound_to =
      static_cast<common::Incarnation>(reader.Read(kBoundToHeader, 16));
  offer.binding_revision = reader.Read(kRevisionHeader);
  if (!reader.Ok()) return std::nullopt;
  return offer;
}

}  // namespace shallotbeam::runtime
