#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "Balancing/LongPromptPartition.h"

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

  static bool IsLong(int unshared, int shared, common::Duration gap = 400ms) {
    const common::Prompt prompt{
        .prompt_tokens = unshared + shared,
        .parts = {{.id = 1, .tokens = shared}, {.id = 2, .tokens = unshared}}};
    return IsLongPrompt({}, prompt, kNanosecondsPerToken, gap);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LongPromptPartitionTest, Fixture)

// A few very long prompts arrive among many of usual length. They must not run
// on every engine, because each delays all streams of its engine.
BOOST_AUTO_TEST_CASE(LongPromptsUseFewEngines) {
  for (const auto& [n, long_prompt_engines] :
       {std::pair{9, 1}, {12, 2}, {57, 7}}) {
    AddEngines(n);
    const EnginePartition split = PartitionEngines({}, engines);
    BOOST_CHECK_EQUAL(split.long_prompt_engines.size(), long_prompt_engines);
    BOOST_CHECK_EQUAL(split.others.size(), n - long_prompt_engines);
  }
}

// Gateways rank the engines differently for each shared prefix, but must agree
// on the reserved engines. Both groups must keep the given order of the
// engines.
BOOST_AUTO_TEST_CASE(PartitionDoesNotDependOnTheOrderOfEngines) {
  AddEngines(12);
  const EnginePartition split = PartitionEngines({}, engines);
  std::reverse(engines.begin(), engines.end());
  EnginePartition reversed = PartitionEngines({}, engines);
  std::reverse(reversed.long_prompt_engines.begin(),
               reversed.long_prompt_engines.end());
  std::reverse(reversed.others.begin(), reversed.others.end());
  BOOST_CHECK(split.long_prompt_engines == reversed.long_prompt_engines);
  BOOST_CHECK(split.others == reversed.others);
}

// When one reserved engine leaves, the other reserved engines must stay
// reserved.
BOOST_AUTO_TEST_CASE(ReservedEnginesStayWhenOneLeaves) {
  AddEngines(24);
  const EnginePartition before = PartitionEngines({}, engines);
  std::erase(engines, before.long_prompt_engines.front());
  const EnginePartition after = PartitionEngines({}, engines);
  for (const auto* it : before.long_prompt_engines) {
    if (it == before.long_prompt_engines.front()) continue;
    BOOST_CHECK(std::count(after.long_prompt_engines.begin(),
                           after.long_prompt_engines.end(), it) == 1);
  }
}

// The reserved engines must not be a large fraction of a small pool.
BOOST_AUTO_TEST_CASE(SmallPoolReservesNoEngines) {
  AddEngines(5);
  const EnginePartition split = PartitionEngines({}, engines);
  BOOST_CHECK(split.long_prompt_engines.empty());
  BOOST_CHECK(split.others == engines);
}

// Tokens that are likely cached must not make a prompt long, and a request
// without an event gap target must not use the reserved engines.
BOOST_AUTO_TEST_CASE(OnlyUnsharedTokensMakeAPromptLong) {
  BOOST_CHECK(IsLong(30'000, 0));
  BOOST_CHECK(!IsLong(20'000, 0));
  BOOST_CHECK(!IsLong(20'000, 20'000));
  BOOST_CHECK(!IsLong(30'000, 0, 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
