#ifndef SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERPROCESS_H_
#define SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERPROCESS_H_

#include <functional>
#include <optional>
#include <string>

#include "SchedulerRuntime/SchedulerSettings.h"
#include "Scheduling/EngineScheduler.h"
#include "absl/status/status.h"

namespace shallotbeam::scheduler_runtime {

// How a deployment's engines report their load.
struct EngineDialect {
  std::string report_path;
  std::function<std::optional<scheduling::EngineReport>(
      const std::string& body)>
      decode_report;
};

// Runs a scheduler until a signal ends it.
absl::Status RunScheduler(const SchedulerSettings& settings,
                          const EngineDialect& dialect);

}  // namespace shallotbeam::scheduler_runtime

#endif  // SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERPROCESS_H_
