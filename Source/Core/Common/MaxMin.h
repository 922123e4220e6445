#ifndef SHALLOTBEAM_CORE_COMMON_MAXMIN_H_
#define SHALLOTBEAM_CORE_COMMON_MAXMIN_H_

#include <vector>

namespace shallotbeam::common {

// Max-min fair share of `total`: the limit for which the sum of min(demand,
// limit) over all `demands` is `total`. Infinite if the sum of the demands
// doesn't exceed `total`.
double MaxMinShare(std::vector<double> demands, double total);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_MAXMIN_H_
