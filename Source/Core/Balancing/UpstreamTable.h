#ifndef SHALLOTBEAM_CORE_BALANCING_UPSTREAMTABLE_H_
#define SHALLOTBEAM_CORE_BALANCING_UPSTREAMTABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"

// Which upstreams there are, from the entries that they keep in the store.
namespace shallotbeam::balancing {

// An upstream as listed.
struct UpstreamEntry {
  common::PoolName pool;
  common::Endpoint endpoint;
  common::DataCentreName data_centre;
  int slots = 1;
  bool draining = false;
  // Start of this incarnation; the same name may come back empty.
  std::uint64_t started = 0;
  // Of the store, when the entry was last written.
  std::uint64_t revision = 0;
};

struct UpstreamTableOptions {
  // An entry that lapsed while the store was away is back within this time of
  // its return if the upstream lives; docs/platform.md, "Lapsed entries".
  common::Duration lapse_grace = std::chrono::milliseconds(2'200);
};

struct Upstream {
  common::UpstreamName name;
  UpstreamEntry entry;
  bool listed = true;        // false: lapsed, and still trusted
  common::TimePoint lapsed;  // if not listed
  // Its address answers for another upstream or incarnation, so that the entry
  // is out of date.
  bool replaced = false;
};

struct UpstreamTable {
  UpstreamTableOptions options;
  std::unordered_map<common::UpstreamName, Upstream> upstreams;
};

enum class UpstreamChange : std::uint8_t {
  kNone,
  kAdded,
  kUpdated,
  kRestarted,  // same name, a new incarnation
  kRemoved,
};

// An entry was written. Of two upstreams at one address, which an entry that
// has not expired yet may make, the one whose entry was written first is
// replaced.
UpstreamChange PutEntry(UpstreamTable& table, const common::UpstreamName& name,
                        const UpstreamEntry& entry);

// An entry has gone. `store_regained`: end of the store's last outage, because
// entries of living upstreams lapse during one.
UpstreamChange RemoveEntry(UpstreamTable& table,
                           const common::UpstreamName& name,
                           common::TimePoint now,
                           std::optional<common::TimePoint> store_regained);

// The other upstreams that are known at the address of an upstream.
std::vector<common::UpstreamName> SharingAddress(
    const UpstreamTable& table, const common::UpstreamName& name);

// Another incarnation answers at the upstream's address.
void NoteReplaced(UpstreamTable& table, const common::UpstreamName& name);

// Drops upstreams whose entries lapsed and did not come back; returns them.
std::vector<common::UpstreamName> DropLapsed(UpstreamTable& table,
                                             common::TimePoint now);

// Whether new work may be sent there.
bool TakesWork(const Upstream& upstream);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_UPSTREAMTABLE_H_
