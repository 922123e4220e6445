#ifndef SHALLOTBEAM_BENCHMARKS_CAPACITY_FIT_H_
#define SHALLOTBEAM_BENCHMARKS_CAPACITY_FIT_H_

#include <vector>

namespace shallotbeam::benchmarks::capacity {

// y = intercept + slope * x by least squares, and the exponent of y ~ x^p by
// least squares of the logarithms.
struct Fit {
  double intercept = 0;
  double slope = 0;
  double residual = 0;           // root of the mean squared deviation, as y
  double exponent = 0;           // 0 if a value is not above zero
  double exponent_residual = 0;  // of ln y
};

// `x` and `y` have the same size, at least two, and `x` differs.
Fit FitLine(const std::vector<double>& x, const std::vector<double>& y);

}  // namespace shallotbeam::benchmarks::capacity

#endif  // SHALLOTBEAM_BENCHMARKS_CAPACITY_FIT_H_
