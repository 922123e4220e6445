#ifndef SHALLOTBEAM_CORE_COMMON_MAXMIN_H_
#define SHALLOTBEAM_CORE_COMMON_MAXMIN_H_

#include <vector>

namespace shallotbeam::common {

// The max-min share: `demands`, each cut to it, together take `total`. Infinite
// if they take less without being cut.
double MaxMinShare(std::vector<double> demands, double total);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_MAXMIN_H_
