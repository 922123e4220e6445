#ifndef SHALLOTBEAM_CORE_BALANCING_AFFINITY_H_
#define SHALLOTBEAM_CORE_BALANCING_AFFINITY_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "Common/Types.h"

// Which upstreams keep which shared prompt parts in their caches, agreed on by
// all gateways without messages.
namespace shallotbeam::balancing {

// Orders `upstreams` by rendezvous hashing for `subject`, the preferred one
// first. One that comes or goes moves only the subjects that it serves.
std::vector<const common::UpstreamName*> RankBySubject(
    std::uint64_t subject,
    const std::vector<const common::UpstreamName*>& upstreams);

// Load pattern: no scheduler answers, so that each gateway places prompts by
// what it has sent itself. The first of `ranked` with at most `kBoundedLoad`
// times the mean of `loads`, which has an entry for each: prompts of a subject
// stay together, but a hot one spreads. `ranked` must not be empty.
const common::UpstreamName* PickWithBoundedLoad(
    const std::vector<const common::UpstreamName*>& ranked,
    const std::vector<int>& loads);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_AFFINITY_H_
