#ifndef SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERPROCESS_H_
#define SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERPROCESS_H_

#include <functional>
#include <optional>
#include <string>

#include "SchedulerRuntime/SchedulerDriver.h"
#include "SchedulerRuntime/SchedulerSettings.h"
#include "Transport/Http.h"
#include "absl/status/status.h"

namespace shallotbeam::scheduler_runtime {

// How the model engines of a deployment report their load over HTTP.
struct EngineReportApi {
  std::string report_path;
  std::function<std::optional<EngineStatus>(
      const transport::HttpResponse& response)>
      decode_report;
};

// Runs a scheduler until SIGTERM or SIGINT. Returns an error if an address
// can't be bound.
absl::Status RunScheduler(const SchedulerSettings& settings,
                          const EngineReportApi& report_api);

}  // namespace shallotbeam::scheduler_runtime

#endif  // SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERPROCESS_H_
