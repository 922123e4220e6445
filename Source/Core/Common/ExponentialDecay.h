#ifndef SHALLOTBEAM_CORE_COMMON_EXPONENTIALDECAY_H_
#define SHALLOTBEAM_CORE_COMMON_EXPONENTIALDECAY_H_

#include <cmath>

#include "Common/Clock.h"

namespace shallotbeam::common {

// What is left, after `age`, of an amount that fades to 1/e over `memory`.
inline double DecayFactor(Duration age, Duration memory) {
  return std::exp(-static_cast<double>(age.count()) /
                  static_cast<double>(memory.count()));
}

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_EXPONENTIALDECAY_H_
