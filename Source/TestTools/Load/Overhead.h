#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_OVERHEAD_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_OVERHEAD_H_

#include <nlohmann/json.hpp>

#include "Load/Fleet.h"
#include "absl/status/statusor.h"

namespace shallotbeam::load {

// Measures the latency that one router and one agent add to a short plain call,
// and how many calls per second they forward. Both are compared with direct
// calls to the engine in the same run.
absl::StatusOr<nlohmann::json> MeasureOverhead(const FleetOptions& options);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_OVERHEAD_H_
