#include "Common/Hash.h"

#include <xxhash.h>

namespace shallotbeam::common {

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

Fingerprint FingerprintOf(const WorkspaceName& workspace, const KindName& kind,
                          std::string_view body) {
  // Using each hash as the seed of the next gives ("a", "bc") and ("ab", "c")
  // different fingerprints.
  const std::uint64_t body_seed = Hash64(kind.value, Hash64(workspace.value));
  const std::uint64_t hash = Hash64(body, body_seed);
  return static_cast<Fingerprint>(hash == 0 ? 1 : hash);
}

}  // namespace shallotbeam::common
