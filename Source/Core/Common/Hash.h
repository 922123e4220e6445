#ifndef SHALLOTBEAM_CORE_COMMON_HASH_H_
#define SHALLOTBEAM_CORE_COMMON_HASH_H_

#include <cstdint>
#include <string_view>

#include "Common/Types.h"

namespace shallotbeam::common {

// 64-bit xxHash (XXH3) of `data`. Not cryptographic.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

// Hash that is equal for requests with the same workspace, kind and body. Never
// zero.
Fingerprint FingerprintOf(const WorkspaceName& workspace, const KindName& kind,
                          std::string_view body);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_HASH_H_
