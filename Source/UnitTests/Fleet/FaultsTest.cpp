#include <fmt/format.h>

#include <algorithm>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "Fakes/Scenario.h"
#include "Property.h"

namespace shallotbeam::fakes {

// Prints a step of a failing schedule. RapidCheck calls this function by name.
// NOLINTNEXTLINE(readability-identifier-naming)
static void showValue(const Step& step, std::ostream& out) {
  Scenario scenario;
  scenario.steps.push_back(step);
  const std::string text = ToString(scenario);
  out << text.substr(text.find("\nat ") + 1);
}

namespace {

constexpr int kRouters = 2;
constexpr int kAgents = 3;
constexpr int kLastStepMs = 3000;

std::string Pick(const std::vector<std::string>& choices) {
  return *rc::gen::elementOf(choices);
}

std::string Router() { return Pick({"r1", "r2"}); }
std::string Agent() { return Pick({"a1", "a2", "a3"}); }
std::string Process() { return Pick({"r1", "r2", "a1", "a2", "a3"}); }
std::string Time(int low, int high) {
  return fmt::format("{}ms", *rc::gen::inRange(low, high));
}

Step Call() {
  Step step{.verb = "send", .words = {"c"}};
  step.options = {{"via", Router()},
                  {"workspace", Pick({"a", "b"})},
                  {"cost", std::to_string(*rc::gen::inRange(5, 400))},
                  {"deadline", Time(200, 4000)}};
  if (*rc::gen::inRange(0, 4) == 0) step.options["leaves"] = Time(0, 600);
  return step;
}

Step Order() {
  Step step = Call();
  step.options["kind"] = "order";
  if (*rc::gen::inRange(0, 3) == 0) {
    step.options["ticket"] = "yes";
    step.options["again"] = Router();
    return step;
  }
  // Orders with equal numbers are resends of one order.
  const int number = *rc::gen::inRange(1, 5);
  step.options["workspace"] = "a";
  step.options["key"] = fmt::format("k{}", number);
  step.options["content"] = std::to_string(1'000'000 + number);
  return step;
}

Step CrashingCall() {
  Step step = Call();
  step.options["crashes"] = "yes";
  step.options["content"] = std::to_string(2'000'000 + *rc::gen::inRange(1, 3));
  return step;
}

Step Flood() {
  return {.verb = "flood",
          .words = {Pick({"a", "b"})},
          .options = {{"via", Router()},
                      {"count", std::to_string(*rc::gen::inRange(1, 60))},
                      {"every", Time(1, 20)},
                      {"cost", std::to_string(*rc::gen::inRange(5, 200))},
                      {"kind", Pick({"chat", "urgent", "background"})}}};
}

// A fault that neither cuts a link nor freezes a process.
Step FaultWithoutPartition() {
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return {.verb = "kill", .words = {Process()}};
    case 1:
      return {.verb = "restart", .words = {Process()}};
    case 2:
      return {.verb = "store", .words = {Pick({"down", "slow"})}};
    case 3:
      return {.verb = "store", .words = {Pick({"loses-answers", "up"})}};
    case 4:
      return {.verb = "upstream",
              .words = {Agent(), Pick({"up", "slow", "errors", "silent",
                                       "refuses", "crash"})}};
    case 5:
      return {.verb = "publish"};
    case 6:
      return {.verb = "drain", .words = {Process()}};
    default:
      return {.verb = "leave", .words = {Agent()}};
  }
}

Step AnyFault() {
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return {.verb = "freeze", .words = {Process()}};
    case 1:
      return {.verb = "resume", .words = {Process()}};
    case 2:
      return {.verb = "cut",
              .words = {Router(), Pick({"a1", "a2", "a3", "store"})}};
    case 3:
      return {.verb = "heal",
              .words = {Router(), Pick({"a1", "a2", "a3", "store"})}};
    default:
      return FaultWithoutPartition();
  }
}

template <typename Fault>
rc::Gen<std::vector<Step>> Schedules(Fault&& fault) {
  const auto step = rc::gen::exec([fault] {
    Step step;
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
      case 1:
      case 2:
        step = Call();
        break;
      case 3:
      case 4:
      case 5:
      case 6:
        step = Order();
        break;
      case 7:
        step = CrashingCall();
        break;
      case 8:
        step = Flood();
        break;
      default:
        step = fault();
    }
    step.at = std::chrono::milliseconds(*rc::gen::inRange(0, kLastStepMs));
    return step;
  });
  // Up to 40 steps in 3 s, so that several faults overlap.
  // gen::inRange returns narrower ranges for smaller sizes, so the steps keep
  // the nominal size.
  return rc::gen::scale(0.4, rc::gen::container<std::vector<Step>>(
                                 rc::gen::resize(rc::kNominalSize, step)));
}

std::vector<std::string> RunSteps(const std::vector<Step>& steps,
                                  bool check_undisturbed, RunCounts* counts) {
  Scenario scenario;
  scenario.file = "schedule";
  scenario.fleet.routers = kRouters;
  scenario.fleet.agents = kAgents;
  scenario.check_undisturbed = check_undisturbed;
  scenario.steps = steps;
  scenario.fleet.seed = steps.size() + 1;
  return RunScenario(scenario, counts);
}

bool Mentions(const std::string& violation, const std::string& words) {
  return violation.find(words) != std::string::npos;
}

// Violations that the suite FaultsAlone checks separately.
bool IsLateStart(const std::string& violation) {
  return Mentions(violation, "first sign of leaving");
}
bool IsCrash(const std::string& violation) {
  return Mentions(violation, "upstreams");
}
bool IsGap(const std::string& violation) {
  return Mentions(violation, "differed by");
}
bool IsOther(const std::string& violation) {
  return !IsLateStart(violation) && !IsCrash(violation) && !IsGap(violation);
}

// Checks that the schedules exercise the fleet: without load and crashes the
// invariants hold trivially.
void CheckCounts(const RunCounts& counts) {
  for (const char* it :
       {"completed", "not-run", "may-have-run", "truncated", "broken"}) {
    const auto count = counts.answers.find(it);
    const std::size_t found = count == counts.answers.end() ? 0 : count->second;
    BOOST_TEST_MESSAGE(it << ": " << found);
    BOOST_CHECK_MESSAGE(found >= 50, it << " was seen " << found << " times");
  }
  BOOST_TEST_MESSAGE("runs: " << counts.runs << ", crashes: " << counts.crashes
                              << ", contended: " << counts.contended);
  BOOST_CHECK_GE(counts.crashes, 50);
  BOOST_CHECK_GE(counts.contended, 1000);
}

template <typename Fault, typename Predicate>
void CheckSchedules(const std::string& description, Fault&& fault,
                    bool undisturbed, Predicate&& counts_as_failure,
                    RunCounts* counts = nullptr) {
  test::CheckProperty(description, [&] {
    const std::vector<Step> steps = *Schedules(fault);
    for (const std::string& it : RunSteps(steps, undisturbed, counts)) {
      if (counts_as_failure(it)) RC_FAIL(it);
    }
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(FaultsTest)

// Guards against violations that occur only when faults overlap.
BOOST_AUTO_TEST_CASE(AnyFaults) {
  RunCounts counts;
  CheckSchedules("the invariants hold under any faults", AnyFault, false,
                 IsOther, &counts);
  CheckCounts(counts);
}

// Guards against idle slots and late answers when processes die, upstreams fail
// and the store is unavailable, but no link is cut.
BOOST_AUTO_TEST_CASE(FaultsWithoutPartitions) {
  RunCounts counts;
  CheckSchedules("nobody waits too long", FaultWithoutPartition, true, IsOther,
                 &counts);
  CheckCounts(counts);
}

BOOST_AUTO_TEST_SUITE_END()

// Each case of this suite is a separate CTest test, so that KNOWN-RED.txt can
// list it.
BOOST_AUTO_TEST_SUITE(FaultsAlone)

// Guards against new requests for a leaving upstream more than 2 s after the
// first sign of leaving (drain or host list).
BOOST_AUTO_TEST_CASE(Leaving) {
  CheckSchedules("a leaving upstream gets no new work", AnyFault, false,
                 IsLateStart);
}

// Guards against a request that crashes more than two upstreams.
BOOST_AUTO_TEST_CASE(Crashes) {
  CheckSchedules("a request crashes at most two upstreams", AnyFault, false,
                 IsCrash);
}

// Guards against a difference in weighted service between two waiting
// workspaces of more than one largest request plus the service of one share in
// 2 s.
BOOST_AUTO_TEST_CASE(Gap) {
  CheckSchedules("service is fair", FaultWithoutPartition, true, IsGap);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::fakes
