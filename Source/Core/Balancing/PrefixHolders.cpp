#include "Balancing/PrefixHolders.h"

#include <algorithm>

namespace shallotbeam::balancing {

void RecordCachedTokens(CachedPrefixes& cached,
                        const common::UpstreamName& upstream, int tokens) {
  for (CachedPrefix& it : cached) {
    if (it.upstream != upstream) continue;
    it.tokens = tokens;
    return;
  }
  cached.push_back({.upstream = upstream, .tokens = tokens});
}

const CachedPrefix* FindCached(const CachedPrefixes& cached,
                               const common::UpstreamName& upstream) {
  const auto it = std::find_if(
      cached.begin(), cached.end(),
      [&](const CachedPrefix& entry) { return entry.upstream == upstream; });
  return it == cached.end() ? nullptr : &*it;
}

CachedPrefix BestCacheSource(const CachedPrefixes& cached,
                             const common::UpstreamName& preferred_engine,
                             int shared_tokens,
                             const common::UpstreamName& upstream) {
  CachedPrefix best;
  for (const CachedPrefix& it : cached) {
    if (it.upstream != upstream && it.tokens > best.tokens) best = it;
  }
  const bool assume_preferred = !preferred_engine.empty() &&
                                preferred_engine != upstream &&
                                shared_tokens > best.tokens &&
                                FindCached(cached, preferred_engine) == nullptr;
  return assume_preferred ? CachedPrefix{.upstream = preferred_engine,
                                         .tokens = shared_tokens}
                          : best;
}

void RecordSent(PrefixHolders& holders, common::TimePoint now,
                std::uint64_t prefix_key,
                const common::UpstreamName& upstream) {
  if (prefix_key == 0) return;
  const auto expired = [&](const PrefixHolders::Holder& it) {
    return now - it.last_sent > holders.options.lifetime;
  };
  if (holders.engines.size() >= holders.options.max_prefixes &&
      holders.engines.count(prefix_key) == 0) {
    std::erase_if(holders.engines, [&](const auto& it) {
      return std::all_of(it.second.begin(), it.second.end(), expired);
    });
    // Full of recently used prefixes; this one counts as not held.
    if (holders.engines.size() >= holders.options.max_prefixes) return;
  }
  auto& engines = holders.engines[prefix_key];
  std::erase_if(engines, [&](const PrefixHolders::Holder& it) {
    return it.upstream == upstream || expired(it);
  });
  // The oldest entry is the first.
  if (engines.size() >= holders.options.max_engines) {
    engines.erase(engines.begin());
  }
  engines.push_back({.upstream = upstream, .last_sent = now});
}

std::vector<common::UpstreamName> RecentHolders(const PrefixHolders& holders,
                                                common::TimePoint now,
                                                std::uint64_t prefix_key) {
  std::vector<common::UpstreamName> names;
  const auto found = holders.engines.find(prefix_key);
  if (found == holders.engines.end()) return names;
  names.reserve(found->second.size());
  for (auto it = found->second.rbegin(); it != found->second.rend(); ++it) {
    if (now - it->last_sent > holders.options.lifetime) break;
    names.push_back(it->upstream);
  }
  return names;
}

bool IsHolder(const PrefixHolders& holders, common::TimePoint now,
              std::uint64_t prefix_key, const common::UpstreamName& upstream) {
  const auto names = RecentHolders(holders, now, prefix_key);
  return std::find(names.begin(), names.end(), upstream) != names.end();
}

void ForgetHolder(PrefixHolders& holders,
                  const common::UpstreamName& upstream) {
  for (auto& [key, engines] : holders.engines) {
    std::erase_if(engines, [&](const PrefixHolders::Holder& it) {
      return it.upstream == upstream;
    });
  }
  std::erase_if(holders.engines,
                [](const auto& it) { return it.second.empty(); });
}

}  // namespace shallotbeam::balancing
