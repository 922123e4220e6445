#ifndef SHALLOTBEAM_CORE_BALANCING_AFFINITY_H_
#define SHALLOTBEAM_CORE_BALANCING_AFFINITY_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "Common/Types.h"

// Cache affinity: maps each shared prompt prefix to the upstreams that should
// keep it in their caches. All gateways compute the same mapping, so they need
// no messages to agree on it.
namespace shallotbeam::balancing {

// Orders `upstreams` by rendezvous hashing of `prefix_key`, the key of a shared
// prompt prefix, with the preferred upstream first. When an upstream is added
// or removed, only the prefixes that prefer it are mapped anew.
std::vector<const common::UpstreamName*> RankByPrefix(
    std::uint64_t prefix_key,
    const std::vector<const common::UpstreamName*>& upstreams);

// Consistent hashing with bounded loads, used while no scheduler responds and a
// gateway knows only the requests that it has sent itself. Returns the first
// upstream of `ranked` whose load is below `kBoundedLoad` times the mean, so
// that prompts with the same prefix share a cache while a heavily used prefix
// spreads over several upstreams. `loads` has one entry for each upstream of
// `ranked`, which must not be empty.
const common::UpstreamName* PickWithBoundedLoad(
    const std::vector<const common::UpstreamName*>& ranked,
    const std::vector<int>& loads);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_AFFINITY_H_
