#include "Runtime/CallerRequest.h"

#include <openssl/sha.h>

#include <array>
#include <chrono>

#include "Common/Hash.h"
#include "Runtime/HeaderNames.h"
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

namespace shallotbeam::runtime {

namespace {

using common::Reason;
using common::Refusal;
using transport::HeaderOf;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxKeyBytes = 256;

std::string CredentialHash(const transport::HttpRequest& request) {
  const std::string authorization = HeaderOf(request, "Authorization");
  absl::string_view credential = authorization;
  if (!absl::ConsumePrefix(&credential, "Bearer ")) return {};
  return Sha256Hex({credential.data(), credential.size()});
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return absl::BytesToHexString(absl::string_view(
      reinterpret_cast<const char*>(digest.data()), digest.size()));
}

CallerRequest ParseCallerRequest(const transport::HttpRequest& request,
                                 common::RequestId id) {
  const Refusal malformed{.reason = Reason::kBadRequest};
  const bool ticket = request.target == "/v1/tickets";
  if (!ticket && request.target != "/v1/requests") return malformed;
  if (request.method != "POST") return malformed;
  const common::WorkspaceName workspace(HeaderOf(request, kWorkspaceHeader));
  const common::KindName kind(HeaderOf(request, kKindHeader));
  if (workspace.empty() || workspace.value.size() > kMaxNameBytes) {
    return Refusal{.reason = Reason::kUnknownWorkspace};
  }
  if (kind.empty() || kind.value.size() > kMaxNameBytes) {
    return Refusal{.reason = Reason::kUnknownKind};
  }
  if (ticket) {
    return routing::TicketRequested{
        .id = id,
        .workspace = workspace,
        .kind = kind,
        .credential_sha256 = CredentialHash(request)};
  }
  routing::RequestArrived arrived{
      .id = id,
      .workspace = workspace,
      .kind = kind,
      .credential_sha256 = CredentialHash(request),
      .body_bytes = request.body.size(),
      .fingerprint = common::FingerprintOf(workspace, kind, request.body),
      .idempotency_key = HeaderOf(request, kIdempotencyKeyHeader)};
  if (arrived.idempotency_key.size() > kMaxKeyBytes) return malformed;
  const std::string deadline = HeaderOf(request, kDeadlineHeader);
  if (deadline.empty()) return arrived;
  std::int64_t ms = 0;
  if (!absl::SimpleAtoi(deadline, &ms) || ms <= 0) return malformed;
  // One day exceeds every configured limit, and the cap prevents an overflow
  // when the time is added to the clock.
  constexpr std::int64_t kMaxDeadlineMs = 86'400'000;
  arrived.timeout = std::chrono::milliseconds(std::min(ms, kMaxDeadlineMs));
  return arrived;
}

}  // namespace shallotbeam::runtime
