#include <fmt/format.h>

#include <algorithm>
#include <functional>

#include "Fakes/Checks.h"
#include "Fakes/Scenario.h"

namespace shallotbeam::fakes {

namespace {

using common::Verdict;

// The parser has checked the form of all values.
common::Duration ToDuration(const std::string& text) {
  const double scale = text.ends_with("ms") ? 1 : 1000;
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double, std::milli>(std::stod(text) * scale));
}

class Runner {
 public:
  explicit Runner(const Scenario& scenario)
      : scenario_(scenario), fleet_(scenario.fleet), start_(fleet_.Now()) {}

  std::vector<std::string> Run() {
    std::vector<Step> steps = scenario_.steps;
    std::stable_sort(steps.begin(), steps.end(),
                     [](const Step& a, const Step& b) { return a.at < b.at; });
    for (const Step& step : steps) {
      RunTo(start_ + step.at);
      Apply(step);
    }
    RunTo(fleet_.Now() + std::chrono::milliseconds(1));
    fleet_.HealAll();
    common::TimePoint end = fleet_.Now();
    for (const Call& call : fleet_.Seen().calls) {
      end = std::max(end, call.sent + call.options.time_allowed);
    }
    // The answer of the agent may come 1 s after the deadline.
    RunTo(end + std::chrono::milliseconds(2500));
    Collect(CheckAlways(fleet_));
    if (scenario_.check_undisturbed) Collect(CheckUndisturbed(fleet_));
    return std::move(found_);
  }

 private:
  void RunTo(common::TimePoint time) {
    while (!floods_.empty()) {
      const auto next = std::min_element(
          floods_.begin(), floods_.end(),
          [](const Flood& a, const Flood& b) { return a.next < b.next; });
      if (next->next > time) break;
      if (next->next > fleet_.Now()) fleet_.RunFor(next->next - fleet_.Now());
      fleet_.Send(next->call);
      next->next += next->every;
      if (--next->left <= 0) floods_.erase(next);
    }
    if (time > fleet_.Now()) fleet_.RunFor(time - fleet_.Now());
  }

  void Collect(const std::vector<std::string>& lines) {
    for (const std::string& it : lines) {
      found_.push_back(fmt::format("{}: {}", scenario_.file, it));
    }
  }

  void Apply(const Step& step) {
    const std::vector<std::string>& words = step.words;
    const std::string& verb = step.verb;
    if (verb == "send") return Send(words[0], OptionsOf(step));
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
    found_.push_back(
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
      if (name == "deadline") call.time_allowed = ToDuration(value);
      if (name == "ticket") call.ticket = value == "yes";
      if (name == "crashes") call.crashes = value == "yes";
    }
    return call;
  }

  void Send(const std::string& name, const CallOptions& options) {
    calls_[name] = fleet_.Send(options);
  }

  void Resend(const Step& step) {
    const std::size_t first = calls_.at(step.options.at("of"));
    CallOptions call = fleet_.Seen().calls[first].options;
    call.router = step.options.at("via");
    const auto deadline = step.options.find("deadline");
    if (deadline != step.options.end()) {
      call.time_allowed = ToDuration(deadline->second);
    }
    Send(step.words[0], call);
  }

  void StartFlood(const Step& step) {
    Flood flood{.call = OptionsOf(step),
                .next = fleet_.Now(),
                .every = ToDuration(step.options.at("every")),
                .left = std::stoi(step.options.at("count"))};
    flood.call.workspace = step.words[0];
    floods_.push_back(std::move(flood));
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

  // Returns what differs, empty if the expectation holds.
  std::string Expect(const std::vector<std::string>& words) {
    const std::string& subject = words[0];
    const Records& seen = fleet_.Seen();
    if (subject == "call") return ExpectCall(words[1], words[2]);
    if (subject == "runs") {
      const auto runs = std::count_if(
          seen.runs.begin(), seen.runs.end(), [&](const fakes::Run& run) {
            return seen.calls[run.call].options.key == words[1];
          });
      if (runs == std::stoi(words[2])) return "";
      return fmt::format("key {} ran {} times", words[1], runs);
    }
    if (subject == "completed") {
      const auto done = std::count_if(
          seen.calls.begin(), seen.calls.end(), [&](const Call& call) {
            return call.options.workspace == words[1] &&
                   !call.answers.empty() &&
                   call.answers[0].type == AnswerType::kCompleted;
          });
      if (done >= std::stoi(words[2])) return "";
      return fmt::format("{} calls of {} completed", done, words[1]);
    }
    if (subject == "slowest") return ExpectSlowest(words[1], words[2]);
    if (subject == "gap") {
      const double gap = WidestGap(fleet_, words[1], words[2]);
      const double allowed = AllowedGap(fleet_, words[1], words[2]);
      if (gap <= allowed) return "";
      return fmt::format("gap {} over the allowed {}", gap, allowed);
    }
    if (subject == "idle") {
      const common::Duration idle = LongestIdle(fleet_);
      if (idle <= ToDuration(words[1])) return "";
      return fmt::format("a slot was idle for {} ms while work waited",
                         idle / std::chrono::milliseconds(1));
    }
    if (subject == "drained") {
      return fleet_.Drained(words[1]) ? "" : words[1] + " has not drained";
    }
    if (subject == "crashes") {
      int crashes = 0;
      for (const auto& [content, count] : seen.crashes) crashes += count;
      if (crashes <= std::stoi(words[1])) return "";
      return fmt::format("{} upstreams crashed", crashes);
    }
    if (fleet_.LowestVersion() >= fleet_.PublishedVersion()) return "";
    return fmt::format("version {} in force, published {}",
                       fleet_.LowestVersion(), fleet_.PublishedVersion());
  }

  std::string ExpectCall(const std::string& name, const std::string& expected) {
    const Call& call = fleet_.Seen().calls[calls_.at(name)];
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
    for (const Call& call : fleet_.Seen().calls) {
      if (call.options.workspace != workspace) continue;
      const common::TimePoint end =
          call.answers.empty() ? fleet_.Now() : call.answers[0].at;
      slowest = std::max(slowest, end - call.sent);
    }
    if (slowest <= ToDuration(limit)) return "";
    return fmt::format("a call of {} took {} ms", workspace,
                       slowest / std::chrono::milliseconds(1));
  }

  struct Flood {
    CallOptions call;
    common::TimePoint next;
    common::Duration every{};
    int left = 0;
  };

  const Scenario& scenario_;
  Fleet fleet_;
  common::TimePoint start_;
  std::map<std::string, std::size_t> calls_;
  std::vector<Flood> floods_;
  std::vector<std::string> found_;
};

}  // namespace

std::vector<std::string> RunScenario(const Scenario& scenario) {
  return Runner(scenario).Run();
}

}  // namespace shallotbeam::fakes
