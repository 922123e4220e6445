#ifndef SHALLOTBEAM_CORE_BALANCING_UPSTREAMTABLE_H_
#define SHALLOTBEAM_CORE_BALANCING_UPSTREAMTABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"

// Table of the known upstreams, built from the entries that they keep in the
// store. An entry that its upstream no longer renews expires there. After the
// store was restored from an older copy, entries from before come back; the
// first entry of an upstream in a new era of the store is ignored where the
// table knows better. Any later one is a fresh write.
namespace shallotbeam::balancing {

// An upstream's entry in the store.
struct UpstreamEntry {
  common::PoolName pool;
  common::Endpoint endpoint;
  common::DataCentreName data_centre;
  int slots = 1;
  bool draining = false;
  // Start time of this incarnation. A restarted upstream keeps its name but has
  // lost its state.
  std::uint64_t started = 0;
  // Time for which the upstream is still cold, as of the writing of the entry.
  common::Duration cold_left{0};
  // Position of the store at which the entry was last written.
  common::StorePosition position;
};

struct UpstreamTableOptions {
  // If an entry expired during an outage of the store and its upstream is
  // alive, the entry returns within this time after the outage; see
  // docs/platform.md, "Expired entries".
  common::Duration expiry_grace = std::chrono::milliseconds(2'200);
};

struct Upstream {
  common::UpstreamName name;
  UpstreamEntry entry;
  // Whether the entry is in the store. If it is not, the entry expired during
  // an outage of the store and the upstream is still used.
  bool listed = true;
  common::TimePoint expired_at;            // valid if not listed
  common::StorePosition removed_position;  // the same
  // Another upstream or incarnation answers at the address, so the entry is out
  // of date.
  bool replaced = false;
  // This incarnation has stated in a response that it leaves. Its entry may say
  // so later, or never.
  bool leaving = false;
  // An operator asks to keep requests away from its data centre.
  bool evacuated = false;
  // It has told this process to send no requests before this time.
  common::TimePoint paused_until;
};

// The last incarnation of an upstream whose entry was removed.
struct RemovedUpstream {
  std::uint64_t started = 0;
  common::StorePosition position;  // of the removal
  common::TimePoint removed_at;
};

struct UpstreamTable {
  UpstreamTableOptions options;
  std::unordered_map<common::UpstreamName, Upstream> upstreams;
  std::unordered_map<common::UpstreamName, RemovedUpstream> removed;
  // Data centres that an operator has evacuated.
  std::set<common::DataCentreName> evacuated;
};

enum class UpstreamChange : std::uint8_t {
  kNone,
  kAdded,
  kUpdated,
  kRestarted,  // same name, new incarnation
  kRemoved,
  kOutdated,  // an entry from before a restore of the store; ignored
};

// Handles an entry that was written to the store. Two upstreams may share an
// address while the entry of the earlier one has not expired yet; the one whose
// entry was written first is then marked as replaced.
UpstreamChange PutEntry(UpstreamTable& table, const common::UpstreamName& name,
                        const UpstreamEntry& entry);

// Handles an entry that was removed from the store at `position`.
// `store_recovered` is the end of the store's last outage, during which entries
// of upstreams that are still alive expire.
UpstreamChange RemoveEntry(UpstreamTable& table,
                           const common::UpstreamName& name,
                           common::StorePosition position,
                           common::TimePoint now,
                           std::optional<common::TimePoint> store_recovered);

// Whether two entries differ at most in their position and in how long the
// upstream is cold.
bool IsSameState(const UpstreamEntry& a, const UpstreamEntry& b);

// Returns the other known upstreams with the same address.
std::vector<common::UpstreamName> UpstreamsAtSameAddress(
    const UpstreamTable& table, const common::UpstreamName& name);

// Marks an upstream at whose address another incarnation answers.
void MarkReplaced(UpstreamTable& table, const common::UpstreamName& name);

// Marks an upstream that states that it leaves, until it starts anew. Returns
// whether that was new.
bool MarkLeaving(UpstreamTable& table, const common::UpstreamName& name);

// Begins or ends the evacuation of a data centre. Returns the upstreams there
// if that was new.
std::vector<common::UpstreamName> SetEvacuated(
    UpstreamTable& table, const common::DataCentreName& data_centre,
    bool evacuated);

// Pauses an upstream that wants no requests from this process before `until`.
void Pause(UpstreamTable& table, const common::UpstreamName& name,
           common::TimePoint until);

// Returns until when the upstream wants no requests; absent if it takes them
// now or is not known.
std::optional<common::TimePoint> PausedUntil(const UpstreamTable& table,
                                             const common::UpstreamName& name,
                                             common::TimePoint now);

// Removes and returns the upstreams whose expired entries did not return.
std::vector<common::UpstreamName> RemoveExpired(UpstreamTable& table,
                                                common::TimePoint now);

// Returns whether new work may be sent to the upstream.
bool AcceptsWork(const Upstream& upstream);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_UPSTREAMTABLE_H_
