#ifndef SHALLOTBEAM_CORE_SCHEDULING_CACHEDIRECTORY_H_
#define SHALLOTBEAM_CORE_SCHEDULING_CACHEDIRECTORY_H_

#include <cstdint>
#include <unordered_map>

#include "Common/Clock.h"
#include "Common/Types.h"

// Load pattern: prompts of one subject start at several engines, because their
// home is busy, restarted or was replaced. The scheduler of the home remembers
// where else the subject's shared parts were read, so that no engine reads them
// again.
namespace shallotbeam::scheduling {

struct CacheDirectoryOptions {
  // Engines drop parts that were not used for about this long.
  common::Duration memory = std::chrono::seconds(10);
  std::size_t max_subjects = 4'096;
};

struct CacheDirectory {
  struct Holder {
    common::UpstreamName upstream;
    common::TimePoint used;
  };

  CacheDirectoryOptions options;
  std::unordered_map<std::uint64_t, Holder> holders;  // by subject
};

// The shared parts of a subject are in the cache of `upstream`.
void NoteHolder(CacheDirectory& directory, common::TimePoint now,
                std::uint64_t subject, const common::UpstreamName& upstream);

// The engine that held the shared parts last; empty if none is known.
common::UpstreamName HolderOf(const CacheDirectory& directory,
                              common::TimePoint now, std::uint64_t subject);

}  // namespace shallotbeam::scheduling

#endif  // SHALLOTBEAM_CORE_SCHEDULING_CACHEDIRECTORY_H_
