#include <fmt/format.h>

#include <algorithm>
#include <functional>

#include "Fakes/Checks.h"
#include "Fakes/Scenario.h"

namespace shallotbeam::fakes {

namespace {

using common::Verdict;

// The parser has already validated the format of all values.
common::Duration ToDuration(const std::string& text) {
  const double scale = text.ends_with("ms") ? 1 : 1000;
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double, std::milli>(std::stod(text) * scale));
}

// Delay of the resend with the option `again`.
constexpr common::Duration kResendDelay = std::chrono::milliseconds(300);

class Runner {
 public:
  explicit Runner(const Scenario& scenario)
      : scenario_(scenario), fleet_(scenario.fleet), start_(fleet_.Now()) {}

  std::vector<std::string> Run() {
    std::vector<Step> steps = scenario_.steps;
    std::stable_sort(steps.begin(), steps.end(),
                     [](const Step& a, const Step& b) { return a.at < b.at; });
    for (const Step& step : steps) {
      RunUntil(start_ + step.at);
      Apply(step);
    }
    const common::TimePoint last =
        scheduled_.empty() ? fleet_.Now() : scheduled_.rbegin()->first;
    RunUntil(last + std::chrono::milliseconds(1));
    fleet_.HealAll();
    common::TimePoint end = fleet_.Now();
    for (const Call& call : fleet_.GetRecords().calls) {
      end = std::max(end, call.sent + call.options.timeout);
    }
    // The agent's answer may arrive up to 1 s after the deadline.
    RunUntil(end + std::chrono::milliseconds(2500));
    AddViolations(CheckInvariants(fleet_));
    if (scenario_.check_undisturbed) AddViolations(CheckUndisturbed(fleet_));
    return std::move(violations_);
  }

  void Count(RunCounts* counts) const {
    const Records& records = fleet_.GetRecords();
    for (const Call& call : records.calls) {
      for (const Answer& it : call.answers) ++counts->answers[Describe(it)];
    }
    counts->runs += records.runs.size();
    for (const auto& [content, crashes] : records.crashes) {
      counts->crashes += crashes;
    }
    for (const Sample& sample : fleet_.Samples()) {
      const auto waiting =
          std::count_if(sample.waiting.begin(), sample.waiting.end(),
                        [](const auto& it) { return it.second > 0; });
      if (waiting > 1) ++counts->contended;
    }
  }

 private:
  void RunUntil(common::TimePoint time) {
    while (!scheduled_.empty() && scheduled_.begin()->first <= time) {
      const auto next = scheduled_.begin();
      if (next->first > fleet_.Now()) fleet_.RunFor(next->first - fleet_.Now());
      const std::function<void()> event = std::move(next->second);
      scheduled_.erase(next);
      event();
    }
    if (time > fleet_.Now()) fleet_.RunFor(time - fleet_.Now());
  }

  void RunAfter(common::Duration delay, std::function<void()> event) {
    scheduled_.emplace(fleet_.Now() + delay, std::move(event));
  }

  void AddViolations(const std::vector<std::string>& lines) {
    for (const std::string& it : lines) {
      violations_.push_back(fmt::format("{}: {}", scenario_.file, it));
    }
  }

  void Apply(const Step& step) {
    const std::vector<std::string>& words = step.words;
    const std::string& verb = step.verb;
    if (verb == "send") return Send(step);
    if (verb == "resend") return Resend(step);
    if (verb == "flood") return StartFlood(step);
    if (verb == "disconnect") return fleet_.Disconnect(calls_.at(words[0]));
    if (verb == "kill") return fleet_.Kill(words[0]);
    if (verb == "restart") return fleet_.Restart(words[0]);
    if (verb == "freeze") return fleet_.Freeze(words[0]);
    if (verb == "resume") return fleet_.Resume(words[0]);
    if (verb == "drain") return fleet_.Drain(words[0]);
    if (verb == "leave") return fleet_.Leave(words[0]);
    if (verb == "cut") return fleet_.Cut(words[0], words[1]);
    if (verb == "heal") return fleet_.Heal(words[0], words[1]);
    if (verb == "publish") return fleet_.Publish();
    if (verb == "store") return SetStore(words[0]);
    if (verb == "upstream") return SetUpstream(words[0], words[1]);
    const std::string problem = Expect(words);
    if (problem.empty()) return;
    violations_.push_back(
        fmt::format("{}:{}: {}", scenario_.file, step.line, problem));
  }

  static CallOptions OptionsOf(const Step& step) {
    CallOptions call;
    for (const auto& [name, value] : step.options) {
      if (name == "via") call.router = value;
      if (name == "workspace") call.workspace = value;
      if (name == "kind") call.kind = value;
      if (name == "key") call.key = value;
      if (name == "cost") call.cost = std::stod(value);
      if (name == "deadline") call.timeout = ToDuration(value);
      if (name == "content") call.content = std::stoull(value);
      if (name == "ticket") call.ticket = value == "yes";
      if (name == "crashes") call.crashes = value == "yes";
    }
    return call;
  }

  void Send(const Step& step) {
    const std::size_t call = fleet_.Send(OptionsOf(step));
    calls_[step.words[0]] = call;
    const auto leaves = step.options.find("leaves");
    if (leaves != step.options.end()) {
      RunAfter(ToDuration(leaves->second),
               [this, call] { fleet_.Disconnect(call); });
    }
    const auto again = step.options.find("again");
    if (again == step.options.end()) return;
    RunAfter(kResendDelay, [this, call, router = again->second] {
      CallOptions options = fleet_.GetRecords().calls[call].options;
      options.router = router;
      fleet_.Send(options);
    });
  }

  void Resend(const Step& step) {
    const std::size_t first = calls_.at(step.options.at("of"));
    CallOptions call = fleet_.GetRecords().calls[first].options;
    call.router = step.options.at("via");
    const auto deadline = step.options.find("deadline");
    if (deadline != step.options.end()) {
      call.timeout = ToDuration(deadline->second);
    }
    calls_[step.words[0]] = fleet_.Send(call);
  }

  void StartFlood(const Step& step) {
    CallOptions call = OptionsOf(step);
    call.workspace = step.words[0];
    const common::Duration every = ToDuration(step.options.at("every"));
    const int count = std::stoi(step.options.at("count"));
    for (int i = 0; i < count; ++i) {
      RunAfter(i * every, [this, call] { fleet_.Send(call); });
    }
  }

  void SetStore(const std::string& mode) {
    static const std::map<std::string, StoreMode> modes = {
        {"up", StoreMode::kUp},
        {"down", StoreMode::kDown},
        {"slow", StoreMode::kSlow},
        {"loses-answers", StoreMode::kLosesAnswers}};
    fleet_.SetStore(modes.at(mode));
  }

  void SetUpstream(const std::string& agent, const std::string& mode) {
    if (mode == "crash") return fleet_.CrashUpstream(agent);
    static const std::map<std::string, UpstreamMode> modes = {
        {"up", UpstreamMode::kUp},
        {"slow", UpstreamMode::kSlow},
        {"errors", UpstreamMode::kErrors},
        {"silent", UpstreamMode::kSilent},
        {"refuses", UpstreamMode::kRefuses}};
    fleet_.SetUpstream(agent, modes.at(mode));
  }

  // Returns a description of the difference, or an empty string if the
  // expectation holds.
  std::string Expect(const std::vector<std::string>& words) {
    const std::string& property = words[0];
    const Records& records = fleet_.GetRecords();
    if (property == "call") return ExpectCall(words[1], words[2]);
    if (property == "runs") {
      const auto runs = std::count_if(
          records.runs.begin(), records.runs.end(), [&](const fakes::Run& run) {
            return records.calls[run.call].options.key == words[1];
          });
      if (runs == std::stoi(words[2])) return "";
      return fmt::format("key {} ran {} times", words[1], runs);
    }
    if (property == "completed") {
      const auto done = std::count_if(
          records.calls.begin(), records.calls.end(), [&](const Call& call) {
            return call.options.workspace == words[1] &&
                   !call.answers.empty() &&
                   call.answers[0].type == AnswerType::kCompleted;
          });
      if (done >= std::stoi(words[2])) return "";
      return fmt::format("{} calls of {} completed", done, words[1]);
    }
    if (property == "slowest") return ExpectSlowest(words[1], words[2]);
    if (property == "gap") {
      const double gap = LargestServiceGap(fleet_, words[1], words[2]);
      const double allowed = AllowedServiceGap(fleet_, words[1], words[2]);
      if (gap <= allowed) return "";
      return fmt::format("service gap {} exceeds the allowed {}", gap, allowed);
    }
    if (property == "idle") {
      const common::Duration idle = LongestIdleSlotTime(fleet_);
      if (idle <= ToDuration(words[1])) return "";
      return fmt::format("a slot was idle for {} ms while work waited",
                         idle / std::chrono::milliseconds(1));
    }
    if (property == "drained") {
      return fleet_.Drained(words[1]) ? "" : words[1] + " has not drained";
    }
    if (property == "crashes") {
      int crashes = 0;
      for (const auto& [content, count] : records.crashes) crashes += count;
      if (crashes <= std::stoi(words[1])) return "";
      return fmt::format("{} upstreams crashed", crashes);
    }
    if (fleet_.LowestVersion() >= fleet_.PublishedVersion()) return "";
    return fmt::format("version {} in force, published {}",
                       fleet_.LowestVersion(), fleet_.PublishedVersion());
  }

  std::string ExpectCall(const std::string& name, const std::string& expected) {
    const Call& call = fleet_.GetRecords().calls[calls_.at(name)];
    std::string outcome = "open";
    if (!call.answers.empty()) outcome = Describe(call.answers.front());
    if (outcome == expected) return "";
    if (expected == "answered" && outcome != "open") return "";
    const std::string cause =
        call.answers.empty()
            ? ""
            : std::string(common::ToString(call.answers[0].refusal.reason));
    return fmt::format("call {} is {} ({}), expected {}", name, outcome, cause,
                       expected);
  }

  static std::string Describe(const Answer& answer) {
    switch (answer.type) {
      case AnswerType::kCompleted:
        return "completed";
      case AnswerType::kTruncated:
        return "truncated";
      case AnswerType::kBroken:
        return "broken";
      case AnswerType::kRefused:
        break;
    }
    return std::string(common::ToString(answer.refusal.verdict));
  }

  std::string ExpectSlowest(const std::string& workspace,
                            const std::string& limit) {
    common::Duration slowest{};
    for (const Call& call : fleet_.GetRecords().calls) {
      if (call.options.workspace != workspace) continue;
      const common::TimePoint end =
          call.answers.empty() ? fleet_.Now() : call.answers[0].at;
      slowest = std::max(slowest, end - call.sent);
    }
    if (slowest <= ToDuration(limit)) return "";
    return fmt::format("a call of {} took {} ms", workspace,
                       slowest / std::chrono::milliseconds(1));
  }

  const Scenario& scenario_;
  Fleet fleet_;
  common::TimePoint start_;
  std::map<std::string, std::size_t> calls_;
  std::multimap<common::TimePoint, std::function<void()>> scheduled_;
  std::vector<std::string> violations_;
};

}  // namespace

std::vector<std::string> RunScenario(const Scenario& scenario,
                                     RunCounts* counts) {
  Runner runner(scenario);
  std::vector<std::string> found = runner.Run();
  if (counts != nullptr) runner.Count(counts);
  return found;
}

}  // namespace shallotbeam::fakes
