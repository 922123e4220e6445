#include "Fit.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace shallotbeam::benchmarks::capacity {

namespace {

struct Line {
  double intercept = 0;
  double slope = 0;
  double residual = 0;
};

Line LeastSquares(const std::vector<double>& x, const std::vector<double>& y) {
  const auto n = static_cast<double>(x.size());
  const double mean_x = std::accumulate(x.begin(), x.end(), 0.0) / n;
  const double mean_y = std::accumulate(y.begin(), y.end(), 0.0) / n;
  double xx = 0;
  double xy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    xx += (x[i] - mean_x) * (x[i] - mean_x);
    xy += (x[i] - mean_x) * (y[i] - mean_y);
  }
  Line line{.slope = xy / xx};
  line.intercept = mean_y - line.slope * mean_x;
  double squares = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    const double deviation = y[i] - line.intercept - line.slope * x[i];
    squares += deviation * deviation;
  }
  line.residual = std::sqrt(squares / n);
  return line;
}

std::vector<double> Logarithms(const std::vector<double>& values) {
  std::vector<double> logs;
  logs.reserve(values.size());
  for (const double it : values) logs.push_back(std::log(it));
  return logs;
}

}  // namespace

Fit FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const Line line = LeastSquares(x, y);
  Fit fit{.intercept = line.intercept,
          .slope = line.slope,
          .residual = line.residual};
  const auto positive = [](double it) { return it > 0; };
  if (std::all_of(x.begin(), x.end(), positive) &&
      std::all_of(y.begin(), y.end(), positive)) {
    const Line log_line = LeastSquares(Logarithms(x), Logarithms(y));
    fit.exponent = log_line.slope;
    fit.exponent_residual = log_line.residual;
  }
  return fit;
}

}  // namespace shallotbeam::benchmarks::capacity
