#include "Load/Fleet.h"

#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

namespace shallotbeam::load {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kReadyTimeout{15'000};
constexpr milliseconds kPollInterval{50};
constexpr milliseconds kCallTimeout{500};

}  // namespace

absl::StatusOr<std::unique_ptr<Fleet>> Fleet::Start(
    const Experiment& experiment, const FleetOptions& options) {
  std::unique_ptr<Fleet> fleet(new Fleet(options));
  fleet->next_port_ = options.first_port;
  absl::Status status = fleet->StartAll(experiment);
  if (!status.ok()) return status;
  return fleet;
}

Fleet::~Fleet() {
  for (FleetProcess& it : processes_) {
    if (it.child) it.child->RequestTermination();
  }
}

std::vector<const FleetProcess*> Fleet::OfRole(const std::string& role) const {
  std::vector<const FleetProcess*> found;
  for (const FleetProcess& it : processes_) {
    if (it.role == role) found.push_back(&it);
  }
  return found;
}

const FleetProcess* Fleet::Find(const std::string& name) const {
  for (const FleetProcess& it : processes_) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

std::vector<std::string> Fleet::CheckProcesses() {
  std::vector<std::string> exited;
  for (FleetProcess& it : processes_) {
    if (!it.child || !it.child->ExitCode()) continue;
    if (it.role != "engine") {
      exited.push_back(it.name);
      continue;
    }
    ++it.restarts;
    if (!Spawn(it).ok()) exited.push_back(it.name);
  }
  return exited;
}

FleetProcess* Fleet::FindProcess(const std::string& name) {
  for (FleetProcess& it : processes_) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

void Fleet::Signal(const std::string& name, int signal) {
  FleetProcess* process = FindProcess(name);
  if (process == nullptr || !process->child) return;
  if (!process->child->ExitCode()) kill(process->child->Pid(), signal);
}

absl::Status Fleet::StartAgain(const std::string& name) {
  FleetProcess* process = FindProcess(name);
  if (process == nullptr) return absl::NotFoundError("unknown process " + name);
  Signal(name, SIGKILL);
  process->child.reset();  // waits for the exit, which frees the ports
  ++process->restarts;
  return Spawn(*process);
}

std::optional<int> Fleet::ExitCode(const std::string& name) {
  FleetProcess* process = FindProcess(name);
  if (process == nullptr || !process->child) return std::nullopt;
  return process->child->ExitCode();
}

common::Endpoint Fleet::NextEndpoint() {
  if (next_port_ == 0) return FreeEndpoint();
  return {.address = "127.0.0.1",
          .port = static_cast<std::uint16_t>(next_port_++)};
}

FleetProcess& Fleet::AddProcess(std::string name, std::string role,
                                const std::string& program) {
  FleetProcess process{.name = std::move(name), .role = std::move(role)};
  process.program = options_.programs + "/" + program;
  process.log = options_.work_folder + "/" + process.name + ".log";
  process.http = NextEndpoint();
  process.arguments = {"--listen", common::ToString(process.http)};
  processes_.push_back(std::move(process));
  return processes_.back();
}

void Fleet::AddPlatformAndRouters(const FleetSpec& spec) {
  AddProcess("platform", "platform", "TestTools/shallotbeam-platform-stand-in");
  const std::string platform = common::ToString(processes_.back().http);
  for (int i = 0; i < spec.routers; ++i) {
    FleetProcess& router = AddProcess(fmt::format("router-{}", i), "router",
                                      "Shallotbeam/shallotbeam");
    router.admin = NextEndpoint();
    router.control = NextEndpoint();
    router.arguments.insert(router.arguments.begin(), "router");
    const auto n = static_cast<std::size_t>(i) % spec.data_centres.size();
    for (const std::string& it :
         {std::string("--name"), router.name, std::string("--data-centre"),
          spec.data_centres[n], std::string("--admin"),
          common::ToString(router.admin), std::string("--control"),
          common::ToString(router.control), std::string("--platform"), platform,
          std::string("--log"), spec.log}) {
      router.arguments.push_back(it);
    }
    if (options_.host_list) {
      router.arguments.emplace_back("--hosts");
      router.arguments.push_back(platform);
    }
  }
}

void Fleet::AddPool(const FleetSpec& spec, const PoolSpec& pool) {
  for (int i = 0; i < pool.agents; ++i) {
    const std::string name = fmt::format("{}-{}", pool.pool, i);
    FleetProcess& engine = AddProcess(
        name, "engine", "TestTools/EngineStandIn/shallotbeam-engine-stand-in");
    engine.pool = pool.pool;
    for (const auto& [option, value] : pool.engine) {
      engine.arguments.push_back("--" + option);
      if (value != "true") engine.arguments.push_back(value);
    }
    engine.arguments.push_back("--runs-file");
    engine.arguments.push_back(options_.work_folder + "/" + name + ".runs");
    const std::string upstream = common::ToString(engine.http);
    if (options_.engines_only) continue;
    FleetProcess& agent = AddProcess("agent-" + name, "agent",
                                     "ShallotbeamAgent/shallotbeam-agent");
    agent.pool = pool.pool;
    // The host list identifies hosts by address, so each agent needs an address
    // of its own.
    if (options_.host_list) {
      agent.http.address = fmt::format("127.0.0.{}", 10 + i);
      agent.arguments = {"--listen", common::ToString(agent.http)};
    }
    agent.admin = NextEndpoint();
    agent.control = NextEndpoint();
    const auto n = static_cast<std::size_t>(i) % spec.data_centres.size();
    for (const std::string& it :
         {std::string("--name"), agent.name, std::string("--data-centre"),
          spec.data_centres[n], std::string("--admin"),
          common::ToString(agent.admin), std::string("--control"),
          common::ToString(agent.control), std::string("--pool"), pool.pool,
          std::string("--upstream-name"), name, std::string("--upstream"),
          upstream, std::string("--log"), spec.log}) {
      agent.arguments.push_back(it);
    }
    for (const FleetProcess* router : OfRole("router")) {
      agent.arguments.emplace_back("--router");
      agent.arguments.push_back(common::ToString(router->control));
    }
  }
}

void Fleet::LimitMemory(const FleetSpec& spec) {
  if (spec.memory_mb == 0) return;
  for (FleetProcess& it : processes_) {
    if (it.role != "router" && it.role != "agent") continue;
    it.arguments.emplace_back("--memory-mb");
    it.arguments.push_back(std::to_string(spec.memory_mb));
  }
}

absl::Status Fleet::Spawn(FleetProcess& process) {
  auto child =
      ChildProcess::Start(process.program, process.arguments, process.log);
  if (!child.ok()) return child.status();
  process.child.reset();
  process.child.emplace(std::move(*child));
  return absl::OkStatus();
}

absl::Status Fleet::StartAll(const Experiment& experiment) {
  if (!options_.engines_only) AddPlatformAndRouters(experiment.fleet);
  for (const PoolSpec& it : experiment.fleet.pools) {
    AddPool(experiment.fleet, it);
  }
  LimitMemory(experiment.fleet);
  for (FleetProcess& it : processes_) {
    absl::Status status = Spawn(it);
    if (!status.ok()) return status;
  }
  if (!options_.publish) return absl::OkStatus();
  if (!options_.engines_only) {
    absl::Status published = Publish(experiment);
    if (!published.ok()) return published;
  }
  return WaitUntilReady();
}

absl::Status Fleet::Publish(const Experiment& experiment) {
  std::string folder = experiment.config_folder;
  if (folder.empty()) {
    folder = options_.work_folder + "/config";
    std::filesystem::create_directories(folder);
    std::ofstream(folder + "/10-experiment.json") << experiment.config.dump(2);
  }
  const FleetProcess* platform = Find("platform");
  const std::string log = options_.work_folder + "/publish.log";
  const auto deadline = std::chrono::steady_clock::now() + kReadyTimeout;
  int exit_code = -1;
  // Retry, because the platform may not listen yet.
  while (exit_code != 0 && std::chrono::steady_clock::now() < deadline) {
    auto child =
        ChildProcess::Start(options_.programs + "/Shallotbeam/shallotbeam",
                            {"config", "publish", folder, "--platform",
                             common::ToString(platform->http)},
                            log);
    if (!child.ok()) return child.status();
    while (!child->ExitCode()) std::this_thread::sleep_for(milliseconds(5));
    exit_code = *child->ExitCode();
    if (exit_code != 0) std::this_thread::sleep_for(kPollInterval);
  }
  if (exit_code == 0) return absl::OkStatus();
  return absl::UnavailableError(
      fmt::format("publishing {} failed, see {}", folder, log));
}

bool Fleet::IsReady(const FleetProcess& router) const {
  const auto response =
      FetchNow(router.admin, "GET", "/status", "", kCallTimeout);
  const json status = json::parse(response.body, nullptr, false);
  if (!status.is_object() || status.value("config_version", 0) == 0) {
    return false;
  }
  std::size_t alive = 0;
  for (const json& agent : status["agents"]) {
    if (agent.value("alive", false)) ++alive;
  }
  return alive == OfRole("agent").size();
}

absl::Status Fleet::WaitUntilReady() {
  const auto deadline = std::chrono::steady_clock::now() + kReadyTimeout;
  std::string not_ready;
  while (std::chrono::steady_clock::now() < deadline) {
    not_ready.clear();
    for (const FleetProcess* it : OfRole("router")) {
      if (!IsReady(*it)) not_ready = it->name;
    }
    for (const FleetProcess* it : OfRole("engine")) {
      const auto health =
          FetchNow(it->http, "GET", "/health", "", kCallTimeout);
      if (health.status != 200) not_ready = it->name;
    }
    if (not_ready.empty()) return absl::OkStatus();
    std::this_thread::sleep_for(kPollInterval);
  }
  return absl::UnavailableError(fmt::format("{} is not ready, see {}/{}.log",
                                            not_ready, options_.work_folder,
                                            not_ready));
}

}  // namespace shallotbeam::load
