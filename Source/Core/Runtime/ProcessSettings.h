#ifndef SHALLOTBEAM_CORE_RUNTIME_PROCESSSETTINGS_H_
#define SHALLOTBEAM_CORE_RUNTIME_PROCESSSETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Settings/Settings.h"

namespace shallotbeam::runtime {

// Settings that routers and agents share.
struct ProcessSettings {
  common::ProcessName name;
  common::DataCentreName data_centre;
  common::RegionName region;
  common::Endpoint admin;    // HTTP for health, metrics and status
  common::Endpoint control;  // inbox for control messages
  // Control addresses of seed routers, from which the others are discovered.
  std::vector<common::Endpoint> routers;
  int threads = 2;
  int memory_mb = 1'024;  // that this process may use
  std::string log_levels = "info";
  // A drain ends after this time, even if requests are still running.
  std::chrono::milliseconds drain_deadline{60'000};
};

struct RouterSettings : ProcessSettings {
  common::Endpoint callers{"127.0.0.1", 8080};   // HTTP for callers
  common::Endpoint platform{"127.0.0.1", 2379};  // key-value store
  common::Endpoint hosts;  // the platform's host list; not read if empty
  // Time during which a draining router still accepts new requests, so that the
  // load balancer can redirect callers first.
  std::chrono::milliseconds drain_grace{1'000};

  RouterSettings();
};

struct AgentSettings : ProcessSettings {
  common::PoolName pool;
  common::UpstreamName upstream_name;        // defaults to the agent's name
  common::Endpoint data{"127.0.0.1", 8090};  // HTTP for routers
  common::Endpoint upstream;

  AgentSettings();
};

// Bytes that the requests of callers together may hold.
std::size_t MaxBufferedBytes(const ProcessSettings& settings);

// The settings of both programs, which store their values in `target`; `target`
// must outlive them.
settings::Settings RouterKeys(RouterSettings* target);
settings::Settings AgentKeys(AgentSettings* target);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_PROCESSSETTINGS_H_
