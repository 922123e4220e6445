#include "ProcessScenarios/ProcessChecks.h"

#include <fmt/format.h>

#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace shallotbeam::process_scenarios {

namespace {

using nlohmann::json;

std::int64_t Milliseconds(Clock::time_point time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

// Returns the position in the order in which the routers read the sends. A send
// that a frozen router may have read late counts as read after all others.
std::size_t ReadOrder(const std::deque<Call>& calls, std::size_t index) {
  return calls[index].possibly_unread ? index + calls.size() : index;
}

// A "not run" answer is wrong if the key ran before this send, or if this send
// or an earlier one ran at any time.
void CheckNotRun(const std::deque<Call>& calls, std::size_t index,
                 const std::vector<Run>& runs,
                 std::vector<std::string>* violations) {
  const Call& call = calls[index];
  if (call.outcome != Outcome::kNotRun || call.options.key.empty()) return;
  for (const Run& run : runs) {
    if (run.key != call.options.key) continue;
    const bool contradicts =
        run.started_ms < Milliseconds(call.sent) ||
        ReadOrder(calls, run.tag) <= ReadOrder(calls, index);
    if (!contradicts) continue;
    violations->push_back(fmt::format(
        "send {} via {} was answered not-run ({}) but send {} of "
        "key \"{}\" ran at {}",
        index, call.options.router, call.reason, run.tag, run.key, run.engine));
  }
}

// Checks that a stream has tokens of one run only, without gaps and in order,
// and that a completed stream has all tokens and the end marker. Returns a
// description of the problem, or an empty string.
std::string FindStreamProblem(const Call& call, const std::string& tag) {
  std::istringstream lines(call.response);
  std::string line;
  std::string run;
  int tokens = 0;
  bool ended = false;
  bool tag_matches = false;
  while (std::getline(lines, line)) {
    if (line.rfind("data: ", 0) != 0) continue;
    const std::string data = line.substr(6);
    if (data == "[DONE]") ended = true;
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices")) continue;
    if (event.contains("tag")) {
      tag_matches = event["tag"] == tag;
      continue;
    }
    if (run.empty()) run = event.value("run", "");
    if (event.value("run", "") != run) return "has tokens of two runs";
    const std::string expected = fmt::format("t{} ", tokens++);
    if (event["choices"][0].value("text", "") != expected) {
      return fmt::format("lacks token {}", expected);
    }
  }
  if (call.outcome != Outcome::kCompleted) return "";
  if (!ended || !tag_matches || tokens != call.options.tokens) {
    return fmt::format("looks complete with {} of {} tokens", tokens,
                       call.options.tokens);
  }
  return "";
}

void CheckResponse(const std::deque<Call>& calls, std::size_t index,
                   std::vector<std::string>* violations) {
  const Call& call = calls[index];
  const json body = json::parse(call.body);
  const auto tag = body.value("tag", std::to_string(index));
  if (call.outcome == Outcome::kOpen) {
    violations->push_back(fmt::format("send {} got no final response", index));
  }
  if (call.options.stream) {
    if (call.status != 200) return;
    const std::string problem = FindStreamProblem(call, tag);
    if (problem.empty()) return;
    violations->push_back(
        fmt::format("the stream of send {} {}", index, problem));
    return;
  }
  if (call.outcome != Outcome::kCompleted) return;
  const json response = json::parse(call.response, nullptr, false);
  const bool own = response.is_object() && response.value("tag", "") == tag;
  if (own || !call.options.key.empty()) return;
  violations->push_back(
      fmt::format("send {} got another response: {}", index, call.response));
}

}  // namespace

std::vector<std::string> CheckRun(const std::deque<Call>& calls,
                                  const std::vector<Run>& runs) {
  std::vector<std::string> violations;
  std::map<std::string, int> count;
  for (const Run& run : runs) {
    if (++count[run.key] == 2) {
      violations.push_back(
          fmt::format("key \"{}\" ran more than once", run.key));
    }
  }
  std::map<std::string, std::string> results;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    CheckResponse(calls, i, &violations);
    CheckNotRun(calls, i, runs, &violations);
    const Call& call = calls[i];
    if (call.options.key.empty() || call.outcome != Outcome::kCompleted) {
      continue;
    }
    if (count[call.options.key] == 0) {
      violations.push_back(fmt::format(
          "send {} completed, but key \"{}\" never ran", i, call.options.key));
    }
    const auto [it, first] = results.emplace(call.options.key, call.response);
    if (first || it->second == call.response) continue;
    violations.push_back(fmt::format("two results of key \"{}\": {} and {}",
                                     call.options.key, it->second,
                                     call.response));
  }
  return violations;
}

std::pair<int, int> CountCompleted(const std::deque<Call>& calls,
                                   const std::string& workspace) {
  std::pair<int, int> count;
  for (const Call& it : calls) {
    if (it.options.workspace != workspace) continue;
    ++count.second;
    if (it.outcome == Outcome::kCompleted) ++count.first;
  }
  return count;
}

}  // namespace shallotbeam::process_scenarios
