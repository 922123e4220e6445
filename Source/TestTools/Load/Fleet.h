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

// A process of the fleet, with the information needed to restart it.
struct FleetProcess {
  std::string name;
  std::string role;  // "platform", "router", "agent" or "engine"
  std::string pool;  // of agents and engines
  std::string program;
  std::vector<std::string> arguments;
  std::string log;
  common::Endpoint http;     // requests of callers, routers or agents
  common::Endpoint admin;    // routers and agents
  common::Endpoint control;  // routers and agents
  std::optional<ChildProcess> child;
  int restarts = 0;
};

struct FleetOptions {
  std::string programs;  // folder of the built programs, e.g. "build/Source"
  std::string work_folder;
  // Start no platform, routers and agents; used for baselines.
  bool engines_only = false;
  // First of a range of consecutive ports; 0 picks free ports.
  int first_port = 0;
  // Let routers read the host list of the platform stand-in.
  bool host_list = false;
  // Publish the configuration and wait until the fleet is ready. If false,
  // Start() does neither.
  bool publish = true;
};

// A fleet of local processes. The destructor terminates them.
class Fleet {
 public:
  // Starts all processes, publishes the configuration and waits until every
  // router has the configuration and sees every agent alive, and every engine
  // is healthy. Returns kUnavailable with the cause otherwise.
  static absl::StatusOr<std::unique_ptr<Fleet>> Start(
      const Experiment& experiment, const FleetOptions& options);
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  const std::vector<FleetProcess>& Processes() const { return processes_; }
  std::vector<const FleetProcess*> OfRole(const std::string& role) const;
  const FleetProcess* Find(const std::string& name) const;

  // Restarts engines that have exited. Returns the names of other processes
  // that have exited, which is always a fault, and of engines that can't be
  // restarted.
  std::vector<std::string> CheckProcesses();

  // Sends a signal unless the process has exited.
  void Signal(const std::string& name, int signal);
  // Restarts a process with the same arguments. Kills it first if it still
  // runs.
  absl::Status StartAgain(const std::string& name);
  std::optional<int> ExitCode(const std::string& name);

 private:
  explicit Fleet(FleetOptions options) : options_(std::move(options)) {}

  common::Endpoint NextEndpoint();
  FleetProcess& AddProcess(std::string name, std::string role,
                           const std::string& program);
  absl::Status StartAll(const Experiment& experiment);
  void AddPlatformAndRouters(const FleetSpec& spec);
  void AddPool(const FleetSpec& spec, const PoolSpec& pool);
  void LimitMemory(const FleetSpec& spec);
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
