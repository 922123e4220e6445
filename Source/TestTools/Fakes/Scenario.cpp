#include "Fakes/Scenario.h"

#include <fmt/format.h>

#include <charconv>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <set>
#include <sstream>

namespace shallotbeam::fakes {

namespace {

// Syntax of a step: the number of positional words and the allowed options.
struct StepSyntax {
  std::size_t words = 0;
  std::set<std::string> options;
  std::set<std::string> required;
  bool words_are_processes = false;
  std::set<std::string> last_word;  // allowed values; empty allows any
};

const std::map<std::string, StepSyntax>& Verbs() {
  static const std::map<std::string, StepSyntax> verbs = {
      {"send",
       {1,
        {"via", "workspace", "kind", "key", "cost", "deadline", "crashes",
         "ticket", "content", "leaves", "again"},
        {"via"}}},
      {"resend", {1, {"of", "via", "deadline"}, {"of", "via"}}},
      {"disconnect", {1}},
      {"flood",
       {1,
        {"via", "count", "every", "kind", "cost", "deadline"},
        {"via", "count", "every"}}},
      {"kill", {1, {}, {}, true}},
      {"restart", {1, {}, {}, true}},
      {"freeze", {1, {}, {}, true}},
      {"resume", {1, {}, {}, true}},
      {"drain", {1, {}, {}, true}},
      {"leave", {1, {}, {}, true}},
      {"cut", {2, {}, {}, true}},
      {"heal", {2, {}, {}, true}},
      {"store", {1, {}, {}, false, {"up", "down", "slow", "loses-answers"}}},
      {"upstream",
       {2,
        {},
        {},
        false,
        {"up", "slow", "errors", "silent", "refuses", "crash"}}},
      {"publish", {0}}};
  return verbs;
}

// The steps for real processes: some steps and options exist only there, and a
// few simulated faults are missing.
const std::map<std::string, StepSyntax>& ProcessVerbs() {
  static const std::map<std::string, StepSyntax> verbs = [] {
    std::map<std::string, StepSyntax> all = Verbs();
    all["send"].options.insert("stream");
    all["flood"].options.insert({"key", "ticket", "again", "stream"});
    all["terminate"] = {1, {}, {}, true};
    all["race"] = {0};
    for (const char* it : {"cut", "heal", "drain", "disconnect"}) {
      all.erase(it);
    }
    return all;
  }();
  return verbs;
}

// Number of words after each property that `expect` can check.
const std::map<std::string, std::size_t>& Expectations() {
  static const std::map<std::string, std::size_t> expectations = {
      {"call", 2},       // CALL OUTCOME
      {"runs", 2},       // KEY COUNT
      {"completed", 2},  // WORKSPACE LEAST-COUNT
      {"slowest", 2},    // WORKSPACE DURATION
      {"gap", 2},        // WORKSPACE WORKSPACE
      {"idle", 1},       // DURATION
      {"drained", 1},    // PROCESS
      {"crashes", 1},    // MOST-COUNT
      {"in-force", 0}};
  return expectations;
}

const std::map<std::string, std::size_t>& ProcessExpectations() {
  static const std::map<std::string, std::size_t> expectations = {
      {"call", 2},       // CALL OUTCOME
      {"runs", 2},       // KEY COUNT
      {"completed", 2},  // WORKSPACE LEAST-COUNT
      {"share", 2},      // WORKSPACE LEAST-PERCENT of its calls completed
      {"ratio", 3},      // WORKSPACE OTHER LEAST-PERCENT of its completed calls
      {"crashes", 1},    // MOST-COUNT
      {"in-force", 0},  {"begun", 1},  // CALL has started at an engine
      {"status", 2},                   // CALL HTTP-STATUS
      {"reason", 2},                   // CALL REASON
      {"same", 2},                     // CALL CALL (equal response bodies)
      {"exited", 2},                   // PROCESS EXIT-CODE
      {"ready", 1},                    // ROUTER
      {"answered", 0},                 // every call has a final response
      {"quiet", 2},                    // AGENT DURATION
      {"idle", 1}};                    // AGENT runs no request
  return expectations;
}

std::vector<std::string> SplitWords(const std::string& line) {
  std::istringstream stream(line.substr(0, line.find('#')));
  return {std::istream_iterator<std::string>(stream), {}};
}

std::optional<double> ParseNumber(const std::string& text) {
  double value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

std::optional<common::Duration> ParseDuration(const std::string& text) {
  const std::size_t unit = text.find_first_not_of("0123456789.");
  if (unit == std::string::npos) return std::nullopt;
  const auto number = ParseNumber(text.substr(0, unit));
  const std::string name = text.substr(unit);
  if (!number || (name != "ms" && name != "s")) return std::nullopt;
  const double seconds = name == "s" ? *number : *number / 1000;
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(seconds));
}

class Parser {
 public:
  Parser(std::string file, ScenarioTarget target)
      : processes_(target == ScenarioTarget::kProcesses) {
    scenario_.file = std::move(file);
  }

  absl::StatusOr<Scenario> Parse(std::string_view text) {
    std::istringstream stream{std::string(text)};
    std::string line;
    while (std::getline(stream, line)) {
      ++line_;
      words_ = SplitWords(line);
      if (words_.empty()) continue;
      std::string problem = ParseLine();
      if (problem.empty()) continue;
      return absl::InvalidArgumentError(
          fmt::format("{}:{}: {}", scenario_.file, line_, problem));
    }
    return std::move(scenario_);
  }

 private:
  // The Parse and Check functions return a description of the error, or an
  // empty string.
  std::string ParseLine() {
    const std::string& first = words_.front();
    if (first == "fleet") return ParseFleet();
    if (first == "workspace") return ParseWorkspace();
    if (first == "at") return ParseStep();
    if (processes_ && first == "unconfigured") {
      scenario_.unconfigured = true;
      return "";
    }
    if (first == "check" && words_.size() == 2 && words_[1] == "undisturbed") {
      scenario_.check_undisturbed = true;
      return "";
    }
    return fmt::format(
        "expected \"fleet\", \"workspace\", \"check undisturbed\" or \"at\", "
        "found \"{}\"",
        first);
  }

  std::string ParseFleet() {
    for (std::size_t i = 1; i + 1 < words_.size(); i += 2) {
      if (words_[i] == "delay") {
        const auto delay = ParseDuration(words_[i + 1]);
        if (!delay) return BadValue("delay", "a time such as \"5ms\"");
        scenario_.fleet.delay = *delay;
        continue;
      }
      const auto value = ParseNumber(words_[i + 1]);
      if (!value || *value < 1) return BadValue(words_[i], "a number above 0");
      const int count = static_cast<int>(*value);
      if (words_[i] == "routers") {
        scenario_.fleet.routers = count;
      } else if (words_[i] == "agents") {
        scenario_.fleet.agents = count;
      } else if (words_[i] == "slots") {
        scenario_.fleet.slots = count;
      } else if (words_[i] == "seed") {
        scenario_.fleet.seed = static_cast<std::uint64_t>(*value);
      } else {
        return fmt::format("unknown fleet option \"{}\"", words_[i]);
      }
    }
    return words_.size() % 2 == 1 ? "" : "a fleet option has no value";
  }

  std::string ParseWorkspace() {
    const bool well_formed = words_.size() == 4 && words_[2] == "weight";
    if (!well_formed) return "expected \"workspace NAME weight NUMBER\"";
    const auto weight = ParseNumber(words_[3]);
    if (!weight || *weight <= 0) return BadValue("weight", "a number above 0");
    scenario_.fleet.weights[words_[1]] = *weight;
    return "";
  }

  std::string ParseStep() {
    if (words_.size() < 3) return "expected \"at TIME STEP\"";
    Step step;
    const auto at = ParseDuration(words_[1]);
    if (!at) return BadValue("at", "a time such as \"200ms\"");
    step.at = *at;
    step.verb = words_[2];
    step.line = line_;
    const bool expects =
        step.verb == "expect" || (processes_ && step.verb == "wait");
    std::string problem = expects ? ParseExpect(step) : ParseAction(step);
    if (!problem.empty()) return problem;
    scenario_.steps.push_back(std::move(step));
    return "";
  }

  std::string ParseExpect(Step& step) {
    step.words.assign(words_.begin() + 3, words_.end());
    if (step.words.empty()) return "\"expect\" needs an expectation";
    const auto& expectations =
        processes_ ? ProcessExpectations() : Expectations();
    const auto it = expectations.find(step.words[0]);
    if (it == expectations.end()) {
      return fmt::format("unknown expectation \"{}\"", step.words[0]);
    }
    if (step.words.size() != it->second + 1) {
      return fmt::format("\"expect {}\" takes {} words, found {}", it->first,
                         it->second, step.words.size() - 1);
    }
    const bool known =
        step.words[0] != "call" || calls_.count(step.words[1]) != 0;
    return known ? "" : fmt::format("no call \"{}\" was sent", step.words[1]);
  }

  std::string ParseAction(Step& step) {
    const auto& verbs = processes_ ? ProcessVerbs() : Verbs();
    const auto verb = verbs.find(step.verb);
    if (verb == verbs.end()) {
      return fmt::format("unknown step \"{}\"", step.verb);
    }
    const StepSyntax& syntax = verb->second;
    if (words_.size() < 3 + syntax.words) {
      return fmt::format("\"{}\" takes {} words", step.verb, syntax.words);
    }
    const auto options =
        words_.begin() + 3 + static_cast<std::ptrdiff_t>(syntax.words);
    step.words.assign(words_.begin() + 3, options);
    for (auto it = options; it != words_.end(); it += 2) {
      if (syntax.options.count(*it) == 0) {
        return fmt::format("\"{}\" has no option \"{}\"", step.verb, *it);
      }
      if (std::next(it) == words_.end()) {
        return fmt::format("option \"{}\" has no value", *it);
      }
      step.options[*it] = *std::next(it);
    }
    for (const std::string& name : syntax.required) {
      if (step.options.count(name) != 0) continue;
      return fmt::format("\"{}\" needs the option \"{}\"", step.verb, name);
    }
    return CheckNames(step, syntax);
  }

  std::string CheckNames(const Step& step, const StepSyntax& syntax) {
    if (syntax.words_are_processes) {
      for (const std::string& it : step.words) {
        if (!IsProcess(it)) return fmt::format("no process \"{}\"", it);
      }
    }
    if (step.verb == "upstream" && !IsProcess(step.words[0])) {
      return fmt::format("no agent \"{}\"", step.words[0]);
    }
    if (!syntax.last_word.empty() &&
        syntax.last_word.count(step.words.back()) == 0) {
      return fmt::format("\"{}\" has no state \"{}\"", step.verb,
                         step.words.back());
    }
    for (const auto& [name, value] : step.options) {
      const bool number =
          name == "cost" || name == "count" || name == "content";
      const bool time =
          name == "deadline" || name == "every" || name == "leaves";
      if (number && !ParseNumber(value)) return BadValue(name, "a number");
      if (time && !ParseDuration(value)) return BadValue(name, "a time");
      if ((name == "via" || name == "again") &&
          (value[0] != 'r' || !IsProcess(value))) {
        return fmt::format("no router \"{}\"", value);
      }
      if (name == "of" && calls_.count(value) == 0) {
        return fmt::format("no call \"{}\" was sent", value);
      }
      if (name == "workspace" && scenario_.fleet.weights.count(value) == 0) {
        return fmt::format("no workspace \"{}\"", value);
      }
    }
    if (step.verb == "send" || step.verb == "resend") {
      calls_.insert(step.words[0]);
    }
    return "";
  }

  bool IsProcess(const std::string& name) const {
    if (name == kStoreName) return true;
    const auto number = ParseNumber(name.substr(1));
    if (!number || *number < 1) return false;
    const int count = name[0] == 'r'   ? scenario_.fleet.routers
                      : name[0] == 'a' ? scenario_.fleet.agents
                                       : 0;
    return *number <= count;
  }

  static std::string BadValue(const std::string& name,
                              const std::string& expected) {
    return fmt::format("\"{}\" needs {}", name, expected);
  }

  bool processes_ = false;
  Scenario scenario_;
  int line_ = 0;
  std::vector<std::string> words_;
  std::set<std::string> calls_;
};

}  // namespace

absl::StatusOr<Scenario> ParseScenario(const std::string& file,
                                       std::string_view text,
                                       ScenarioTarget target) {
  return Parser(file, target).Parse(text);
}

absl::StatusOr<Scenario> ReadScenario(const std::string& path,
                                      ScenarioTarget target) {
  std::ifstream file(path);
  if (!file) return absl::NotFoundError(path + ": can't open the file");
  std::ostringstream text;
  text << file.rdbuf();
  return ParseScenario(path, text.str(), target);
}

std::string ToString(const Scenario& scenario) {
  const FleetOptions& fleet = scenario.fleet;
  std::string text =
      fmt::format("fleet routers {} agents {} slots {} seed {} delay {}ms\n",
                  fleet.routers, fleet.agents, fleet.slots, fleet.seed,
                  fleet.delay / std::chrono::milliseconds(1));
  for (const auto& [name, weight] : fleet.weights) {
    text += fmt::format("workspace {} weight {}\n", name, weight);
  }
  if (scenario.check_undisturbed) text += "check undisturbed\n";
  for (const Step& step : scenario.steps) {
    text += fmt::format(
        "at {}ms {}",
        std::chrono::duration_cast<std::chrono::milliseconds>(step.at).count(),
        step.verb);
    for (const std::string& word : step.words) text += " " + word;
    for (const auto& [name, value] : step.options) {
      text += fmt::format(" {} {}", name, value);
    }
    text += "\n";
  }
  return text;
}

}  // namespace shallotbeam::fakes
