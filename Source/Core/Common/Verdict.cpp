#include "Common/Verdict.h"

#include <array>
#include <utility>

namespace shallotbeam::common {

namespace {

constexpr std::array<std::pair<Verdict, std::string_view>, 3> kVerdictNames = {{
    {Verdict::kNotRun, "not-run"},
    {Verdict::kMayHaveRun, "may-have-run"},
    {Verdict::kCompleted, "completed"},
}};

constexpr std::array<std::pair<Reason, std::string_view>, 29> kReasonNames = {{
    {Reason::kNone, "none"},
    {Reason::kNoConfiguration, "no_configuration"},
    {Reason::kBadRequest, "bad_request"},
    {Reason::kUnknownWorkspace, "unknown_workspace"},
    {Reason::kUnknownKind, "unknown_kind"},
    {Reason::kBadCredential, "bad_credential"},
    {Reason::kMissingKey, "missing_key"},
    {Reason::kBadTicket, "bad_ticket"},
    {Reason::kBodyTooLarge, "body_too_large"},
    {Reason::kQueueFull, "queue_full"},
    {Reason::kDeadlineTooShort, "deadline_too_short"},
    {Reason::kDeadlineExceeded, "deadline_exceeded"},
    {Reason::kNoUpstream, "no_upstream"},
    {Reason::kBusy, "busy"},
    {Reason::kDraining, "draining"},
    {Reason::kStoreUnavailable, "store_unavailable"},
    {Reason::kBoundElsewhere, "bound_elsewhere"},
    {Reason::kKeyInProgress, "key_in_progress"},
    {Reason::kKeyReused, "key_reused"},
    {Reason::kKeyTableFull, "key_table_full"},
    {Reason::kResultExpired, "result_forgotten"},
    {Reason::kKeyRevoked, "barred"},
    {Reason::kSuspectIsolated, "suspect_isolated"},
    {Reason::kCrashesUpstreams, "crashes_upstreams"},
    {Reason::kUpstreamFailed, "upstream_failed"},
    {Reason::kUpstreamCrashed, "upstream_crashed"},
    {Reason::kUpstreamRefused, "upstream_refused"},
    {Reason::kConnectionLost, "connection_lost"},
    {Reason::kCallerDisconnected, "caller_gone"},
}};

template <typename Enum, std::size_t N>
std::string_view NameOf(
    const std::array<std::pair<Enum, std::string_view>, N>& names, Enum value) {
  for (const auto& [candidate, name] : names) {
    if (candidate == value) return name;
  }
  return "unknown";
}

template <typename Enum, std::size_t N>
std::optional<Enum> ValueOf(
    const std::array<std::pair<Enum, std::string_view>, N>& names,
    std::string_view text) {
  for (const auto& [value, name] : names) {
    if (name == text) return value;
  }
  return std::nullopt;
}

}  // namespace

std::string_view ToString(Verdict verdict) {
  return NameOf(kVerdictNames, verdict);
}

std::string_view ToString(Reason reason) {
  return NameOf(kReasonNames, reason);
}

std::optional<Verdict> ParseVerdict(std::string_view text) {
  return ValueOf(kVerdictNames, text);
}

std::optional<Reason> ParseReason(std::string_view text) {
  return ValueOf(kReasonNames, text);
}

}  // namespace shallotbeam::common
