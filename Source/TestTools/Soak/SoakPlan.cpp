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

// Longest deadline of a call: the run ends when the last one has passed.
constexpr milliseconds kDeadline{6'000};
// Calls after the last fault have this long.
constexpr milliseconds kRecovery{10'000};
constexpr milliseconds kShortestFault{50};
constexpr milliseconds kLongestFault{2'000};
// A process takes about this long to start.
constexpr milliseconds kStart{400};

class Planner {
 public:
  explicit Planner(const SoakOptions& options)
      : options_(options), random_(options.seed) {
    scenario_.file = fmt::format("soak-{}", options.seed);
    scenario_.fleet.routers = Between(2, 3);
    scenario_.fleet.agents = Between(2, 4);
    scenario_.fleet.slots = Between(2, 6);
    scenario_.fleet.weights = {{"a", 1}, {"b", Between(1, 3)}};
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
  int Between(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  Duration Between(Duration low, Duration high) {
    return milliseconds(Between(static_cast<int>(low / milliseconds(1)),
                                static_cast<int>(high / milliseconds(1))));
  }
  std::string AnyRouter() {
    return fmt::format("r{}", Between(1, scenario_.fleet.routers));
  }

  void Add(Duration at, std::string verb, std::vector<std::string> words,
           std::map<std::string, std::string> options = {}) {
    scenario_.steps.push_back(
        {.at = at,
         .verb = std::move(verb),
         .words = std::move(words),
         .options = std::move(options),
         .line = static_cast<int>(scenario_.steps.size()) + 1});
    last_ = std::max(last_, at);
  }

  void PlanLoad() {
    int flood = 0;
    for (const char* workspace : {"a", "b"}) {
      for (const char* sort : {"plain", "stream", "key", "ticket"}) {
        const auto every = Between(milliseconds(60), milliseconds(200));
        std::map<std::string, std::string> call = {
            {"via", AnyRouter()},
            {"every", fmt::format("{}ms", every / milliseconds(1))},
            {"count", std::to_string(options_.faulty / every)},
            {"cost", std::to_string(Between(3, 60))},
            {"deadline", fmt::format("{}ms", kDeadline.count())}};
        const std::string name(sort);
        if (name == "stream") call["stream"] = "yes";
        if (name == "key") call["key"] = fmt::format("f{}", flood);
        if (name == "ticket") call["ticket"] = "yes";
        if (name == "key" || name == "ticket") {
          call["kind"] = "order";
          call["again"] = AnyRouter();
        }
        Add(Between(milliseconds(0), milliseconds(300)), "flood", {workspace},
            call);
        ++flood;
      }
    }
  }

  Duration FaultLength() { return Between(kShortestFault, kLongestFault); }

  // Faults of one process, one after the other.
  void PlanProcess(const std::string& name) {
    Duration at = Between(milliseconds(0), options_.faulty);
    for (int i = Between(0, options_.series); i > 0; --i) {
      if (at > options_.faulty) return;
      const Duration end = at + FaultLength();
      switch (Between(0, 3)) {
        case 0:
          Add(at, "kill", {name});
          Add(end, "restart", {name});
          break;
        case 1:
          // Told twice to stop, or killed while it stops.
          Add(at, "terminate", {name});
          Add(end, Between(0, 1) == 0 ? "terminate" : "kill", {name});
          Add(end + kStart, "restart", {name});
          break;
        default:
          Add(at, "freeze", {name});
          Add(end, "resume", {name});
      }
      at = end + kStart + FaultLength();
    }
  }

  void PlanUpstream(const std::string& agent) {
    Duration at = Between(milliseconds(0), options_.faulty);
    for (int i = Between(0, options_.series); i > 0; --i) {
      if (at > options_.faulty) return;
      const std::vector<std::string> modes = {"slow", "errors", "silent",
                                              "refuses", "crash"};
      const std::string& mode =
          modes.at(Between(0, static_cast<int>(modes.size()) - 1));
      const Duration end = at + FaultLength();
      Add(at, "upstream", {agent, mode});
      if (mode != "crash") Add(end, "upstream", {agent, "up"});
      at = end + FaultLength();
    }
  }

  void PlanStore() {
    Duration at = Between(milliseconds(0), options_.faulty);
    for (int i = Between(0, options_.series); i > 0; --i) {
      if (at > options_.faulty) return;
      const std::vector<std::string> modes = {"down", "slow", "loses-answers"};
      const Duration end = at + FaultLength();
      Add(at, "store", {modes.at(Between(0, 2))});
      Add(end, "store", {"up"});
      // Operators publish while it works.
      if (Between(0, 1) == 0) Add(end, "publish", {});
      at = end + FaultLength();
    }
  }

  void PlanRecovery() {
    const Duration at = last_ + kStart;
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
             {"deadline", fmt::format("{}ms", kRecovery.count())}});
        Add(at, "wait", {"call", call, "completed"});
      }
    }
    // What was told to stop once more ends by itself.
    for (int i = 1; i <= scenario_.fleet.agents; ++i) {
      const std::string agent = fmt::format("a{}", i);
      Add(at, "terminate", {agent});
      Add(at, "wait", {"exited", agent, "0"});
    }
  }

  SoakOptions options_;
  std::mt19937_64 random_;
  fakes::Scenario scenario_;
  Duration last_{};
};

}  // namespace

fakes::Scenario MakeSoak(const SoakOptions& options) {
  return Planner(options).Plan();
}

}  // namespace shallotbeam::soak
