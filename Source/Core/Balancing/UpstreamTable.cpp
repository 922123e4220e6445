#include "Balancing/UpstreamTable.h"

#include <algorithm>
#include <utility>

namespace shallotbeam::balancing {

UpstreamChange PutEntry(UpstreamTable& table, const common::UpstreamName& name,
                        const UpstreamEntry& entry) {
  const auto [it, added] = table.upstreams.try_emplace(name);
  Upstream& upstream = it->second;
  const bool restarted = !added && upstream.entry.started != entry.started;
  upstream.name = name;
  upstream.entry = entry;
  upstream.listed = true;
  if (added || restarted) {
    upstream.replaced = upstream.leaving = false;
    upstream.paused_until = {};
  }
  for (const common::UpstreamName& other :
       UpstreamsAtSameAddress(table, name)) {
    Upstream& sharing = table.upstreams.at(other);
    const bool newer = entry.position > sharing.entry.position;
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
    return UpstreamChange::kUpdated;
  }
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
    if (gone) dropped.push_back(upstream.name);
    it = gone ? table.upstreams.erase(it) : std::next(it);
  }
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
  return !upstream.entry.draining && !upstream.replaced && !upstream.leaving;
}

}  // namespace shallotbeam::balancing
