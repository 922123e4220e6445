#ifndef SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERSETTINGS_H_
#define SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERSETTINGS_H_

#include <chrono>
#include <string>

#include "Common/Types.h"
#include "Settings/Settings.h"

namespace shallotbeam::scheduler_runtime {

struct SchedulerSettings {
  common::ProcessName name{"scheduler"};
  common::DataCentreName data_centre;
  common::Endpoint control{"127.0.0.1", 8093};  // offers of gateways
  common::Endpoint admin{"127.0.0.1", 8094};    // metrics and status
  common::Endpoint engine;                      // on the same host
  std::string log_levels = "info";
  // As scheduling::EngineSchedulerOptions.
  std::chrono::milliseconds reading_ahead{120};
  int reading_share_percent = 80;
  int memory_share_percent = 92;
};

// The typed keys, bound to `target`, which must outlive them.
settings::Settings SchedulerKeys(SchedulerSettings* target);

}  // namespace shallotbeam::scheduler_runtime

#endif  // SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERSETTINGS_H_
