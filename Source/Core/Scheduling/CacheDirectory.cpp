#include "Scheduling/CacheDirectory.h"

namespace shallotbeam::scheduling {

void RecordHolder(CacheDirectory& directory, common::TimePoint now,
                  std::uint64_t prefix_key,
                  const common::UpstreamName& upstream) {
  if (directory.holders.size() >= directory.options.max_prefixes) {
    std::erase_if(directory.holders, [&](const auto& it) {
      return now - it.second.last_used > directory.options.cache_lifetime;
    });
  }
  // The directory is full of recently used prefixes, so this one is not
  // recorded and may be processed again by another engine.
  if (directory.holders.size() >= directory.options.max_prefixes &&
      directory.holders.count(prefix_key) == 0) {
    return;
  }
  directory.holders[prefix_key] = {.upstream = upstream, .last_used = now};
}

common::UpstreamName FindHolder(const CacheDirectory& directory,
                                common::TimePoint now,
                                std::uint64_t prefix_key) {
  const auto it = directory.holders.find(prefix_key);
  const bool known =
      it != directory.holders.end() &&
      now - it->second.last_used <= directory.options.cache_lifetime;
  return known ? it->second.upstream : common::UpstreamName();
}

}  // namespace shallotbeam::scheduling
