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

// A condition that holds on an idle machine within 2 s.
constexpr milliseconds kWaitLimit{30'000};
constexpr milliseconds kFinalLimit{60'000};
constexpr milliseconds kPump{10};
constexpr milliseconds kResendAfter{400};
constexpr milliseconds kFirstResend{50};
constexpr int kMaxSends = 12;
// Well under the 1 s after which a call to the store counts as lost.
constexpr int kStoreDelayMs = 400;
// Longer than the time between the starts of two publishers.
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
          return fleet_->Find(NameOf(name))->http;
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
      PumpUntil(due);
      // A late step moves the later ones, so that the gaps stay.
      start_ += std::max(Clock::duration{}, Clock::now() - due);
      const std::string problem = Apply(step);
      if (problem.empty()) continue;
      Report(fmt::format("{}:{}: {}", scenario_.file, step.line, problem));
    }
    Finish();
    return std::move(result_);
  }

 private:
  // An order that its caller sends until its outcome is known.
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
    int left = 0;
    int sent = 0;
    milliseconds every{};
    Clock::time_point next;
  };

  bool Start() {
    load::Experiment experiment;
    experiment.config = ConfigOf(scenario_.fleet, 0);
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

  void PumpUntil(Clock::time_point time) {
    while (Clock::now() < time) Pump();
  }

  void Pump() {
    callers_.RunFor(kPump);
    fleet_->CheckProcesses();  // starts ended engines again
    for (Flood& flood : floods_) SendDue(flood);
    for (Order& it : orders_) SendDue(it);
  }

  void SendDue(Flood& flood) {
    if (flood.left == 0 || Clock::now() < flood.next) return;
    --flood.left;
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
    bool known = false;
    bool open = false;
    for (const std::size_t it : order.calls) {
      const Outcome outcome = callers_.Calls()[it].outcome;
      known |= outcome == Outcome::kNotRun;
      open |= outcome == Outcome::kOpen;
    }
    const Call& last = callers_.Calls()[order.last];
    // A completed order is sent once more for its replay.
    const bool done = last.outcome == Outcome::kCompleted && order.sends > 2;
    const bool no_ticket = last.options.ticket && last.options.key.empty();
    if (known || done || no_ticket || order.sends >= kMaxSends) return;
    const auto now = Clock::now();
    const bool second = order.sends == 1 && now - last.sent > kFirstResend;
    const bool next = !open && now - last.ended > kResendAfter;
    if (!second && !next) return;
    CallOptions again = last.options;
    again.router = order.routers[order.sends % 2];
    ++order.sends;
    order.last = Send(again);
    order.calls.push_back(order.last);
  }

  std::size_t Send(const CallOptions& options) {
    const std::size_t index = callers_.Send(options);
    callers_.Calls()[index].unread = frozen_.count(options.router) != 0;
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

  // Returns what is wrong, empty if nothing is.
  std::string Apply(const Step& step) {
    const std::string& verb = step.verb;
    if (verb == "expect") return Expect(step.words);
    if (verb == "wait") return Wait(step.words, kWaitLimit);
    if (verb == "race") return Race();
    if (verb == "publish") {
      const int code = ExitOf(*Publish());
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
    // Equal bodies have equal fingerprints; other sends carry their own tag.
    calls_[step.words[0]] =
        call.crashes ? callers_.SendAgain(first, call.router) : Send(call);
  }

  void StartFlood(const Step& step) {
    Flood flood{.call = OptionsOf(step),
                .left = std::stoi(step.options.at("count")),
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
    Ask(Process("platform").http, "/faults", "POST", faults.dump());
  }

  void SetUpstream(const std::string& agent, const std::string& mode) {
    const std::string engine = EngineOf(agent);
    if (mode == "crash") return fleet_->Signal(engine, SIGKILL);
    const json faults = {{"slow", mode == "slow" ? kSlowFactor : 1},
                         {"error_rate", mode == "errors" ? 1 : 0},
                         {"hang", mode == "silent"},
                         {"refuse", mode == "refuses"}};
    Ask(Process(engine).http, "/faults", "POST", faults.dump());
  }

  void Leave(const std::string& agent) {
    const json hosts = HostList(*fleet_, NameOf(agent));
    Ask(Process("platform").http, "/hosts", "POST", hosts.dump());
  }

  void SignalOrStart(const std::string& verb, const std::string& name) {
    const std::string process = NameOf(name);
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
        if (call.options.router == name && recent) call.unread = true;
      }
    }
    if (verb != "restart") return;
    const absl::Status status = fleet_->StartAgain(process);
    if (!status.ok()) Report(status.ToString());
  }

  std::unique_ptr<load::ChildProcess> Publish() {
    const std::string folder =
        fmt::format("{}/config-{}", options_.work_folder, ++edition_);
    std::filesystem::create_directories(folder);
    std::ofstream(folder + "/10-scenario.json")
        << ConfigOf(scenario_.fleet, edition_).dump(2);
    auto child = load::ChildProcess::Start(
        options_.programs + "/Shallotbeam/shallotbeam",
        {"config", "publish", folder, "--platform",
         common::ToString(Process("platform").http)},
        fmt::format("{}/publish-{}.log", options_.work_folder, edition_));
    if (!child.ok()) return nullptr;
    return std::make_unique<load::ChildProcess>(*std::move(child));
  }

  // ChildProcess::End() would send SIGTERM at once.
  static int ExitOf(load::ChildProcess& child) {
    const auto deadline = Clock::now() + kWaitLimit;
    while (!child.ExitCode() && Clock::now() < deadline) {
      std::this_thread::sleep_for(kPump);
    }
    return child.End(kPump);
  }

  // The slow store makes both read before either writes.
  std::string Race() {
    SetStore("slow", kRaceDelayMs);
    const auto first = Publish();
    const auto second = Publish();
    std::set<int> codes = {ExitOf(*first), ExitOf(*second)};
    SetStore("up");
    constexpr int kLost = 3;
    if (codes == std::set<int>{0, kLost}) return "";
    return fmt::format("the publishers exited with {} to {}", *codes.begin(),
                       *codes.rbegin());
  }

  // A final outcome of a call stays.
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
      Pump();
      problem = Expect(words);
    }
    return problem.empty() ? "" : "waited in vain: " + problem;
  }

  std::string Expect(const std::vector<std::string>& words) {
    const std::string& subject = words[0];
    if (subject == "in-force") return ProblemOfVersions(*fleet_, &published_);
    if (subject == "answered") return ExpectAnswered();
    if (subject == "runs") return ExpectRuns(words[1], std::stoi(words[2]));
    if (subject == "completed" || subject == "share") {
      return ExpectCompleted(words[1], std::stoi(words[2]), subject == "share");
    }
    if (subject == "ratio") {
      const int done = CompletedOf(callers_.Calls(), words[1]).first;
      const int other = CompletedOf(callers_.Calls(), words[2]).first;
      if (other > 0 && 100 * done >= std::stoi(words[3]) * other) return "";
      return fmt::format("{} completed {} calls, {} {}", words[1], done,
                         words[2], other);
    }
    if (subject == "crashes") {
      const int crashes = CrashesOf(*fleet_);
      if (crashes <= std::stoi(words[1])) return "";
      return fmt::format("{} engines crashed", crashes);
    }
    if (subject == "exited") {
      const auto code = fleet_->ExitCode(NameOf(words[1]));
      if (code && *code == std::stoi(words[2])) return "";
      return code ? fmt::format("{} exited with {}", words[1], *code)
                  : fmt::format("{} has not exited", words[1]);
    }
    if (subject == "ready") {
      const auto response = load::FetchNow(Process(NameOf(words[1])).admin,
                                           "GET", "/readyz", "", kAskTimeout);
      if (response.status == 200) return "";
      return fmt::format("{} is not ready: {}", words[1], response.body);
    }
    if (subject == "idle") {
      const json status = Ask(Process(NameOf(words[1])).admin, "/status");
      if (status.is_object() && status["running"] == 0) return "";
      return fmt::format("{} is not idle", words[1]);
    }
    if (subject == "quiet") return ExpectQuiet(words[1], ToDuration(words[2]));
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
    for (const Flood& it : floods_) open += it.left;
    for (const Call& it : callers_.Calls()) {
      if (it.outcome == Outcome::kOpen) ++open;
    }
    return open == 0 ? "" : fmt::format("{} calls are open", open);
  }

  std::string ExpectRuns(const std::string& key, int expected) {
    const std::vector<process_scenarios::Run> runs = RunsOf(*fleet_);
    const auto count =
        std::count_if(runs.begin(), runs.end(),
                      [&](const auto& it) { return it.key == key; });
    if (count == expected) return "";
    return fmt::format("key {} ran {} times", key, count);
  }

  std::string ExpectCompleted(const std::string& workspace, int least,
                              bool percent) const {
    const auto [done, all] = CompletedOf(callers_.Calls(), workspace);
    const int value = percent ? 100 * done / std::max(1, all) : done;
    if (value >= least) return "";
    return fmt::format("{} of {} calls of {} completed", done, all, workspace);
  }

  std::string ExpectQuiet(const std::string& agent, milliseconds period) {
    const auto before = BegunByEngine(*fleet_);
    PumpUntil(Clock::now() + period);
    const auto after = BegunByEngine(*fleet_);
    const std::string engine = EngineOf(agent);
    int elsewhere = 0;
    for (const auto& [name, count] : after) {
      if (name != engine) elsewhere += count - before.at(name);
    }
    const int here = after.at(engine) - before.at(engine);
    if (here == 0 && elsewhere > 0) return "";
    return fmt::format("{} began {} requests, the others {}", agent, here,
                       elsewhere);
  }

  void Finish() {
    SetStore("up");
    const std::set<std::string> frozen = frozen_;
    for (const std::string& it : frozen) SignalOrStart("resume", it);
    const std::string open = Wait({"answered"}, kFinalLimit);
    if (!open.empty()) Report(scenario_.file + ": " + open);
    const auto runs = RunsOf(*fleet_);
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
    result_.crashes = CrashesOf(*fleet_);
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
  int edition_ = 0;
  int published_ = 0;
  ProcessRunResult result_;
};

}  // namespace

ProcessRunResult RunWithProcesses(const fakes::Scenario& scenario,
                                  const ProcessRunOptions& options) {
  return Runner(scenario, options).Run();
}

}  // namespace shallotbeam::process_scenarios
