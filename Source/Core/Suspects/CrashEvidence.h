#ifndef SHALLOTBEAM_CORE_SUSPECTS_CRASHEVIDENCE_H_
#define SHALLOTBEAM_CORE_SUSPECTS_CRASHEVIDENCE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Protocol/SchedulingMessages.h"

// What gateways know of requests that crash upstreams. Each gateway sees only
// its own requests, so that the processes exchange rows. Rows merge in any
// order and with the same result.
//
// A trait of a request is evidence against it if the request had been sent to
// an upstream, had no response yet, and the upstream crashed. One crash makes
// suspects of all requests that waited there. Further crashes count only if the
// request was sent after the previous one, because a host that loses power
// crashes many upstreams at the same time. A response to any request with the
// trait clears it.
namespace shallotbeam::suspects {

struct CrashEvidenceOptions {
  // Number of crashes after which requests with a trait are refused. More are
  // needed for a part of a prompt, as sound requests share it, and still more
  // for one that has been answered before: the prompts that crash upstreams may
  // all share it with the part that does.
  int request_crashes = 2;
  int new_part_crashes = 3;
  int known_part_crashes = 6;
  // How long they are refused after the last crash. The crashes are remembered
  // for longer, so that one more is enough afterwards.
  common::Duration ban_duration = std::chrono::seconds(60);
  common::Duration retention = std::chrono::minutes(10);
  std::size_t max_rows = 10'000;
  // Parts of prompts that are remembered as answered.
  std::size_t max_answered = 10'000;
};

struct CrashSighting {
  common::TimePoint crashed;
  common::TimePoint sent;  // when the latest request with the trait was sent
};

struct CrashRow {
  protocol::TraitKind kind = protocol::TraitKind::kRequest;
  std::unordered_map<protocol::CrashId, CrashSighting> crashes;
  // When a request with the trait was last answered. Crashes up to this time
  // don't count.
  std::optional<common::TimePoint> cleared;
};

struct CrashEvidence {
  CrashEvidenceOptions options;
  std::unordered_map<common::Fingerprint, CrashRow> rows;
  // When parts of prompts were last answered by way of this process.
  std::unordered_map<common::Fingerprint, common::TimePoint> answered;
};

// A request that had no response when its upstream crashed.
struct CrashedRequest {
  std::vector<protocol::Trait> traits;
  common::TimePoint sent;
};

// The id of the crash of one incarnation of an upstream.
protocol::CrashId CrashIdOf(const common::UpstreamName& upstream,
                            std::uint64_t started);

using Fingerprints = std::vector<common::Fingerprint>;

// Returns the fingerprints of the rows that changed.
Fingerprints RecordCrash(CrashEvidence& evidence, protocol::CrashId crash,
                         common::TimePoint crashed,
                         const std::vector<CrashedRequest>& requests);

// Records the response to a request. Returns the same.
Fingerprints RecordResponse(CrashEvidence& evidence, common::TimePoint now,
                            const std::vector<protocol::Trait>& traits);

struct MergeResult {
  Fingerprints changed;
  // Those to which this process has added an earlier answer.
  Fingerprints answered_before;
};

// Merges the rows of another process.
MergeResult Merge(CrashEvidence& evidence, common::TimePoint now,
                  const std::vector<protocol::CrashRow>& rows);

// The trait by which a request is refused, if any.
std::optional<protocol::Trait> FindBannedTrait(
    const CrashEvidence& evidence, common::TimePoint now,
    const std::vector<protocol::Trait>& traits);

// The rows of the given fingerprints, with their ages at `now`.
std::vector<protocol::CrashRow> RowsOf(const CrashEvidence& evidence,
                                       common::TimePoint now,
                                       const Fingerprints& fingerprints);

// All fingerprints that are suspected, for a process that knows of none.
Fingerprints Suspects(const CrashEvidence& evidence);

// Removes what is too old, and the oldest entries if there are too many.
void Expire(CrashEvidence& evidence, common::TimePoint now);

// Rows that are to be sent to other processes. Messages may be lost, so that
// each row is sent several times.
struct CrashRowQueue {
  int sends = 3;  // of each row
  common::Duration interval = std::chrono::milliseconds(300);
  std::size_t max_rows = 32;  // in one message

  std::unordered_map<common::Fingerprint, int> sends_left;
  common::TimePoint next;
};

void Enqueue(CrashRowQueue& queue, common::TimePoint now,
             const Fingerprints& fingerprints);

// Returns the rows to send now.
std::vector<protocol::CrashRow> TakeDueRows(CrashRowQueue& queue,
                                            const CrashEvidence& evidence,
                                            common::TimePoint now);

}  // namespace shallotbeam::suspects

#endif  // SHALLOTBEAM_CORE_SUSPECTS_CRASHEVIDENCE_H_
