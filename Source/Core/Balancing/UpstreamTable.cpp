#include "Balancing/UpstreamTable.h"

#include <algorithm>
#include <utility>

namespace shallotbeam::balancing {

namespace {

// Time for which removed upstreams are remembered.
constexpr common::Duration kRemovedMemory = std::chrono::seconds(60);

// Whether the entry comes from a restored store and is older than what is known
// of its upstream. Records its position, so that the next one is accepted.
bool IsOutdated(UpstreamTable& table, const common::UpstreamName& name,
                const UpstreamEntry& entry) {
  const auto removed = table.removed.find(name);
  if (removed != table.removed.end()) {
    const bool new_era =
        entry.position.era >
        std::exchange(removed->second.position, entry.position).era;
    return new_era && entry.started <= removed->second.started;
  }
  const auto known = table.upstreams.find(name);
  if (known == table.upstreams.end()) return false;
  UpstreamEntry& last = known->second.entry;
  if (entry.position.era <= last.position.era) return false;
  const bool reverts_draining = last.draining && !entry.draining;
  const bool outdated = entry.started < last.started ||
                        (entry.started == last.started && reverts_draining);
  if (outdated) last.position = entry.position;
  return outdated;
}

void RememberRemoved(UpstreamTable& table, const Upstream& upstream,
                     common::StorePosition position, common::TimePoint now) {
  table.removed[upstream.name] = {.started = upstream.entry.started,
                                  .position = position,
                                  .removed_at = now};
}

// Whether `a` uses the address that it shares with `b`. Positions of two eras
// don't tell which entry was written first.
bool IsLaterAtAddress(const UpstreamEntry& a, const UpstreamEntry& b) {
  const bool same_era = a.position.era == b.position.era;
  if (same_era || a.started == b.started) return a.position > b.position;
  return a.started > b.started;
}

}  // namespace

UpstreamChange PutEntry(UpstreamTable& table, const common::UpstreamName& name,
                        const UpstreamEntry& entry) {
  if (IsOutdated(table, name, entry)) return UpstreamChange::kOutdated;
  table.removed.erase(name);
  const auto [it, added] = table.upstreams.try_emplace(name);
  Upstream& upstream = it->second;
  const bool restarted = !added && upstream.entry.started != entry.started;
  upstream.name = name;
  upstream.entry = entry;
  upstream.listed = true;
  upstream.evacuated = table.evacuated.count(entry.data_centre) != 0;
  if (added || restarted) {
    upstream.replaced = upstream.leaving = false;
    upstream.paused_until = {};
  }
  for (const common::UpstreamName& other :
       UpstreamsAtSameAddress(table, name)) {
    Upstream& sharing = table.upstreams.at(other);
    const bool newer = IsLaterAtAddress(entry, sharing.entry);
    (newer ? sharing : upstream).replaced = true;
  }
  if (added) return UpstreamChange::kAdded;
  return restarted ? UpstreamChange::kRestarted : UpstreamChange::kUpdated;
}

bool IsSameState(const UpstreamEntry& a, const UpstreamEntry& b) {
  const auto state = [](const UpstreamEntry& it) {
    return std::tie(it.pool, it.endpoint, it.data_centre, it.slots, it.draining,
                    it.started);
  };
  return state(a) == state(b);
}

std::vector<common::UpstreamName> UpstreamsAtSameAddress(
    const UpstreamTable& table, const common::UpstreamName& name) {
  std::vector<common::UpstreamName> names;
  const common::Endpoint& endpoint = table.upstreams.at(name).entry.endpoint;
  for (const auto& [other, it] : table.upstreams) {
    if (other != name && it.entry.endpoint == endpoint) names.push_back(other);
  }
  return names;
}

UpstreamChange RemoveEntry(UpstreamTable& table,
                           const common::UpstreamName& name,
                           common::StorePosition position,
                           common::TimePoint now,
                           std::optional<common::TimePoint> store_recovered) {
  const auto it = table.upstreams.find(name);
  if (it == table.upstreams.end()) return UpstreamChange::kNone;
  Upstream& upstream = it->second;
  const bool after_outage =
      store_recovered && now - *store_recovered < table.options.expiry_grace;
  if (after_outage && !upstream.entry.draining && !upstream.leaving) {
    upstream.listed = false;
    upstream.expired_at = *store_recovered;
    upstream.removed_position = position;
    return UpstreamChange::kUpdated;
  }
  RememberRemoved(table, upstream, position, now);
  table.upstreams.erase(it);
  return UpstreamChange::kRemoved;
}

std::vector<common::UpstreamName> RemoveExpired(UpstreamTable& table,
                                                common::TimePoint now) {
  std::vector<common::UpstreamName> dropped;
  for (auto it = table.upstreams.begin(); it != table.upstreams.end();) {
    const Upstream& upstream = it->second;
    const bool gone = !upstream.listed &&
                      now - upstream.expired_at >= table.options.expiry_grace;
    if (gone) {
      dropped.push_back(upstream.name);
      RememberRemoved(table, upstream, upstream.removed_position, now);
    }
    it = gone ? table.upstreams.erase(it) : std::next(it);
  }
  std::erase_if(table.removed, [now](const auto& removed) {
    return now - removed.second.removed_at > kRemovedMemory;
  });
  return dropped;
}

void MarkReplaced(UpstreamTable& table, const common::UpstreamName& name) {
  const auto it = table.upstreams.find(name);
  if (it != table.upstreams.end()) it->second.replaced = true;
}

bool MarkLeaving(UpstreamTable& table, const common::UpstreamName& name) {
  const auto it = table.upstreams.find(name);
  if (it == table.upstreams.end()) return false;
  return !std::exchange(it->second.leaving, true);
}

std::vector<common::UpstreamName> SetEvacuated(
    UpstreamTable& table, const common::DataCentreName& data_centre,
    bool evacuated) {
  const bool changed = evacuated ? table.evacuated.insert(data_centre).second
                                 : table.evacuated.erase(data_centre) != 0;
  std::vector<common::UpstreamName> names;
  if (!changed) return names;
  for (auto& [name, it] : table.upstreams) {
    if (it.entry.data_centre != data_centre) continue;
    it.evacuated = evacuated;
    names.push_back(name);
  }
  return names;
}

void Pause(UpstreamTable& table, const common::UpstreamName& name,
           common::TimePoint until) {
  const auto it = table.upstreams.find(name);
  if (it == table.upstreams.end()) return;
  it->second.paused_until = std::max(it->second.paused_until, until);
}

std::optional<common::TimePoint> PausedUntil(const UpstreamTable& table,
                                             const common::UpstreamName& name,
                                             common::TimePoint now) {
  const auto it = table.upstreams.find(name);
  if (it == table.upstreams.end() || it->second.paused_until <= now) {
    return std::nullopt;
  }
  return it->second.paused_until;
}

bool AcceptsWork(const Upstream& upstream) {
  return !upstream.entry.draining && !upstream.replaced && !upstream.leaving &&
         !upstream.evacuated;
}

}  // namespace shallotbeam::balancing
