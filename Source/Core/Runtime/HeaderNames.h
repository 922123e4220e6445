#ifndef SHALLOTBEAM_CORE_RUNTIME_HEADERNAMES_H_
#define SHALLOTBEAM_CORE_RUNTIME_HEADERNAMES_H_

#include <string_view>

// HTTP header names. docs/interface.md describes those that callers use.
namespace shallotbeam::runtime {

inline constexpr std::string_view kWorkspaceHeader = "Shallotbeam-Workspace";
inline constexpr std::string_view kKindHeader = "Shallotbeam-Kind";
inline constexpr std::string_view kDeadlineHeader = "Shallotbeam-Deadline-Ms";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kVerdictHeader = "Shallotbeam-Verdict";
inline constexpr std::string_view kReasonHeader = "Shallotbeam-Reason";
inline constexpr std::string_view kRequestIdHeader = "Shallotbeam-Request-Id";

// Used only between routers and agents.
inline constexpr std::string_view kAttemptHeader = "Shallotbeam-Attempt";
inline constexpr std::string_view kRouterHeader = "Shallotbeam-Router";
inline constexpr std::string_view kGrantHeader = "Shallotbeam-Grant";
inline constexpr std::string_view kBoundToHeader = "Shallotbeam-Bound-To";
inline constexpr std::string_view kRevisionHeader =
    "Shallotbeam-Binding-Revision";
inline constexpr std::string_view kSuspectHeader = "Shallotbeam-Suspect";
inline constexpr std::string_view kTimeLeftHeader = "Shallotbeam-Time-Left-Ms";
inline constexpr std::string_view kRetryAfterHeader =
    "Shallotbeam-Retry-After-Ms";

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_HEADERNAMES_H_
