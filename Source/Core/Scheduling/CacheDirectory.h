#ifndef SHALLOTBEAM_CORE_SCHEDULING_CACHEDIRECTORY_H_
#define SHALLOTBEAM_CORE_SCHEDULING_CACHEDIRECTORY_H_

#include <cstdint>
#include <unordered_map>

#include "Common/Clock.h"
#include "Common/Types.h"

// Records the prefix holders: the engines that have a shared prompt prefix
// cached. Prompts with the same prefix may start at several engines, because
// the preferred engine of the prefix is busy, has restarted or was replaced.
// The scheduler of the preferred engine records where else the prefix was
// processed, so that engines can fetch it instead of processing it again.
namespace shallotbeam::scheduling {

struct CacheDirectoryOptions {
  // Engines evict prefixes that were not used for about this long.
  common::Duration cache_lifetime = std::chrono::seconds(10);
  std::size_t max_prefixes = 4'096;
};

struct CacheDirectory {
  struct Holder {
    common::UpstreamName upstream;
    common::TimePoint last_used;
  };

  CacheDirectoryOptions options;
  std::unordered_map<std::uint64_t, Holder> holders;  // by prefix key
};

// Records that the prefix is in the cache of `upstream`.
void RecordHolder(CacheDirectory& directory, common::TimePoint now,
                  std::uint64_t prefix_key,
                  const common::UpstreamName& upstream);

// Returns the engine that most recently had the prefix cached, or an empty name
// if none is known.
common::UpstreamName FindHolder(const CacheDirectory& directory,
                                common::TimePoint now,
                                std::uint64_t prefix_key);

}  // namespace shallotbeam::scheduling

#endif  // SHALLOTBEAM_CORE_SCHEDULING_CACHEDIRECTORY_H_
