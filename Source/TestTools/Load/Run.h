#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_RUN_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_RUN_H_

#include <optional>
#include <string>

#include "Config/Model.h"
#include "Load/BaselineProxy.h"
#include "Load/Experiment.h"
#include "Load/Fleet.h"
#include "Load/Measures.h"
#include "absl/status/statusor.h"

namespace shallotbeam::load {

// Parses the configuration of the experiment, from `config` or `config_folder`.
absl::StatusOr<config::FleetConfig> ReadConfig(const Experiment& experiment);

// Runs the phases of the experiment against a new fleet or, if `baseline` is
// set, against the engines behind a BaselineProxy with that policy. Returns
// kCancelled after SIGINT or SIGTERM, and kUnavailable if the fleet doesn't
// start. All processes have exited when the function returns.
absl::StatusOr<RunRecord> RunExperiment(const Experiment& experiment,
                                        const config::FleetConfig& config,
                                        FleetOptions options,
                                        std::optional<Policy> baseline);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_RUN_H_
