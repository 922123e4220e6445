#include "Scheduling/CacheDirectory.h"

namespace shallotbeam::scheduling {

void NoteHolder(CacheDirectory& directory, common::TimePoint now,
                std::uint64_t subject, const common::UpstreamName& upstream) {
  if (directory.holders.size() >= directory.options.max_subjects) {
    std::erase_if(directory.holders, [&](const auto& it) {
      return now - it.second.used > directory.options.memory;
    });
  }
  // Full of recent subjects: those that are not noted are read again.
  if (directory.holders.size() >= directory.options.max_subjects &&
      directory.holders.count(subject) == 0) {
    return;
  }
  directory.holders[subject] = {.upstream = upstream, .used = now};
}

common::UpstreamName HolderOf(const CacheDirectory& directory,
                              common::TimePoint now, std::uint64_t subject) {
  const auto it = directory.holders.find(subject);
  const bool known = it != directory.holders.end() &&
                     now - it->second.used <= directory.options.memory;
  return known ? it->second.upstream : common::UpstreamName();
}

}  // namespace shallotbeam::scheduling
