#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_REPORT_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Load/Bounds.h"

namespace shallotbeam::load {

// Tables for people of the result of MeasureRun().
std::string ToTable(const nlohmann::json& measures);
std::string ToTable(const std::vector<BoundResult>& bounds);

// The four measures of the fleet beside those of a baseline.
std::string CompareTable(const nlohmann::json& fleet,
                         const nlohmann::json& baseline);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_REPORT_H_
