#ifndef SHALLOTBEAM_CORE_SUSPECTS_SUSPECTLIST_H_
#define SHALLOTBEAM_CORE_SUSPECTS_SUSPECTLIST_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Protocol/Messages.h"

// Requests that were in flight when an upstream crashed (suspects), by
// fingerprint. A suspect that is proven to crash upstreams is banned for a
// while.
namespace shallotbeam::suspects {

struct SuspectOptions {
  // How long a request that is proven to crash upstreams is refused.
  common::Duration ban_duration = std::chrono::minutes(10);
  // How long a suspect is remembered without a further crash.
  common::Duration suspect_retention = std::chrono::minutes(10);
};

struct Suspect {
  int crashes = 0;
  common::TimePoint last_crash;
  common::TimePoint banned_until;
  common::TimePoint cleared_at;  // reports of earlier crashes are ignored
  // Agents whose upstreams crashed while the suspect was in flight, since it
  // was last cleared.
  std::set<common::ProcessName> crashed_agents;
};

struct SuspectList {
  SuspectOptions options;
  std::unordered_map<common::Fingerprint, Suspect> suspects;
};

bool IsSuspect(const SuspectList& list, common::Fingerprint fingerprint,
               common::TimePoint now);
bool IsBanned(const SuspectList& list, common::Fingerprint fingerprint,
              common::TimePoint now);

// Records a crash of the upstream of `agent` with `in_flight` requests. If
// exactly one of them was a suspect already, that one is banned. Returns the
// rows to send to peers.
protocol::Suspects RecordCrash(
    SuspectList& list, const std::vector<common::Fingerprint>& in_flight,
    common::TimePoint now, const common::ProcessName& agent = {});

// Clears a suspect that completed. Does not lift a ban. Returns the rows to
// send to peers; none if the request was not a suspect.
protocol::Suspects RecordCompletion(SuspectList& list,
                                    common::Fingerprint fingerprint,
                                    common::TimePoint now);

// Agents to which the suspect should not be sent, because their upstreams
// crashed while it was in flight.
const std::set<common::ProcessName>& CrashedAgents(
    const SuspectList& list, common::Fingerprint fingerprint);

// Merges the rows of a peer. Returns true if they changed the list.
bool Merge(SuspectList& list, const protocol::Suspects& suspects,
           common::TimePoint now);

// Returns the message to forward to peers after rows changed the list; absent
// at the hop limit, when all processes have received the rows. The limit is
// needed because the age of a row does not include its time in transit: a crash
// and a clearing that cross each other would otherwise change the list of each
// process in turn, without end.
std::optional<protocol::Suspects> RowsToForward(
    const protocol::Suspects& suspects);

// All rows that a peer with an empty list needs.
protocol::Suspects Snapshot(const SuspectList& list, common::TimePoint now);

// Removes expired entries.
void Expire(SuspectList& list, common::TimePoint now);

}  // namespace shallotbeam::suspects

#endif  // SHALLOTBEAM_CORE_SUSPECTS_SUSPECTLIST_H_
