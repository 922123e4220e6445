#ifndef SHALLOTBEAM_CORE_SUSPECTS_SUSPECTLIST_H_
#define SHALLOTBEAM_CORE_SUSPECTS_SUSPECTLIST_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Protocol/Messages.h"

// Requests that were in flight when an upstream crashed.
namespace shallotbeam::suspects {

struct SuspectOptions {
  // How long a proven fingerprint is refused.
  common::Duration poison_ban = std::chrono::minutes(10);
  // How long a suspect is remembered without a further crash.
  common::Duration memory = std::chrono::minutes(10);
};

struct Suspect {
  int crashes = 0;
  common::TimePoint last_crash;
  common::TimePoint banned_until;
  common::TimePoint cleared;  // reports of earlier crashes are ignored
  // Agents whose upstreams crashed with it since it was last cleared.
  std::set<common::ProcessName> crashed_at;
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
// rows to tell peers.
protocol::Suspects NoteCrash(SuspectList& list,
                             const std::vector<common::Fingerprint>& in_flight,
                             common::TimePoint now,
                             const common::ProcessName& agent = {});

// A suspect that completed is cleared. Does not lift a ban. Returns the rows to
// tell peers; none if it was no suspect.
protocol::Suspects NoteCompleted(SuspectList& list,
                                 common::Fingerprint fingerprint,
                                 common::TimePoint now);

// Agents to keep the suspect away from; empty if there are none.
const std::set<common::ProcessName>& CrashedAt(const SuspectList& list,
                                               common::Fingerprint fingerprint);

// Takes over what a peer knows; returns true if that was news.
bool Merge(SuspectList& list, const protocol::Suspects& suspects,
           common::TimePoint now);

// What to pass on of rows that were news; absent if all processes have had
// them. Rows do not count the time that they are on their way, so that a crash
// and a clearing that cross each other would be news again at each process in
// turn.
std::optional<protocol::Suspects> PassOn(const protocol::Suspects& suspects);

// Everything worth telling a peer that starts empty.
protocol::Suspects Snapshot(const SuspectList& list, common::TimePoint now);

// Forgets entries that are too old.
void Expire(SuspectList& list, common::TimePoint now);

}  // namespace shallotbeam::suspects

#endif  // SHALLOTBEAM_CORE_SUSPECTS_SUSPECTLIST_H_
