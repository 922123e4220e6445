#include "Soak/SoakPlan.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace shallotbeam::soak {

namespace {

using common::Duration;
using fakes::Step;
using std::chrono::milliseconds;

// Deadline of the calls under load. The scenario ends when the last deadline
// has passed.
constexpr milliseconds kCallDeadline{6'000};
// Deadline of the calls after the last fault.
constexpr milliseconds kRecoveryDeadline{10'000};
constexpr milliseconds kMinFaultDuration{50};
constexpr milliseconds kMaxFaultDuration{2'000};
// Approximate time that a process needs to start.
constexpr milliseconds kProcessStartTime{400};

class Planner {
 public:
  explicit Planner(const SoakOptions& options)
      : options_(options), random_(options.seed) {
    scenario_.file = fmt::format("soak-{}", options.seed);
    scenario_.fleet.routers = RandomBetween(2, 3);
    scenario_.fleet.agents = RandomBetween(2, 4);
    scenario_.fleet.slots = RandomBetween(2, 6);
    scenario_.fleet.weights = {{"a", 1}, {"b", RandomBetween(1, 3)}};
    scenario_.fleet.seed = options.seed;
  }

  fakes::Scenario Plan() {
    PlanLoad();
    for (int i = 1; i <= scenario_.fleet.routers; ++i) {
      PlanProcess(fmt::format("r{}", i));
    }
    for (int i = 1; i <= scenario_.fleet.agents; ++i) {
      PlanProcess(fmt::format("a{}", i));
      PlanUpstream(fmt::format("a{}", i));
    }
    PlanStore();
    PlanRecovery();
    return std::move(scenario_);
  }

 private:
  int RandomBetween(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  Duration RandomBetween(Duration low, Duration high) {
    return milliseconds(
        RandomBetween(static_cast<int>(low / milliseconds(1)),
                      static_cast<int>(high / milliseconds(1))));
  }
  std::string RandomRouter() {
    return fmt::format("r{}", RandomBetween(1, scenario_.fleet.routers));
  }

  void Add(Duration at, std::string verb, std::vector<std::string> words,
           std::map<std::string, std::string> options = {}) {
    scenario_.steps.push_back(
        {.at = at,
         .verb = std::move(verb),
         .words = std::move(words),
         .options = std::move(options),
         .line = static_cast<int>(scenario_.steps.size()) + 1});
    last_step_at_ = std::max(last_step_at_, at);
  }

  void PlanLoad() {
    int flood = 0;
    for (const char* workspace : {"a", "b"}) {
      for (const char* call_type : {"plain", "stream", "key", "ticket"}) {
        const auto every = RandomBetween(milliseconds(60), milliseconds(200));
        std::map<std::string, std::string> call = {
            {"via", RandomRouter()},
            {"every", fmt::format("{}ms", every / milliseconds(1))},
            {"count", std::to_string(options_.fault_period / every)},
            {"cost", std::to_string(RandomBetween(3, 60))},
            {"deadline", fmt::format("{}ms", kCallDeadline.count())}};
        const std::string name(call_type);
        if (name == "stream") call["stream"] = "yes";
        if (name == "key") call["key"] = fmt::format("f{}", flood);
        if (name == "ticket") call["ticket"] = "yes";
        if (name == "key" || name == "ticket") {
          call["kind"] = "order";
          call["again"] = RandomRouter();
        }
        Add(RandomBetween(milliseconds(0), milliseconds(300)), "flood",
            {workspace}, call);
        ++flood;
      }
    }
  }

  Duration RandomFaultDuration() {
    return RandomBetween(kMinFaultDuration, kMaxFaultDuration);
  }

  // Adds successive faults of one process.
  void PlanProcess(const std::string& name) {
    Duration at = RandomBetween(milliseconds(0), options_.fault_period);
    for (int i = RandomBetween(0, options_.max_faults_in_series); i > 0; --i) {
      if (at > options_.fault_period) return;
      const Duration end = at + RandomFaultDuration();
      switch (RandomBetween(0, 3)) {
        case 0:
          Add(at, "kill", {name});
          Add(end, "restart", {name});
          break;
        case 1:
          // Sends SIGTERM twice, or SIGTERM and a kill during the shutdown.
          Add(at, "terminate", {name});
          Add(end, RandomBetween(0, 1) == 0 ? "terminate" : "kill", {name});
          Add(end + kProcessStartTime, "restart", {name});
          break;
        default:
          Add(at, "freeze", {name});
          Add(end, "resume", {name});
      }
      at = end + kProcessStartTime + RandomFaultDuration();
    }
  }

  void PlanUpstream(const std::string& agent) {
    Duration at = RandomBetween(milliseconds(0), options_.fault_period);
    for (int i = RandomBetween(0, options_.max_faults_in_series); i > 0; --i) {
      if (at > options_.fault_period) return;
      const std::vector<std::string> modes = {"slow", "errors", "silent",
                                              "refuses", "crash"};
      const std::string& mode =
          modes.at(RandomBetween(0, static_cast<int>(modes.size()) - 1));
      const Duration end = at + RandomFaultDuration();
      Add(at, "upstream", {agent, mode});
      if (mode != "crash") Add(end, "upstream", {agent, "up"});
      at = end + RandomFaultDuration();
    }
  }

  void PlanStore() {
    Duration at = RandomBetween(milliseconds(0), options_.fault_period);
    for (int i = RandomBetween(0, options_.max_faults_in_series); i > 0; --i) {
      if (at > options_.fault_period) return;
      const std::vector<std::string> modes = {"down", "slow", "loses-answers"};
      const Duration end = at + RandomFaultDuration();
      Add(at, "store", {modes.at(RandomBetween(0, 2))});
      Add(end, "store", {"up"});
      // Operators publish while the store is available.
      if (RandomBetween(0, 1) == 0) Add(end, "publish", {});
      at = end + RandomFaultDuration();
    }
  }

  void PlanRecovery() {
    const Duration at = last_step_at_ + kProcessStartTime;
    Add(at, "store", {"up"});
    for (int i = 1; i <= scenario_.fleet.agents; ++i) {
      Add(at, "upstream", {fmt::format("a{}", i), "up"});
    }
    Add(at, "wait", {"answered"});
    Add(at, "publish", {});
    Add(at, "wait", {"in-force"});
    for (int i = 1; i <= scenario_.fleet.routers; ++i) {
      const std::string router = fmt::format("r{}", i);
      Add(at, "wait", {"ready", router});
      for (const char* workspace : {"a", "b"}) {
        const std::string call = fmt::format("after-{}-{}", router, workspace);
        Add(at, "send", {call},
            {{"via", router},
             {"workspace", workspace},
             {"cost", "5"},
             {"deadline", fmt::format("{}ms", kRecoveryDeadline.count())}});
        Add(at, "wait", {"call", call, "completed"});
      }
    }
    // An agent must exit by itself after one SIGTERM.
    for (int i = 1; i <= scenario_.fleet.agents; ++i) {
      const std::string agent = fmt::format("a{}", i);
      Add(at, "terminate", {agent});
      Add(at, "wait", {"exited", agent, "0"});
    }
  }

  SoakOptions options_;
  std::mt19937_64 random_;
  fakes::Scenario scenario_;
  Duration last_step_at_{};
};

}  // namespace

fakes::Scenario MakeSoakScenario(const SoakOptions& options) {
  return Planner(options).Plan();
}

}  // namespace shallotbeam::soak
