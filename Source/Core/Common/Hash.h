#ifndef SHALLOTBEAM_CORE_COMMON_HASH_H_
#define SHALLOTBEAM_CORE_COMMON_HASH_H_

#include <cstdint>
#include <string_view>

#include "Common/Types.h"

namespace shallotbeam::common {

// 64-bit xxHash of `data`. Not for secrets.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

// Identifies requests with the same workspace, kind and body.
Fingerprint FingerprintOf(const WorkspaceName& workspace, const KindName& kind,
                          std::string_view body);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_HASH_H_
