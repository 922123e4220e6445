#ifndef SHALLOTBEAM_CORE_COMMON_VERDICT_H_
#define SHALLOTBEAM_CORE_COMMON_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Clock.h"

namespace shallotbeam::common {

// Whether a request has run at an upstream, as far as is known.
enum class Verdict : std::uint8_t {
  kNotRun = 0,      // it did not run and will not
  kMayHaveRun = 1,  // no process that knows the outcome has answered
  kCompleted = 2,   // it ran and its complete response is available
};

// Machine-readable cause of a rejection or failure.
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

// Final response to a request that isn't served.
struct Refusal {
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  // Time after which a retry may succeed; absent if a retry doesn't help.
  std::optional<Duration> retry_after;
};

// Names used on the wire, for example "not-run" and "queue_full".
std::string_view ToString(Verdict verdict);
std::string_view ToString(Reason reason);
std::optional<Verdict> ParseVerdict(std::string_view text);
std::optional<Reason> ParseReason(std::string_view text);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_VERDICT_H_
