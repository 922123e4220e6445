#ifndef SHALLOTBEAM_CORE_COMMON_OFFERDECISION_H_
#define SHALLOTBEAM_CORE_COMMON_OFFERDECISION_H_

#include <cstdint>

namespace shallotbeam::common {

// A scheduler's answer to an offered request. The values are on the wire.
enum class OfferDecision : std::uint8_t {
  kStart = 0,     // send it now
  kQueued = 1,    // a start may follow
  kDeclined = 2,  // it would not start in time here
};

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_OFFERDECISION_H_
