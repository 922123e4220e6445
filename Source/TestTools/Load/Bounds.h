#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_BOUNDS_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_BOUNDS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Load/Experiment.h"

namespace shallotbeam::load {

struct BoundResult {
  std::string text;  // description of the check, for the report
  double measured = 0;
  bool met = false;
};

// Checks the result of MeasureRun() against the bounds of the experiment and
// the bounds that apply to every run. A bound without data is not met.
std::vector<BoundResult> CheckBounds(const Experiment& experiment,
                                     const nlohmann::json& measures);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_BOUNDS_H_
