#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "Balancing/LongPromptDemand.h"

namespace shallotbeam::balancing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr int kLongTokens = 20'000;
constexpr int kUsualTokens = 1'000;
constexpr double kMinFraction = 0.125;

struct Fixture {
  LongPromptDemand demand;
  common::TimePoint now{1'000s};
  int changes = 0;

  void Record(int tokens, bool is_long) {
    if (RecordDemand(demand, now, tokens, is_long)) ++changes;
  }

  // Load of one gateway: in each second 30 usual prompts and, evenly spread,
  // so many long ones that they make up `long_share` of all tokens.
  void Run(std::chrono::seconds duration, double long_share) {
    constexpr int kUsualPerSecond = 30;
    const double long_per_usual = long_share / (1 - long_share) * kUsualTokens /
                                  static_cast<double>(kLongTokens);
    double due = 0;
    for (int i = 0; i < duration.count() * kUsualPerSecond; ++i) {
      now += 1'000ms / kUsualPerSecond;
      Record(kUsualTokens, false);
      for (due += long_per_usual; due >= 1; --due) Record(kLongTokens, true);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LongPromptDemandTest, Fixture)

// Load: long prompts are 40% of the prefill work. On an eighth of the engines
// most of them would be refused while all others are served.
BOOST_AUTO_TEST_CASE(FractionFollowsALargeShareOfLongPrompts) {
  Run(15s, 0.4);
  BOOST_CHECK_GT(demand.fraction, 0.28);
  BOOST_CHECK_LT(demand.fraction, 0.48);
}

// Load: long prompts are 5% of the prefill work. The reserved engines must stay
// those that an earlier version reserved.
BOOST_AUTO_TEST_CASE(FractionStaysAtTheMinimumForFewLongPrompts) {
  Run(30s, 0.05);
  BOOST_CHECK_EQUAL(demand.fraction, kMinFraction);
}

// Load: one very long prompt after a night without any request. It must not
// take engines from all others.
BOOST_AUTO_TEST_CASE(OneLongPromptMovesLittle) {
  Record(kUsualTokens, false);
  now += 8h;
  Record(kLongTokens, true);
  BOOST_CHECK_LT(demand.fraction, 2 * kMinFraction + 0.04);
}

// Load: nothing but long prompts. Some engines must stay for other prompts,
// which are the more urgent ones.
BOOST_AUTO_TEST_CASE(OtherPromptsKeepHalfOfTheEngines) {
  for (int i = 0; i < 1'000; ++i) Record(kLongTokens, true);
  BOOST_CHECK_EQUAL(demand.fraction, 0.5);
}

// Load: long prompts end. The engines must be free for others soon, and the
// fraction must reach its minimum and not stop just above it.
BOOST_AUTO_TEST_CASE(FractionFallsBackWhenLongPromptsEnd) {
  Run(15s, 0.4);
  Run(40s, 0);
  BOOST_CHECK_EQUAL(demand.fraction, kMinFraction);
}

// Load: a steady mix in which single long prompts make the share vary. Each
// change of the fraction costs cached prefixes.
BOOST_AUTO_TEST_CASE(FractionDoesNotFlap) {
  Run(30s, 0.4);
  changes = 0;
  Run(60s, 0.4);
  BOOST_CHECK_LE(changes, 1);
}

// Load: a caller states absurd prompt lengths. They must not make the fraction
// leave its bounds or stick.
BOOST_AUTO_TEST_CASE(AbsurdLengthsStayWithinBounds) {
  Record(-5, true);
  BOOST_CHECK_EQUAL(demand.fraction, kMinFraction);
  Record(2'000'000'000, true);
  BOOST_CHECK_LE(demand.fraction, 0.5);
  Run(60s, 0.05);
  BOOST_CHECK_EQUAL(demand.fraction, kMinFraction);
}

// Gateways whose demand differs must agree on nearly all reserved engines:
// those of a smaller fraction are reserved at a larger one, too.
BOOST_AUTO_TEST_CASE(ReservedEnginesOfAllFractionsAreNested) {
  std::vector<common::UpstreamName> names;
  names.reserve(44);
  for (int i = 0; i < 44; ++i) names.emplace_back("e" + std::to_string(i));
  std::vector<const common::UpstreamName*> engines;
  engines.reserve(names.size());
  for (const auto& it : names) engines.push_back(&it);
  const auto small =
      PartitionEngines({.engine_fraction = 0.125}, engines).long_prompt_engines;
  const auto large =
      PartitionEngines({.engine_fraction = 0.4}, engines).long_prompt_engines;
  BOOST_CHECK_EQUAL(large.size(), 18);
  for (const auto* it : small) {
    BOOST_CHECK(std::count(large.begin(), large.end(), it) == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
