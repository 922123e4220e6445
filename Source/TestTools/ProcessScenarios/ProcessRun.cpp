#include "ProcessScenarios/ProcessRun.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "Load/Fleet.h"
#include "ProcessScenarios/Callers.h"
#include "ProcessScenarios/FleetProbes.h"
#include "ProcessScenarios/ProcessChecks.h"

namespace shallotbeam::process_scenarios {

namespace {

using fakes::Step;
using nlohmann::json;
using std::chrono::milliseconds;

// Timeout for conditions that hold within 2 s on an idle machine.
constexpr milliseconds kWaitTimeout{30'000};
constexpr milliseconds kFinalTimeout{60'000};
constexpr milliseconds kPollInterval{10};
constexpr milliseconds kResendDelay{400};
constexpr milliseconds kFirstResendDelay{50};
constexpr int kMaxSends = 12;
// Well below the 1 s timeout of store operations.
constexpr int kStoreDelayMs = 400;
// Store delay for concurrent publications. Longer than the time between the
// starts of the two publishers.
constexpr int kRaceDelayMs = 900;
constexpr int kSlowFactor = 10;

milliseconds ToDuration(const std::string& text) {
  const double scale = text.ends_with("ms") ? 1 : 1000;
  return milliseconds(static_cast<int>(std::stod(text) * scale));
}

class Runner {
 public:
  Runner(const fakes::Scenario& scenario, ProcessRunOptions options)
      : scenario_(scenario),
        options_(std::move(options)),
        callers_([this](const std::string& name) {
          return fleet_->Find(ProcessNameOf(name))->http;
        }) {}

  ProcessRunResult Run() {
    if (!Start()) return std::move(result_);
    std::vector<Step> steps = scenario_.steps;
    std::stable_sort(steps.begin(), steps.end(),
                     [](const Step& a, const Step& b) { return a.at < b.at; });
    start_ = Clock::now();
    for (const Step& step : steps) {
      const auto due =
          start_ + std::chrono::duration_cast<Clock::duration>(step.at);
      PollUntil(due);
      // A step that is late delays all later steps, to keep the intervals
      // between them.
      start_ += std::max(Clock::duration{}, Clock::now() - due);
      const std::string problem = Apply(step);
      if (problem.empty()) continue;
      Report(fmt::format("{}:{}: {}", scenario_.file, step.line, problem));
    }
    Finish();
    return std::move(result_);
  }

 private:
  // An order (a request with a key) that its caller sends repeatedly until its
  // outcome is known.
  struct Order {
    std::size_t last = 0;
    std::string routers[2];
    int sends = 1;
    std::vector<std::size_t> calls;
  };
  struct Flood {
    CallOptions call;
    std::string again;
    std::string key;
    int remaining = 0;
    int sent = 0;
    milliseconds every{};
    Clock::time_point next;
  };

  bool Start() {
    load::Experiment experiment;
    experiment.config = MakeConfig(scenario_.fleet, 0);
    experiment.fleet.routers = scenario_.fleet.routers;
    experiment.fleet.pools = {
        {.pool = "work",
         .agents = scenario_.fleet.agents,
         .engine = {{"first-token-ms", "5"}, {"token-ms", "5"}}}};
    std::filesystem::remove_all(options_.work_folder);
    std::filesystem::create_directories(options_.work_folder);
    auto fleet =
        load::Fleet::Start(experiment, {.programs = options_.programs,
                                        .work_folder = options_.work_folder,
                                        .first_port = options_.first_port,
                                        .host_list = true,
                                        .publish = !scenario_.unconfigured});
    if (fleet.ok()) {
      fleet_ = *std::move(fleet);
      return true;
    }
    Report(fmt::format("{}: {}", scenario_.file, fleet.status().ToString()));
    return false;
  }

  void Report(std::string line) {
    result_.violations.push_back(std::move(line));
  }

  const load::FleetProcess& Process(const std::string& name) const {
    return *fleet_->Find(name);
  }

  void PollUntil(Clock::time_point time) {
    while (Clock::now() < time) Poll();
  }

  void Poll() {
    callers_.RunFor(kPollInterval);
    fleet_->CheckProcesses();  // restarts engines that have ended
    for (Flood& flood : floods_) SendDue(flood);
    for (Order& it : orders_) SendDue(it);
  }

  void SendDue(Flood& flood) {
    if (flood.remaining == 0 || Clock::now() < flood.next) return;
    --flood.remaining;
    flood.next += flood.every;
    CallOptions call = flood.call;
    const bool order = !flood.again.empty();
    if (!flood.key.empty()) {
      call.key = fmt::format("{}-{}", flood.key, flood.sent);
    }
    if (order && flood.sent % 2 == 1) std::swap(call.router, flood.again);
    const std::size_t index = Send(call);
    if (order) {
      orders_.push_back({.last = index, .routers = {call.router, flood.again}});
      orders_.back().calls = {index};
    }
    if (order && flood.sent % 2 == 1) std::swap(call.router, flood.again);
    ++flood.sent;
  }

  void SendDue(Order& order) {
    bool known_not_run = false;
    bool open = false;
    for (const std::size_t it : order.calls) {
      const Outcome outcome = callers_.Calls()[it].outcome;
      known_not_run |= outcome == Outcome::kNotRun;
      open |= outcome == Outcome::kOpen;
    }
    const Call& last = callers_.Calls()[order.last];
    // A completed order is sent until it has been sent three times, to test the
    // replay of its result.
    const bool done = last.outcome == Outcome::kCompleted && order.sends > 2;
    const bool no_ticket = last.options.ticket && last.options.key.empty();
    if (known_not_run || done || no_ticket || order.sends >= kMaxSends) return;
    const auto now = Clock::now();
    const bool second = order.sends == 1 && now - last.sent > kFirstResendDelay;
    const bool next = !open && now - last.ended > kResendDelay;
    if (!second && !next) return;
    CallOptions again = last.options;
    again.router = order.routers[order.sends % 2];
    ++order.sends;
    order.last = Send(again);
    order.calls.push_back(order.last);
  }

  std::size_t Send(const CallOptions& options) {
    const std::size_t index = callers_.Send(options);
    callers_.Calls()[index].possibly_unread =
        frozen_.count(options.router) != 0;
    return index;
  }

  static CallOptions OptionsOf(const Step& step) {
    CallOptions call;
    for (const auto& [name, value] : step.options) {
      if (name == "via") call.router = value;
      if (name == "workspace") call.workspace = value;
      if (name == "kind") call.kind = value;
      if (name == "key") call.key = value;
      if (name == "cost") call.tokens = std::stoi(value);
      if (name == "deadline") call.deadline = ToDuration(value);
      if (name == "ticket") call.ticket = value == "yes";
      if (name == "stream") call.stream = value == "yes";
      if (name == "crashes") call.crashes = value == "yes";
    }
    return call;
  }

  // Returns a description of the problem, or an empty string.
  std::string Apply(const Step& step) {
    const std::string& verb = step.verb;
    if (verb == "expect") return Expect(step.words);
    if (verb == "wait") return Wait(step.words, kWaitTimeout);
    if (verb == "race") return PublishConcurrently();
    if (verb == "publish") {
      const int code = WaitForExit(*Publish());
      return code == 0 ? "" : fmt::format("publish exited with {}", code);
    }
    if (verb == "send") {
      calls_[step.words[0]] = Send(OptionsOf(step));
    } else if (verb == "resend") {
      Resend(step);
    } else if (verb == "flood") {
      StartFlood(step);
    } else if (verb == "store") {
      SetStore(step.words[0]);
    } else if (verb == "upstream") {
      SetUpstream(step.words[0], step.words[1]);
    } else if (verb == "leave") {
      Leave(step.words[0]);
    } else {
      SignalOrStart(verb, step.words[0]);
    }
    return "";
  }

  void Resend(const Step& step) {
    const std::size_t first = calls_.at(step.options.at("of"));
    CallOptions call = callers_.Calls()[first].options;
    call.router = step.options.at("via");
    const auto deadline = step.options.find("deadline");
    if (deadline != step.options.end()) {
      call.deadline = ToDuration(deadline->second);
    }
    // A crashing call is resent with an equal body, for an equal fingerprint.
    // The bodies of other calls without a key contain their own tag.
    calls_[step.words[0]] =
        call.crashes ? callers_.SendAgain(first, call.router) : Send(call);
  }

  void StartFlood(const Step& step) {
    Flood flood{.call = OptionsOf(step),
                .remaining = std::stoi(step.options.at("count")),
                .every = ToDuration(step.options.at("every")),
                .next = Clock::now()};
    flood.call.workspace = step.words[0];
    flood.key = flood.call.key;
    flood.call.key.clear();
    if (step.options.count("again")) flood.again = step.options.at("again");
    floods_.push_back(std::move(flood));
  }

  void SetStore(const std::string& mode, int delay_ms = kStoreDelayMs) {
    const json faults = {{"down", mode == "down"},
                         {"lose_answers", mode == "loses-answers"},
                         {"delay_ms", mode == "slow" ? delay_ms : 0}};
    FetchJson(Process("platform").http, "/faults", "POST", faults.dump());
  }

  void SetUpstream(const std::string& agent, const std::string& mode) {
    const std::string engine = EngineNameOf(agent);
    if (mode == "crash") return fleet_->Signal(engine, SIGKILL);
    const json faults = {{"slow", mode == "slow" ? kSlowFactor : 1},
                         {"error_rate", mode == "errors" ? 1 : 0},
                         {"hang", mode == "silent"},
                         {"refuse", mode == "refuses"}};
    FetchJson(Process(engine).http, "/faults", "POST", faults.dump());
  }

  void Leave(const std::string& agent) {
    const json hosts = MakeHostList(*fleet_, ProcessNameOf(agent));
    FetchJson(Process("platform").http, "/hosts", "POST", hosts.dump());
  }

  void SignalOrStart(const std::string& verb, const std::string& name) {
    const std::string process = ProcessNameOf(name);
    if (verb == "kill") fleet_->Signal(process, SIGKILL);
    if (verb == "terminate") fleet_->Signal(process, SIGTERM);
    if (verb == "resume") {
      fleet_->Signal(process, SIGCONT);
      frozen_.erase(name);
    }
    if (verb == "freeze") {
      fleet_->Signal(process, SIGSTOP);
      frozen_.insert(name);
      for (Call& call : callers_.Calls()) {
        const bool recent = Clock::now() - call.sent < std::chrono::seconds(1);
        if (call.options.router == name && recent) call.possibly_unread = true;
      }
    }
    if (verb != "restart") return;
    const absl::Status status = fleet_->StartAgain(process);
    if (!status.ok()) Report(status.ToString());
  }

  std::unique_ptr<load::ChildProcess> Publish() {
    const std::string folder =
        fmt::format("{}/config-{}", options_.work_folder, ++config_variant_);
    std::filesystem::create_directories(folder);
    std::ofstream(folder + "/10-scenario.json")
        << MakeConfig(scenario_.fleet, config_variant_).dump(2);
    auto child = load::ChildProcess::Start(
        options_.programs + "/Shallotbeam/shallotbeam",
        {"config", "publish", folder, "--platform",
         common::ToString(Process("platform").http)},
        fmt::format("{}/publish-{}.log", options_.work_folder,
                    config_variant_));
    if (!child.ok()) return nullptr;
    return std::make_unique<load::ChildProcess>(*std::move(child));
  }

  // Waits for the exit of the process first, since ChildProcess::End() sends
  // SIGTERM immediately.
  static int WaitForExit(load::ChildProcess& child) {
    const auto deadline = Clock::now() + kWaitTimeout;
    while (!child.ExitCode() && Clock::now() < deadline) {
      std::this_thread::sleep_for(kPollInterval);
    }
    return child.End(kPollInterval);
  }

  // Publishes twice at the same time and checks that one publisher succeeds and
  // the other one reports the conflict. The slow store makes both read the
  // current version before either writes.
  std::string PublishConcurrently() {
    SetStore("slow", kRaceDelayMs);
    const auto first = Publish();
    const auto second = Publish();
    std::set<int> codes = {WaitForExit(*first), WaitForExit(*second)};
    SetStore("up");
    constexpr int kExitConflict = 3;
    if (codes == std::set<int>{0, kExitConflict}) return "";
    return fmt::format("the publishers exited with {} to {}", *codes.begin(),
                       *codes.rbegin());
  }

  // Returns whether the expectation may still become true. The final outcome of
  // a call doesn't change any more.
  bool MayChange(const std::vector<std::string>& words) const {
    if (words[0] != "call") return true;
    const auto it = calls_.find(words[1]);
    return it != calls_.end() &&
           callers_.Calls()[it->second].outcome == Outcome::kOpen;
  }

  std::string Wait(const std::vector<std::string>& words, milliseconds limit) {
    const auto deadline = Clock::now() + limit;
    std::string problem = Expect(words);
    while (!problem.empty() && Clock::now() < deadline && MayChange(words)) {
      Poll();
      problem = Expect(words);
    }
    return problem.empty() ? "" : "timed out: " + problem;
  }

  std::string Expect(const std::vector<std::string>& words) {
    const std::string& property = words[0];
    if (property == "in-force") return FindOutdatedConfig(*fleet_, &published_);
    if (property == "answered") return ExpectAnswered();
    if (property == "runs") return ExpectRuns(words[1], std::stoi(words[2]));
    if (property == "completed" || property == "share") {
      return ExpectCompleted(words[1], std::stoi(words[2]),
                             property == "share");
    }
    if (property == "ratio") {
      const int done = CountCompleted(callers_.Calls(), words[1]).first;
      const int other = CountCompleted(callers_.Calls(), words[2]).first;
      if (other > 0 && 100 * done >= std::stoi(words[3]) * other) return "";
      return fmt::format("{} completed {} calls, {} {}", words[1], done,
                         words[2], other);
    }
    if (property == "crashes") {
      const int crashes = CountCrashes(*fleet_);
      if (crashes <= std::stoi(words[1])) return "";
      return fmt::format("{} engines crashed", crashes);
    }
    if (property == "exited") {
      const auto code = fleet_->ExitCode(ProcessNameOf(words[1]));
      if (code && *code == std::stoi(words[2])) return "";
      return code ? fmt::format("{} exited with {}", words[1], *code)
                  : fmt::format("{} has not exited", words[1]);
    }
    if (property == "ready") {
      const auto response =
          load::FetchNow(Process(ProcessNameOf(words[1])).admin, "GET",
                         "/readyz", "", kFetchTimeout);
      if (response.status == 200) return "";
      return fmt::format("{} is not ready: {}", words[1], response.body);
    }
    if (property == "idle") {
      const json status =
          FetchJson(Process(ProcessNameOf(words[1])).admin, "/status");
      if (status.is_object() && status["running"] == 0) return "";
      return fmt::format("{} is not idle", words[1]);
    }
    if (property == "quiet") return ExpectQuiet(words[1], ToDuration(words[2]));
    return ExpectOfCall(words);
  }

  std::string ExpectOfCall(const std::vector<std::string>& words) {
    const auto found = calls_.find(words[1]);
    if (found == calls_.end()) return fmt::format("no call {}", words[1]);
    const Call& call = callers_.Calls()[found->second];
    if (words[0] == "begun") {
      if (call.options.stream) return call.response.empty() ? "no token" : "";
      return ExpectRuns(call.options.key, 1);
    }
    if (words[0] == "status" && call.status == std::stoi(words[2])) return "";
    if (words[0] == "reason" && call.reason == words[2]) return "";
    if (words[0] == "same") {
      const Call& other = callers_.Calls()[calls_.at(words[2])];
      const bool same = call.response == other.response;
      return same ? "" : "the responses differ";
    }
    const std::string outcome = ToString(call.outcome);
    if (words[0] == "call" && words[2] == outcome) return "";
    if (words[0] == "call" && words[2] == "answered" && outcome != "open") {
      return "";
    }
    return fmt::format("call {} is {} ({} {}), expected {}", words[1], outcome,
                       call.status, call.reason, words[2]);
  }

  std::string ExpectAnswered() const {
    int open = 0;
    for (const Flood& it : floods_) open += it.remaining;
    for (const Call& it : callers_.Calls()) {
      if (it.outcome == Outcome::kOpen) ++open;
    }
    return open == 0 ? "" : fmt::format("{} calls are open", open);
  }

  std::string ExpectRuns(const std::string& key, int expected) {
    const std::vector<process_scenarios::Run> runs = FetchRuns(*fleet_);
    const auto count =
        std::count_if(runs.begin(), runs.end(),
                      [&](const auto& it) { return it.key == key; });
    if (count == expected) return "";
    return fmt::format("key {} ran {} times", key, count);
  }

  std::string ExpectCompleted(const std::string& workspace, int least,
                              bool percent) const {
    const auto [done, all] = CountCompleted(callers_.Calls(), workspace);
    const int value = percent ? 100 * done / std::max(1, all) : done;
    if (value >= least) return "";
    return fmt::format("{} of {} calls of {} completed", done, all, workspace);
  }

  std::string ExpectQuiet(const std::string& agent, milliseconds period) {
    const auto before = StartedByEngine(*fleet_);
    PollUntil(Clock::now() + period);
    const auto after = StartedByEngine(*fleet_);
    const std::string engine = EngineNameOf(agent);
    int elsewhere = 0;
    for (const auto& [name, count] : after) {
      if (name != engine) elsewhere += count - before.at(name);
    }
    const int here = after.at(engine) - before.at(engine);
    if (here == 0 && elsewhere > 0) return "";
    return fmt::format("{} started {} requests, the others {}", agent, here,
                       elsewhere);
  }

  void Finish() {
    SetStore("up");
    const std::set<std::string> frozen = frozen_;
    for (const std::string& it : frozen) SignalOrStart("resume", it);
    const std::string open = Wait({"answered"}, kFinalTimeout);
    if (!open.empty()) Report(scenario_.file + ": " + open);
    const auto runs = FetchRuns(*fleet_);
    for (const std::string& it : CheckRun(callers_.Calls(), runs)) {
      Report(fmt::format("{}: {}", scenario_.file, it));
    }
    std::set<std::string> keys;
    for (const auto& it : runs) keys.insert(it.key);
    for (const Call& it : callers_.Calls()) {
      const std::string cause = it.reason.empty() ? "" : "(" + it.reason + ")";
      ++result_.outcomes[ToString(it.outcome) + cause];
    }
    result_.keys = static_cast<int>(keys.size());
    result_.runs = static_cast<int>(runs.size());
    result_.crashes = CountCrashes(*fleet_);
  }

  const fakes::Scenario& scenario_;
  ProcessRunOptions options_;
  std::unique_ptr<load::Fleet> fleet_;
  Callers callers_;
  Clock::time_point start_;
  std::map<std::string, std::size_t> calls_;
  std::vector<Flood> floods_;
  std::vector<Order> orders_;
  std::set<std::string> frozen_;
  int config_variant_ = 0;
  int published_ = 0;
  ProcessRunResult result_;
};

}  // namespace

ProcessRunResult RunWithProcesses(const fakes::Scenario& scenario,
                                  const ProcessRunOptions& options) {
  return Runner(scenario, options).Run();
}

}  // namespace shallotbeam::process_scenarios
