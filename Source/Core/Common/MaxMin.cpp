#include "Common/MaxMin.h"

#include <algorithm>
#include <limits>

namespace shallotbeam::common {

double MaxMinShare(std::vector<double> demands, double total) {
  std::sort(demands.begin(), demands.end());
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double equal_share = total / static_cast<double>(demands.size() - i);
    if (demands[i] > equal_share) return equal_share;
    total -= demands[i];
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace shallotbeam::common
