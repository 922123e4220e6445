#ifndef SHALLOTBEAM_CORE_BALANCING_PREFIXHOLDERS_H_
#define SHALLOTBEAM_CORE_BALANCING_PREFIXHOLDERS_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"

// Knowledge of a gateway about where shared prefixes are cached: from the
// schedulers' replies to one request, and from the requests that it has sent.
namespace shallotbeam::balancing {

// Length of a prompt's prefix that an engine has cached, as estimated by its
// scheduler.
struct CachedPrefix {
  common::UpstreamName upstream;
  int tokens = 0;
};
using CachedPrefixes = std::vector<CachedPrefix>;

void RecordCachedTokens(CachedPrefixes& cached,
                        const common::UpstreamName& upstream, int tokens);

// Returns the entry of the upstream, or null if there is none.
const CachedPrefix* FindCached(const CachedPrefixes& cached,
                               const common::UpstreamName& upstream);

// Returns the engine, other than `upstream`, with the longest cached prefix of
// a prompt with `shared_tokens`. Without an entry in `cached`, the preferred
// engine is assumed to have all shared parts cached.
CachedPrefix BestCacheSource(const CachedPrefixes& cached,
                             const common::UpstreamName& preferred_engine,
                             int shared_tokens,
                             const common::UpstreamName& upstream);

struct PrefixHolderOptions {
  // Engines evict prefixes that were not used for about this long.
  common::Duration lifetime = std::chrono::seconds(10);
  std::size_t max_prefixes = 1'024;
  std::size_t max_engines = 8;  // of one prefix
};

// Engines to which this gateway has recently sent prompts, by the key of their
// shared prefix.
struct PrefixHolders {
  struct Holder {
    common::UpstreamName upstream;
    common::TimePoint last_sent;
  };

  PrefixHolderOptions options;
  std::unordered_map<std::uint64_t, std::vector<Holder>> engines;
};

// Records that a prompt with the prefix was sent to `upstream`. The key zero
// stands for no shared prefix and is not recorded.
void RecordSent(PrefixHolders& holders, common::TimePoint now,
                std::uint64_t prefix_key, const common::UpstreamName& upstream);

bool IsHolder(const PrefixHolders& holders, common::TimePoint now,
              std::uint64_t prefix_key, const common::UpstreamName& upstream);

// Returns the engines that hold the prefix, the latest one first.
std::vector<common::UpstreamName> RecentHolders(const PrefixHolders& holders,
                                                common::TimePoint now,
                                                std::uint64_t prefix_key);

// Forgets an engine that has restarted or left.
void ForgetHolder(PrefixHolders& holders, const common::UpstreamName& upstream);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_PREFIXHOLDERS_H_
