#ifndef SHALLOTBEAM_CORE_COMMON_VERDICT_H_
#define SHALLOTBEAM_CORE_COMMON_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Clock.h"

namespace shallotbeam::common {

// Whether a request may have run at an upstream.
enum class Verdict : std::uint8_t {
  kNotRun = 0,      // it did not run and will not
  kMayHaveRun = 1,  // nobody who could tell has answered
  kCompleted = 2,   // it ran and its whole answer is at hand
};

// Machine-readable cause of a refusal or failure.
enum class Reason : std::uint8_t {
  kNone = 0,
  kNoConfiguration,
  kBadRequest,
  kUnknownWorkspace,
  kUnknownKind,
  kBadCredential,
  kMissingKey,
  kBadTicket,
  kBodyTooLarge,
  kQueueFull,
  kDeadlineTooShort,
  kDeadlineExceeded,
  kNoUpstream,
  kBusy,
  kDraining,
  kStoreUnavailable,
  kBoundElsewhere,
  kKeyInProgress,
  kKeyReused,
  kKeyTableFull,
  kResultExpired,
  kKeyRevoked,
  kSuspectIsolated,
  kCrashesUpstreams,
  kUpstreamFailed,
  kUpstreamCrashed,
  kUpstreamRefused,
  kConnectionLost,
  kCallerDisconnected,
};

// The final answer to a request that the system does not serve.
struct Refusal {
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  // When a retry is worth it; absent if a retry doesn't help.
  std::optional<Duration> retry_after;
};

// Wire names, for example "not-run" and "queue_full".
std::string_view ToString(Verdict verdict);
std::string_view ToString(Reason reason);
std::optional<Verdict> ParseVerdict(std::string_view text);
std::optional<Reason> ParseReason(std::string_view text);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_VERDICT_H_
