#include "Fakes/Fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "Common/Logging.h"

namespace shallotbeam::fakes {

namespace {

constexpr common::Duration kSampleInterval = std::chrono::milliseconds(20);
constexpr const char* kConfigKey = "config/current";

std::string MakeDocument(const FleetOptions& options) {
  const std::vector<std::string> kinds = {"chat", "urgent", "background",
                                          "order"};
  nlohmann::json document;
  document["pools"][kPool] = {{"type", "model"},
                              {"initial_slots", options.slots},
                              {"min_slots", options.slots},
                              {"max_slots", options.slots}};
  document["kinds"]["chat"] = {{"pool", kPool}};
  document["kinds"]["urgent"] = {{"pool", kPool}, {"urgency", "urgent"}};
  document["kinds"]["background"] = {{"pool", kPool},
                                     {"urgency", "background"}};
  document["kinds"]["order"] = {{"pool", kPool}, {"idempotent", false}};
  for (const auto& [name, weight] : options.weights) {
    document["workspaces"][name] = {
        {"weight", weight}, {"open", true}, {"kinds", kinds}};
  }
  return document.dump();
}

}  // namespace

Fleet::Fleet(const FleetOptions& options)
    : options_(options),
      simulation_(options.step, options.delay, options.seed) {
  common::SetLogLevel(common::Subsystem::kConfig, common::LogLevel::kError);
  Publish();
  std::vector<common::Endpoint> endpoints;
  for (int i = 1; i <= options.routers; ++i) {
    const std::string name = fmt::format("r{}", i);
    endpoints.push_back({.address = fmt::format("10.0.0.{}", i), .port = 7000});
    routers_[name] =
        std::make_unique<FakeRouter>(simulation_, name, endpoints.back());
    routers_[name]->Start();
  }
  for (int i = 1; i <= options.agents; ++i) {
    const std::string name = fmt::format("a{}", i);
    agents_[name] = std::make_unique<FakeAgent>(
        simulation_, name, endpoints,
        [this](const std::string& router) -> FakeRouter& {
          return *routers_.at(router);
        });
    agents_[name]->Start();
  }
  // Time for all processes to read the configuration and discover their peers.
  RunFor(std::chrono::seconds(1));
  TakeSample();
}

std::size_t Fleet::Send(CallOptions options) {
  if (options.content == 0) options.content = next_content_++;
  const std::size_t index = simulation_.records.calls.size();
  simulation_.records.calls.push_back({.options = options, .sent = Now()});
  const std::string router = options.router;
  if (!simulation_.network.IsAlive(router)) {
    simulation_.records.calls[index].answers.push_back(
        {.type = AnswerType::kBroken, .at = Now()});
    return index;
  }
  simulation_.network.Post(
      router, {}, [this, router, index] { routers_[router]->OnCall(index); });
  return index;
}

void Fleet::Disconnect(std::size_t index) {
  Call& call = simulation_.records.calls[index];
  if (call.disconnected || !call.answers.empty()) return;
  call.disconnected = true;
  const std::string router = call.options.router;
  simulation_.network.Post(router, {}, [this, router, index] {
    routers_[router]->OnEvent(
        routing::CallerDisconnected{.id = simulation_.records.calls[index].id});
  });
}

void Fleet::Kill(const std::string& name) {
  if (!simulation_.network.IsAlive(name)) return;
  if (routers_.count(name) != 0) {
    routers_[name]->Kill();
    // Also breaks calls that had not reached the router yet.
    for (Call& call : simulation_.records.calls) {
      const bool open = call.answers.empty() && call.options.router == name;
      if (open) call.answers.push_back({.type = AnswerType::kBroken});
    }
    return;
  }
  agents_.at(name)->Kill();
}

void Fleet::Restart(const std::string& name) {
  Kill(name);
  if (routers_.count(name) != 0) return routers_[name]->Start();
  agents_.at(name)->Start();
}

void Fleet::Freeze(const std::string& name) {
  simulation_.network.Freeze(name);
}

void Fleet::Resume(const std::string& name) {
  simulation_.network.Resume(name);
}

void Fleet::Cut(const std::string& a, const std::string& b) {
  simulation_.network.Cut(a, b);
}

void Fleet::Heal(const std::string& a, const std::string& b) {
  simulation_.network.Heal(a, b);
}

void Fleet::HealAll() {
  for (const auto& [router, unused] : routers_) {
    Heal(router, kStoreName);
    if (!simulation_.network.IsAlive(router)) Restart(router);
    if (simulation_.network.IsFrozen(router)) Resume(router);
    for (const auto& [agent, unused_agent] : agents_) Heal(router, agent);
  }
  for (const auto& [agent, fake] : agents_) {
    if (!simulation_.network.IsAlive(agent)) Restart(agent);
    if (simulation_.network.IsFrozen(agent)) Resume(agent);
    fake->Upstream().SetMode(UpstreamMode::kUp);
  }
  SetStore(StoreMode::kUp);
}

void Fleet::Drain(const std::string& name) {
  if (agents_.count(name) != 0) {
    return simulation_.network.Post(name, {}, [this, name] {
      // A frozen process receives the signal when it resumes, so the time is
      // recorded here.
      simulation_.records.leaving.try_emplace(name, Now());
      agents_.at(name)->OnEvent(admission::DrainRequested{});
    });
  }
  simulation_.network.Post(name, {}, [this, name] {
    routers_.at(name)->OnEvent(routing::DrainRequested{});
  });
}

void Fleet::Leave(const std::string& agent) {
  simulation_.records.listed_leaving.insert(agent);
  simulation_.records.leaving.try_emplace(agent, Now());
  for (const auto& [router, fake] : routers_) {
    simulation_.network.Post(
        router, std::chrono::milliseconds(500), [it = fake.get(), agent] {
          it->OnEvent(routing::HostListReceived{
              .hosts = {
                  {.process = common::ProcessName(agent), .leaving = true}}});
        });
  }
}

void Fleet::SetUpstream(const std::string& agent, UpstreamMode mode) {
  agents_.at(agent)->Upstream().SetMode(mode);
}

void Fleet::CrashUpstream(const std::string& agent) {
  agents_.at(agent)->Upstream().Crash();
}

void Fleet::Publish() {
  simulation_.store.values[kConfigKey] = {
      .revision = ++simulation_.store.last_revision,
      .value = MakeDocument(options_)};
}

std::uint64_t Fleet::LowestVersion() const {
  std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
  const auto update = [&](const std::string& name,
                          const config::FleetConfig& config) {
    if (!simulation_.network.IsAlive(name)) return;
    lowest = std::min(lowest, common::ToNumber(config.version));
  };
  for (const auto& [name, it] : routers_) update(name, it->State().config);
  for (const auto& [name, it] : agents_) update(name, it->State().config);
  return lowest;
}

std::uint64_t Fleet::PublishedVersion() const {
  return simulation_.store.values.at(kConfigKey).revision;
}

bool Fleet::Drained(const std::string& name) const {
  const auto agent = agents_.find(name);
  if (agent != agents_.end()) return agent->second->Drained();
  return routers_.at(name)->Drained();
}

void Fleet::TakeSample() {
  Sample sample{.at = Now()};
  const std::vector<Run>& runs = simulation_.records.runs;
  for (; sampled_runs_ < runs.size(); ++sampled_runs_) {
    const CallOptions& call =
        simulation_.records.calls[runs[sampled_runs_].call].options;
    service_[call.workspace] += call.cost / options_.weights.at(call.workspace);
  }
  sample.service = service_;
  for (const auto& [name, router] : routers_) {
    if (!simulation_.network.IsAlive(name)) continue;
    const auto pool = router->State().pools.find(common::PoolName(kPool));
    if (pool == router->State().pools.end()) continue;
    for (const auto& [workspace, queue] : pool->second.queue.workspaces) {
      sample.waiting[workspace.value] += queue.waiting;
    }
  }
  for (const auto& [name, agent] : agents_) {
    const admission::AgentState& state = agent->State();
    const int used =
        static_cast<int>(state.running.size() + state.backoff_slots.size());
    const bool serves = simulation_.network.IsAlive(name) &&
                        !simulation_.network.IsFrozen(name) &&
                        state.upstream_up && !state.draining &&
                        simulation_.records.leaving.count(name) == 0;
    if (serves && used < options_.slots) sample.idle_slot = true;
  }
  samples_.push_back(std::move(sample));
  simulation_.timeline.RunAfter(kSampleInterval, [this] { TakeSample(); });
}

}  // namespace shallotbeam::fakes
