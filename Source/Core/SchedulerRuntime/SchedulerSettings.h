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
  common::Endpoint control{"127.0.0.1", 8093};  // for offers from gateways
  common::Endpoint admin{"127.0.0.1", 8094};    // for metrics and status
  common::Endpoint engine;                      // runs on the same host
  std::string log_levels = "info";
  // As in scheduling::EngineSchedulerOptions. The keys of the settings call
  // prefill "reading".
  std::chrono::milliseconds prefill_ahead{120};
  int prefill_share_percent = 80;
  int memory_share_percent = 92;
};

// The settings, which store their values in `target`; `target` must outlive
// them.
settings::Settings SchedulerKeys(SchedulerSettings* target);

}  // namespace shallotbeam::scheduler_runtime

#endif  // SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERSETTINGS_H_
