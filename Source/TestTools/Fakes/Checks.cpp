#include "Fakes/Checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

namespace shallotbeam::fakes {

namespace {

using common::Verdict;

bool IsNotRun(const Answer& answer) {
  return answer.type == AnswerType::kRefused &&
         answer.refusal.verdict == Verdict::kNotRun;
}

double Milliseconds(common::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

bool IsSameRequest(const Call& call, const Call& other) {
  if (call.options.key.empty()) return &call == &other;
  return call.options.key == other.options.key &&
         call.options.workspace == other.options.workspace;
}

// A "not run" answer is wrong if the key ran before that answer, or if this
// send or an earlier one runs after it. Sends are ordered by the time at which
// the router read them: the fleet doesn't know of a request that is still
// unread in the socket of a frozen router.
void CheckNotRun(const Records& records, std::size_t index,
                 std::vector<std::string>* found) {
  const Call& call = records.calls[index];
  for (const Answer& answer : call.answers) {
    if (!IsNotRun(answer)) continue;
    for (const Run& run : records.runs) {
      const Call& other = records.calls[run.call];
      const bool contradicts =
          run.started <= answer.at || other.arrived <= call.arrived;
      if (!IsSameRequest(call, other) || !contradicts) continue;
      found->push_back(fmt::format(
          "c{} was answered not-run ({}) but c{} with key \"{}\" ran on {}",
          index + 1, common::ToString(answer.refusal.reason), run.call + 1,
          call.options.key, run.agent));
      break;
    }
  }
}

void CheckAnswers(const Records& records, std::size_t index,
                  std::vector<std::string>* found) {
  const Call& call = records.calls[index];
  const std::size_t answers = call.answers.size();
  if (answers > 1 || (answers == 0 && !call.disconnected)) {
    found->push_back(
        fmt::format("c{} got {} final answers", index + 1, answers));
  }
  for (const Answer& answer : call.answers) {
    for (const std::size_t chunk : answer.chunks) {
      const Call& source = records.calls[records.runs[chunk].call];
      if (chunk != answer.chunks.front()) {
        found->push_back(
            fmt::format("c{} got chunks of two attempts", index + 1));
      }
      if (source.options.content != call.options.content) {
        found->push_back(
            fmt::format("c{} got another caller's response", index + 1));
      }
    }
    const bool complete =
        answer.type != AnswerType::kCompleted || answer.chunks.size() == 2;
    if (!complete) {
      found->push_back(
          fmt::format("c{} got {} of 2 chunks, not marked as truncated",
                      index + 1, answer.chunks.size()));
    }
  }
}

}  // namespace

std::vector<std::string> CheckInvariants(const Fleet& fleet) {
  const Records& records = fleet.GetRecords();
  std::vector<std::string> found = records.violations;
  std::map<std::pair<std::string, std::string>, int> runs;
  for (const Run& run : records.runs) {
    const CallOptions& call = records.calls[run.call].options;
    if (call.key.empty()) continue;
    if (++runs[{call.workspace, call.key}] == 2) {
      found.push_back(fmt::format("key \"{}\" ran more than once", call.key));
    }
  }
  for (std::size_t i = 0; i < records.calls.size(); ++i) {
    CheckAnswers(records, i, &found);
    CheckNotRun(records, i, &found);
  }
  for (const auto& [content, crashes] : records.crashes) {
    if (crashes <= 2) continue;
    found.push_back(
        fmt::format("content {} crashed {} upstreams", content, crashes));
  }
  return found;
}

std::vector<std::string> CheckUndisturbed(const Fleet& fleet) {
  std::vector<std::string> found;
  const Records& records = fleet.GetRecords();
  for (std::size_t i = 0; i < records.calls.size(); ++i) {
    const Call& call = records.calls[i];
    if (call.answers.empty()) continue;
    // An answer may exceed the deadline by the time to confirm "not run"
    // (500 ms) and a tick.
    const common::TimePoint limit =
        call.sent + call.options.timeout + std::chrono::milliseconds(600);
    if (call.answers.front().at <= limit) continue;
    found.push_back(
        fmt::format("c{} was answered {} ms after it was sent", i + 1,
                    Milliseconds(call.answers.front().at - call.sent)));
  }
  const auto& weights = fleet.Options().weights;
  for (auto a = weights.begin(); a != weights.end(); ++a) {
    for (auto b = std::next(a); b != weights.end(); ++b) {
      const double gap = LargestServiceGap(fleet, a->first, b->first);
      const double allowed = AllowedServiceGap(fleet, a->first, b->first);
      if (gap <= allowed) continue;
      found.push_back(
          fmt::format("service of {} and {} differed by {}, allowed {}",
                      a->first, b->first, gap, allowed));
    }
  }
  // Agents drop a dead router after 1 s and its grants after 500 ms.
  const common::Duration idle = LongestIdleSlotTime(fleet);
  if (idle > std::chrono::milliseconds(1600)) {
    found.push_back(fmt::format("a slot was idle for {} ms while work waited",
                                Milliseconds(idle)));
  }
  return found;
}

double LargestServiceGap(const Fleet& fleet, const std::string& a,
                         const std::string& b) {
  double widest = 0;
  double low = 0;
  double high = 0;
  bool both_waited_before = false;
  for (const Sample& sample : fleet.Samples()) {
    const auto at = [](const auto& map, const std::string& name) {
      const auto it = map.find(name);
      return it == map.end() ? 0 : it->second;
    };
    const double difference = at(sample.service, a) - at(sample.service, b);
    const bool both_waiting =
        at(sample.waiting, a) > 0 && at(sample.waiting, b) > 0;
    if (!both_waiting || !both_waited_before) low = high = difference;
    both_waited_before = both_waiting;
    low = std::min(low, difference);
    high = std::max(high, difference);
    widest = std::max(widest, high - low);
  }
  return widest;
}

double AllowedServiceGap(const Fleet& fleet, const std::string& a,
                         const std::string& b) {
  const FleetOptions& options = fleet.Options();
  double largest = 0;
  for (const Call& call : fleet.GetRecords().calls) {
    const std::string& workspace = call.options.workspace;
    if (workspace != a && workspace != b) continue;
    largest =
        std::max(largest, call.options.cost / options.weights.at(workspace));
  }
  double weights = 0;
  for (const auto& [name, weight] : options.weights) weights += weight;
  // A slot serves one unit of cost per millisecond.
  const double rate = 1000.0 * options.agents * options.slots;
  return largest + 2 * rate / weights;
}

common::Duration LongestIdleSlotTime(const Fleet& fleet) {
  common::Duration longest{};
  common::TimePoint since;
  bool idle = false;
  for (const Sample& sample : fleet.Samples()) {
    const bool work_waiting =
        std::any_of(sample.waiting.begin(), sample.waiting.end(),
                    [](const auto& it) { return it.second > 0; });
    const bool now_idle = work_waiting && sample.idle_slot;
    if (!now_idle || !idle) since = sample.at;
    idle = now_idle;
    longest = std::max(longest, sample.at - since);
  }
  return longest;
}

}  // namespace shallotbeam::fakes
