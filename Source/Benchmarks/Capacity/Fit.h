#ifndef SHALLOTBEAM_BENCHMARKS_CAPACITY_FIT_H_
#define SHALLOTBEAM_BENCHMARKS_CAPACITY_FIT_H_

#include <vector>

namespace shallotbeam::benchmarks::capacity {

// Least-squares fit of y = intercept + slope * x, and of the exponent p of
// y ~ x^p by a least-squares fit of the logarithms.
struct Fit {
  double intercept = 0;
  double slope = 0;
  double residual = 0;           // root mean square deviation, in units of y
  double exponent = 0;           // 0 if any x or y is not positive
  double exponent_residual = 0;  // root mean square deviation of ln y
};

// `x` and `y` must have the same size of at least two, and the values of `x`
// must not all be equal.
Fit FitLine(const std::vector<double>& x, const std::vector<double>& y);

}  // namespace shallotbeam::benchmarks::capacity

#endif  // SHALLOTBEAM_BENCHMARKS_CAPACITY_FIT_H_
