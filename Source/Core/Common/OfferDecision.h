#ifndef SHALLOTBEAM_CORE_COMMON_OFFERDECISION_H_
#define SHALLOTBEAM_CORE_COMMON_OFFERDECISION_H_

#include <cstdint>

namespace shallotbeam::common {

// A scheduler's decision on an offered request. The values are part of the wire
// format.
enum class OfferDecision : std::uint8_t {
  kStart = 0,     // the gateway sends the request now
  kQueued = 1,    // a start may follow later
  kDeclined = 2,  // the request would not start in time at this engine
};

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_OFFERDECISION_H_
