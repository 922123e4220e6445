#include "Load/Run.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>

#include "Config/Document.h"
#include "Load/Generator.h"
#include "Load/Sampler.h"

namespace shallotbeam::load {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{2000};
constexpr milliseconds kCheckInterval{100};

const json& NoEngineFaults() {
  static const json no_faults = {
      {"slow", 1}, {"error_rate", 0}, {"hang", false}, {"refuse", false}};
  return no_faults;
}

const json& NoPlatformFaults() {
  static const json no_faults = {
      {"down", false}, {"lose_answers", false}, {"delay_ms", 0}};
  return no_faults;
}

json FetchJson(const common::Endpoint& endpoint, const std::string& target) {
  const auto response = FetchNow(endpoint, "GET", target, "", kCallTimeout);
  return json::parse(response.body, nullptr, false);
}

struct ResourceUse {
  double cpu_seconds = 0;
  double control_bytes = 0;
};

std::map<std::string, ResourceUse> ReadResourceUse(const Fleet& fleet) {
  std::map<std::string, ResourceUse> use;
  for (const FleetProcess& it : fleet.Processes()) {
    ResourceUse& entry = use[it.name];
    entry.cpu_seconds = CpuSeconds(it.child->Pid());
    if (it.admin.port == 0) continue;
    const json status = FetchJson(it.admin, "/status");
    if (!status.is_object() || !status.contains("control")) continue;
    entry.control_bytes = status["control"].value("bytes_sent", 0.0);
  }
  return use;
}

// Runs all phases once.
class PhaseRunner {
 public:
  PhaseRunner(const Experiment& experiment, Fleet& fleet,
              std::vector<common::Endpoint> entry_points, SampleTarget target)
      : experiment_(experiment),
        fleet_(fleet),
        generator_(context_, experiment.seed, std::move(entry_points)),
        sampler_(context_, std::move(target)),
        client_(context_),
        timer_(context_),
        check_timer_(context_),
        signals_(context_, SIGINT, SIGTERM) {}

  // Returns false if SIGINT or SIGTERM interrupted the run.
  bool Run() {
    signals_.async_wait([this](const auto& ec, int) {
      if (ec) return;
      interrupted_ = true;
      context_.stop();
    });
    sampler_.Start();
    CheckProcesses();
    StartPhase(0);
    context_.run();
    return !interrupted_;
  }

  const Generator& LoadGenerator() const { return generator_; }
  const Sampler& FleetSampler() const { return sampler_; }
  const std::set<std::string>& EndedProcesses() const { return ended_; }

 private:
  void StartPhase(std::size_t n) {
    if (n == experiment_.phases.size()) {
      sampler_.SetPhase("");
      drain_until_ = Clock::now() + experiment_.drain;
      return Drain();
    }
    const Phase& phase = experiment_.phases[n];
    sampler_.SetPhase(phase.name);
    for (const FaultSpec& it : phase.faults) SetFaults(it.process, it.faults);
    generator_.StartPhase(phase);
    timer_.expires_after(phase.length);
    timer_.async_wait([this, n](const auto&) {
      generator_.StopPhase();
      for (const FaultSpec& it : experiment_.phases[n].faults) {
        SetFaults(it.process, it.process == "platform" ? NoPlatformFaults()
                                                       : NoEngineFaults());
      }
      StartPhase(n + 1);
    });
  }

  void SetFaults(const std::string& process, const json& faults) {
    const FleetProcess* target = fleet_.Find(process);
    if (target == nullptr) {
      // A baseline run has no platform process.
      if (process != "platform") ended_.insert("unknown process " + process);
      return;
    }
    transport::HttpRequest request{.method = "POST", .target = "/faults"};
    request.body = faults.dump();
    client_.Fetch(target->http, std::move(request), kCallTimeout,
                  [](transport::CallEnd, const transport::HttpResponse&) {});
  }

  void CheckProcesses() {
    for (const std::string& it : fleet_.CheckProcesses()) ended_.insert(it);
    check_timer_.expires_after(kCheckInterval);
    check_timer_.async_wait([this](const auto&) { CheckProcesses(); });
  }

  void Drain() {
    const bool done = generator_.InFlight() == 0;
    if (done || Clock::now() >= drain_until_) {
      generator_.CancelInFlight();
      sampler_.Stop();
      context_.stop();
      return;
    }
    timer_.expires_after(kCheckInterval);
    timer_.async_wait([this](const auto&) { Drain(); });
  }

  const Experiment& experiment_;
  Fleet& fleet_;
  boost::asio::io_context context_{1};
  Generator generator_;
  Sampler sampler_;
  transport::HttpClient client_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer check_timer_;
  boost::asio::signal_set signals_;
  Clock::time_point drain_until_;
  std::set<std::string> ended_;
  bool interrupted_ = false;
};

SampleTarget SampleTargetOf(const Fleet& fleet,
                            const config::FleetConfig& config) {
  SampleTarget target;
  for (const FleetProcess* it : fleet.OfRole("router")) {
    target.queues.push_back(it->admin);
  }
  for (const FleetProcess* it : fleet.OfRole("engine")) {
    const auto pool = config.pools.find(common::PoolName(it->pool));
    const FleetProcess* agent = fleet.Find("agent-" + it->name);
    target.engines.push_back(
        {.name = it->name,
         .pool = it->pool,
         .engine = it->http,
         .agent_admin = agent == nullptr ? common::Endpoint{} : agent->admin,
         .fixed_slots =
             pool == config.pools.end() ? 0 : pool->second.initial_slots});
  }
  return target;
}

void ReadEngines(const Fleet& fleet, RunRecord& record) {
  for (const FleetProcess* it : fleet.OfRole("engine")) {
    record.pool_of_engine[it->name] = it->pool;
    record.engine_restarts += it->restarts;
    const json counts = FetchJson(it->http, "/counts");
    if (!counts.is_object()) continue;
    for (const auto& [key, runs] : counts["runs_by_key"].items()) {
      record.runs_by_key[key] += runs.get<int>();
    }
  }
}

}  // namespace

absl::StatusOr<config::FleetConfig> ReadConfig(const Experiment& experiment) {
  if (experiment.config_folder.empty()) {
    return config::ParseDocument(experiment.config.dump());
  }
  auto parsed = config::ReadFolder(experiment.config_folder);
  if (!parsed.ok()) return parsed.status();
  if (!parsed->problems.empty()) {
    return absl::InvalidArgumentError(
        config::ToString(parsed->problems.front()));
  }
  return parsed->config;
}

absl::StatusOr<RunRecord> RunExperiment(const Experiment& experiment,
                                        const config::FleetConfig& config,
                                        FleetOptions options,
                                        std::optional<Policy> baseline) {
  options.engines_only = baseline.has_value();
  auto fleet = Fleet::Start(experiment, options);
  if (!fleet.ok()) return fleet.status();
  std::vector<common::Endpoint> entry_points;
  SampleTarget target = SampleTargetOf(**fleet, config);
  std::unique_ptr<BaselineProxy> proxy;
  if (baseline) {
    std::map<std::string, std::vector<common::Endpoint>> engines;
    for (const FleetProcess* it : (*fleet)->OfRole("engine")) {
      engines[it->pool].push_back(it->http);
    }
    const common::Endpoint endpoint = FreeEndpoint();
    auto started = BaselineProxy::Start(endpoint, *baseline, config, engines);
    if (!started.ok()) return started.status();
    proxy = *std::move(started);
    target.queues.push_back(endpoint);
    const auto routers = static_cast<std::size_t>(experiment.fleet.routers);
    entry_points.assign(routers, endpoint);
  } else {
    for (const FleetProcess* it : (*fleet)->OfRole("router")) {
      entry_points.push_back(it->http);
    }
  }
  const auto before = ReadResourceUse(**fleet);
  const Clock::time_point started = Clock::now();
  PhaseRunner runner(experiment, **fleet, entry_points, std::move(target));
  if (!runner.Run()) return absl::CancelledError("interrupted");
  const double seconds =
      std::chrono::duration<double>(Clock::now() - started).count();

  RunRecord record;
  record.system = baseline ? "baseline" : "fleet";
  record.results = runner.LoadGenerator().Results();
  record.orders = runner.LoadGenerator().Orders();
  record.samples = runner.FleetSampler().Samples();
  record.ended_processes.assign(runner.EndedProcesses().begin(),
                                runner.EndedProcesses().end());
  ReadEngines(**fleet, record);
  const auto after = ReadResourceUse(**fleet);
  for (const FleetProcess& it : (*fleet)->Processes()) {
    const ResourceUse& from = before.at(it.name);
    const ResourceUse& to = after.at(it.name);
    record.processes.push_back(
        {.name = it.name,
         .role = it.role,
         .cpu_percent = (to.cpu_seconds - from.cpu_seconds) / seconds * 100,
         .control_bytes_per_second =
             (to.control_bytes - from.control_bytes) / seconds,
         .memory_bytes = ResidentBytes(it.child->Pid())});
  }
  return record;
}

}  // namespace shallotbeam::load
