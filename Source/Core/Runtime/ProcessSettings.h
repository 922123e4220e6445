#ifndef SHALLOTBEAM_CORE_RUNTIME_PROCESSSETTINGS_H_
#define SHALLOTBEAM_CORE_RUNTIME_PROCESSSETTINGS_H_

#include <string>
#include <vector>

#include "Common/Types.h"

namespace shallotbeam::runtime {

struct RouterSettings {
  common::ProcessName name;
  common::DataCentreName data_centre;
  common::Endpoint callers;  // HTTP for callers
  common::Endpoint admin;    // HTTP for health, metrics and status
  common::Endpoint control;  // inbox for control messages
  common::Endpoint platform;
  int threads = 2;
};

struct AgentSettings {
  common::ProcessName name;
  common::DataCentreName data_centre;
  common::PoolName pool;
  common::UpstreamName upstream_name;
  common::Endpoint data;     // HTTP for routers
  common::Endpoint admin;    // HTTP for health, metrics and status
  common::Endpoint control;  // inbox for control messages
  common::Endpoint upstream;
  std::vector<common::Endpoint> routers;
  int threads = 2;
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_PROCESSSETTINGS_H_
