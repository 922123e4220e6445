#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_FLEET_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Load/Experiment.h"
#include "Load/Processes.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace shallotbeam::load {

// A process of the fleet and how to start it again.
struct FleetProcess {
  std::string name;
  std::string role;  // "platform", "router", "agent" or "engine"
  std::string pool;  // of agents and engines
  std::string program;
  std::vector<std::string> arguments;
  std::string log;
  common::Endpoint http;     // callers, routers or agents
  common::Endpoint admin;    // routers and agents
  common::Endpoint control;  // routers and agents
  std::optional<ChildProcess> child;
  int restarts = 0;
};

struct FleetOptions {
  std::string programs;  // folder with the built programs, "build/Source"
  std::string work_folder;
  bool engines_only = false;  // without routers and agents, for baselines
  // Ports from here on; 0 picks free ones.
  int first_port = 0;
  bool host_list = false;  // routers read the host list of the stand-in
  bool publish = true;     // without it, Start() does not wait for readiness
};

// A fleet of local processes. Its destructor ends them.
class Fleet {
 public:
  // Starts all processes, publishes the configuration and waits until every
  // router serves with every agent. Returns kUnavailable with the cause.
  static absl::StatusOr<std::unique_ptr<Fleet>> Start(
      const Experiment& experiment, const FleetOptions& options);
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  const std::vector<FleetProcess>& Processes() const { return processes_; }
  std::vector<const FleetProcess*> OfRole(const std::string& role) const;
  const FleetProcess* Find(const std::string& name) const;

  // Starts ended engines again. Returns the names of other processes that
  // ended, which is a fault.
  std::vector<std::string> CheckProcesses();

  // Sends a signal unless the process has ended.
  void Signal(const std::string& name, int signal);
  // Starts a process with its arguments, after killing one that still runs.
  absl::Status StartAgain(const std::string& name);
  std::optional<int> ExitCode(const std::string& name);

 private:
  explicit Fleet(FleetOptions options) : options_(std::move(options)) {}

  common::Endpoint NextEndpoint();
  FleetProcess& Add(std::string name, std::string role,
                    const std::string& program);
  absl::Status StartAll(const Experiment& experiment);
  void AddPlatformAndRouters(const FleetSpec& spec);
  void AddPool(const FleetSpec& spec, const PoolSpec& pool);
  FleetProcess* FindProcess(const std::string& name);
  absl::Status Spawn(FleetProcess& process);
  absl::Status Publish(const Experiment& experiment);
  absl::Status WaitUntilReady();
  bool IsReady(const FleetProcess& router) const;

  FleetOptions options_;
  std::vector<FleetProcess> processes_;
  int next_port_ = 0;
};

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_FLEET_H_
