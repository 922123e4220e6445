#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_REPORT_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Load/Bounds.h"

namespace shallotbeam::load {

// Formats the result of MeasureRun() as text tables.
std::string ToTable(const nlohmann::json& measures);
// Formats the bounds, one per line, with the measured values.
std::string ToTable(const std::vector<BoundResult>& bounds);

// Formats four measures of the fleet next to those of a baseline: slot
// utilisation, fairness gap, completed requests and 95th-percentile latency.
std::string CompareTable(const nlohmann::json& fleet,
                         const nlohmann::json& baseline);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_REPORT_H_
