#include "Runtime/Refusals.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "Runtime/HeaderNames.h"
#include "absl/strings/numbers.h"

namespace shallotbeam::runtime {

namespace {

constexpr int kUnavailable = 503;

using common::Reason;
using common::Refusal;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::string_view MessageOf(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "no reason was given";
    case Reason::kNoConfiguration:
      return "this process has not received a configuration yet";
    case Reason::kBadRequest:
      return "the request is malformed";
    case Reason::kUnknownWorkspace:
      return "the workspace does not exist";
    case Reason::kUnknownKind:
      return "the workspace has no such kind of work";
    case Reason::kBadCredential:
      return "the credential does not match the workspace";
    case Reason::kMissingKey:
      return "a request that may not be repeated needs an Idempotency-Key";
    case Reason::kBadTicket:
      return "the Idempotency-Key is a malformed ticket";
    case Reason::kBodyTooLarge:
      return "the body is larger than the kind of work allows";
    case Reason::kQueueFull:
      return "the workspace's queue for this kind of work is full";
    case Reason::kDeadlineTooShort:
      return "the expected wait exceeds the deadline";
    case Reason::kDeadlineExceeded:
      return "the deadline has passed";
    case Reason::kNoUpstream:
      return "no upstream is available";
    case Reason::kBusy:
      return "no slot is free";
    case Reason::kDraining:
      return "the process is shutting down";
    case Reason::kStoreUnavailable:
      return "the key can't be checked while the platform's store is down; "
             "use a ticket";
    case Reason::kBoundElsewhere:
      return "the key belongs to a process that is gone";
    case Reason::kKeyInProgress:
      return "a request with this key is in progress";
    case Reason::kKeyReused:
      return "the Idempotency-Key was used before for a request of another "
             "kind or with another body";
    case Reason::kKeyTableFull:
      return "no room to remember another key";
    case Reason::kResultExpired:
      return "the request ran; its result is no longer kept";
    case Reason::kKeyRevoked:
      return "the key was refused before it ran";
    case Reason::kSuspectIsolated:
      return "the request may crash upstreams and waits to run alone";
    case Reason::kCrashesUpstreams:
      return "the request crashed upstreams and is refused for a while";
    case Reason::kUpstreamFailed:
      return "the upstream failed";
    case Reason::kUpstreamCrashed:
      return "the upstream crashed while the request ran";
    case Reason::kUpstreamRefused:
      return "the upstream refused the request";
    case Reason::kConnectionLost:
      return "the connection to the upstream's agent was lost";
    case Reason::kCallerDisconnected:
      return "the caller closed the connection";
  }
  return "unknown reason";
}

nlohmann::json ToJson(const Refusal& refusal) {
  nlohmann::json body = {{"verdict", common::ToString(refusal.verdict)},
                         {"reason", common::ToString(refusal.reason)},
                         {"message", MessageOf(refusal.reason)}};
  if (refusal.retry_after) {
    body["retry_after_ms"] =
        duration_cast<milliseconds>(*refusal.retry_after).count();
  }
  return body;
}

}  // namespace

int StatusOf(const Refusal& refusal) {
  switch (refusal.reason) {
    case Reason::kBadRequest:
    case Reason::kMissingKey:
    case Reason::kBadTicket:
      return 400;
    case Reason::kBadCredential:
      return 401;
    case Reason::kUnknownWorkspace:
    case Reason::kUnknownKind:
      return 404;
    case Reason::kKeyInProgress:
    case Reason::kBoundElsewhere:
    case Reason::kResultExpired:
    case Reason::kKeyRevoked:
      return 409;
    case Reason::kBodyTooLarge:
      return 413;
    case Reason::kKeyReused:
    case Reason::kCrashesUpstreams:
      return 422;
    case Reason::kQueueFull:
    case Reason::kDeadlineTooShort:
      return 429;
    case Reason::kUpstreamFailed:
    case Reason::kUpstreamCrashed:
    case Reason::kConnectionLost:
      return 502;
    case Reason::kDeadlineExceeded:
      return 504;
    default:
      return 503;
  }
}

transport::HttpResponse ToResponse(const Refusal& refusal) {
  transport::HttpResponse response{.status = StatusOf(refusal)};
  response.headers = {{"Content-Type", "application/json"},
                      {std::string(kVerdictHeader),
                       std::string(common::ToString(refusal.verdict))},
                      {std::string(kReasonHeader),
                       std::string(common::ToString(refusal.reason))}};
  if (refusal.retry_after) {
    const auto ms = duration_cast<milliseconds>(*refusal.retry_after);
    // Retry-After has whole seconds; rounded up, because a lower value would
    // make callers retry too early.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(ms);
    response.headers.emplace_back("Retry-After",
                                  std::to_string(seconds.count()));
    response.headers.emplace_back(std::string(kRetryAfterHeader),
                                  std::to_string(ms.count()));
  }
  response.body = ToJson(refusal).dump() + "\n";
  return response;
}

transport::HttpResponse ToMalformedResponse(int status) {
  if (status == kUnavailable) {
    return ToResponse(
        {.reason = Reason::kBusy, .retry_after = std::chrono::seconds(1)});
  }
  const Reason reason =
      status == 413 ? Reason::kBodyTooLarge : Reason::kBadRequest;
  transport::HttpResponse response = ToResponse({.reason = reason});
  response.status = status;
  return response;
}

std::string ToErrorEvent(const Refusal& refusal) {
  return "event: error\ndata: " + ToJson(refusal).dump() + "\n\n";
}

std::optional<Refusal> ParseRefusal(const boost::beast::http::fields& headers) {
  const auto value = [&](std::string_view name) {
    const auto it =
        headers.find(boost::beast::string_view(name.data(), name.size()));
    if (it == headers.end()) return std::string_view();
    return std::string_view(it->value().data(), it->value().size());
  };
  const auto verdict = common::ParseVerdict(value(kVerdictHeader));
  if (verdict == common::Verdict::kCompleted) return std::nullopt;
  // Without a known verdict it is uncertain whether the request ran.
  Refusal refusal{
      .verdict = verdict.value_or(common::Verdict::kMayHaveRun),
      .reason =
          common::ParseReason(value(kReasonHeader)).value_or(Reason::kNone)};
  const std::string_view retry_after = value(kRetryAfterHeader);
  std::int64_t ms = 0;
  if (absl::SimpleAtoi(
          absl::string_view(retry_after.data(), retry_after.size()), &ms)) {
    refusal.retry_after = milliseconds(ms);
  }
  return refusal;
}

}  // namespace shallotbeam::runtime
