#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "Balancing/ReadingLane.h"

namespace shallotbeam::balancing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

using Names = std::vector<const common::UpstreamName*>;

constexpr double kNanosecondsPerToken = 10'000;

struct Fixture {
  std::vector<common::UpstreamName> names;
  Names engines;

  void AddEngines(int n) {
    names.clear();
    engines.clear();
    for (int i = 0; i < n; ++i) names.emplace_back("e" + std::to_string(i));
    for (const auto& it : names) engines.push_back(&it);
  }

  static bool IsLong(int own, int shared, common::Duration pause = 400ms) {
    const common::Prompt prompt{
        .prompt_tokens = own + shared,
        .parts = {{.id = 1, .tokens = shared}, {.id = 2, .tokens = own}}};
    return IsLongPrompt({}, prompt, kNanosecondsPerToken, pause);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReadingLaneTest, Fixture)

// Pattern: a few very long prompts among many usual ones. Guards against long
// prompts on every engine, where each makes all streams late.
BOOST_AUTO_TEST_CASE(LongPromptsMeetFewEngines) {
  for (const auto& [n, lane] : {std::pair{9, 1}, {12, 2}, {57, 7}}) {
    AddEngines(n);
    const LaneSplit split = SplitLane({}, engines);
    BOOST_CHECK_EQUAL(split.lane.size(), lane);
    BOOST_CHECK_EQUAL(split.others.size(), n - lane);
  }
}

// Guards against gateways that disagree on the lane because they rank engines
// for different subjects, and against orders of subjects that are lost.
BOOST_AUTO_TEST_CASE(LaneDoesNotDependOnTheOrderOfEngines) {
  AddEngines(12);
  const LaneSplit split = SplitLane({}, engines);
  std::reverse(engines.begin(), engines.end());
  LaneSplit reversed = SplitLane({}, engines);
  std::reverse(reversed.lane.begin(), reversed.lane.end());
  std::reverse(reversed.others.begin(), reversed.others.end());
  BOOST_CHECK(split.lane == reversed.lane);
  BOOST_CHECK(split.others == reversed.others);
}

// Guards against a lane that changes as a whole when one engine leaves.
BOOST_AUTO_TEST_CASE(LaneKeepsItsEnginesWhenOneLeaves) {
  AddEngines(24);
  const LaneSplit before = SplitLane({}, engines);
  std::erase(engines, before.lane.front());
  const LaneSplit after = SplitLane({}, engines);
  for (const auto* it : before.lane) {
    if (it == before.lane.front()) continue;
    BOOST_CHECK(std::count(after.lane.begin(), after.lane.end(), it) == 1);
  }
}

// Guards against a lane that takes a large part of a small pool.
BOOST_AUTO_TEST_CASE(FewEnginesHaveNoLane) {
  AddEngines(5);
  const LaneSplit split = SplitLane({}, engines);
  BOOST_CHECK(split.lane.empty());
  BOOST_CHECK(split.others == engines);
}

// Guards against prompts that pass for long because of what is cached, and
// against requests without a target for pauses in the lane.
BOOST_AUTO_TEST_CASE(OnlyOwnTokensMakeAPromptLong) {
  BOOST_CHECK(IsLong(30'000, 0));
  BOOST_CHECK(!IsLong(20'000, 0));
  BOOST_CHECK(!IsLong(20'000, 20'000));
  BOOST_CHECK(!IsLong(30'000, 0, 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
