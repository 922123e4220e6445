#ifndef SHALLOTBEAM_CORE_COMMON_EXPONENTIALDECAY_H_
#define SHALLOTBEAM_CORE_COMMON_EXPONENTIALDECAY_H_

#include <cmath>

#include "Common/Clock.h"

namespace shallotbeam::common {

// Exponential decay: the fraction of a value that is left after `age`. The
// value decays to 1/e within `time_constant`.
inline double DecayFactor(Duration age, Duration time_constant) {
  return std::exp(-static_cast<double>(age.count()) /
                  static_cast<double>(time_constant.count()));
}

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_EXPONENTIALDECAY_H_
