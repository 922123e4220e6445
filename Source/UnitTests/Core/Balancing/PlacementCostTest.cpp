#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <vector>

#include "Balancing/PlacementCost.h"
#include "Property.h"

namespace shallotbeam::balancing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr double kMedianNs = 15'000;
constexpr PromptFigures kLongPrefix{.tokens = 6'000, .shared_tokens = 5'000};

// Figures of engines as schedulers state them. The prefill times stay within
// the limits of what is believed.
std::vector<CandidateFigures> AnyCandidates(int shared_tokens) {
  std::vector<CandidateFigures> candidates;
  const auto n = *rc::gen::inRange<std::size_t>(1, 12);
  for (std::size_t i = 0; i < n; ++i) {
    CandidateFigures it{
        .wait = std::chrono::milliseconds(*rc::gen::inRange(0, 1'000)),
        .held_tokens = *rc::gen::inRange(0, shared_tokens + 1),
        .fetchable_tokens = *rc::gen::inRange(0, shared_tokens + 1),
        .position = static_cast<int>(i)};
    if (*rc::gen::arbitrary<bool>()) {
      it.ns_per_token = *rc::gen::inRange(2'000, 140'000);
    }
    candidates.push_back(it);
  }
  return candidates;
}

// Time that the engine itself needs for the prompt, computed independently of
// the code under test.
double WorkNs(const PromptFigures& prompt, const CandidateFigures& it) {
  if (prompt.shared_tokens == 0) return 0;
  const double ns = it.ns_per_token.value_or(kMedianNs);
  const int fetched = std::max(it.fetchable_tokens - it.held_tokens, 0);
  return (prompt.tokens - it.held_tokens - fetched) * ns +
         fetched * std::min(kMedianNs * CostOptions{}.fetch_fraction, ns);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PlacementCostTest)

// A request must not wait for a cache longer than the cache saves.
BOOST_AUTO_TEST_CASE(NoWaitExceedsTheSaving) {
  test::CheckProperty("excess wait is at most the saving", [] {
    const int shared = *rc::gen::inRange(0, 20'000);
    const PromptFigures prompt{.tokens = shared + *rc::gen::inRange(1, 20'000),
                               .shared_tokens = shared};
    const auto candidates = AnyCandidates(shared);
    const auto chosen = LeastExpectedTime({}, prompt, candidates, kMedianNs);
    RC_ASSERT(chosen.has_value());
    const CandidateFigures& best = candidates[*chosen];
    const auto& shortest = *std::min_element(
        candidates.begin(), candidates.end(),
        [](const auto& a, const auto& b) { return a.wait < b.wait; });
    const double saving = WorkNs(prompt, shortest) - WorkNs(prompt, best);
    const auto excess =
        static_cast<double>((best.wait - shortest.wait).count());
    RC_ASSERT(excess <= std::max(saving, 0.0) + 2);  // rounded to 1 ns
  });
}

// A prompt that no cache can shorten must not wait for one.
BOOST_AUTO_TEST_CASE(PromptWithoutSharedPartsGoesByTheWaitAlone) {
  test::CheckProperty("the first of the shortest waits is chosen", [] {
    const PromptFigures prompt{.tokens = *rc::gen::inRange(1, 20'000)};
    const auto candidates = AnyCandidates(5'000);
    const auto chosen = LeastExpectedTime({}, prompt, candidates, kMedianNs);
    RC_ASSERT(chosen.has_value());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      RC_ASSERT(candidates[*chosen].wait <= candidates[i].wait);
      RC_ASSERT(i >= *chosen || candidates[i].wait > candidates[*chosen].wait);
    }
  });
}

// An engine with absurd figures must neither draw requests nor upset the choice
// among the others.
BOOST_AUTO_TEST_CASE(AbsurdFiguresAreIgnored) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const double infinite = std::numeric_limits<double>::infinity();
  for (const double it : {nan, infinite, -infinite, -1.0, 0.0, 1e-300, 1e300}) {
    const auto time = ExpectedTime(
        {}, kLongPrefix, {.wait = 5ms, .ns_per_token = it}, kMedianNs);
    const auto unknown =
        ExpectedTime({}, kLongPrefix, {.wait = 5ms}, kMedianNs);
    BOOST_CHECK(time == unknown);
  }
  const auto limit = common::Duration::max();
  for (const common::Duration it : {-1ns, -limit, limit, 24h + 0ns}) {
    BOOST_CHECK(!ExpectedTime({}, kLongPrefix, {.wait = it}, kMedianNs));
    const auto chosen = LeastExpectedTime(
        {}, kLongPrefix, {{.wait = it, .held_tokens = 5'000}, {.wait = 400ms}},
        kMedianNs);
    BOOST_CHECK_EQUAL(chosen.value(), 1);
    // A request is offered to somebody, even if all figures are absurd.
    BOOST_CHECK_EQUAL(
        LeastExpectedTime({}, kLongPrefix, {{.wait = it}}, kMedianNs).value(),
        0);
  }
  for (const int it :
       {-1, std::numeric_limits<int>::min(), std::numeric_limits<int>::max()}) {
    const auto time =
        ExpectedTime({}, kLongPrefix,
                     {.held_tokens = it, .fetchable_tokens = it}, kMedianNs);
    BOOST_CHECK(time >= 1'000 * 15us);
    BOOST_CHECK(time <= 6'000 * 15us);
  }
}

// A prefix has to spread when its engine is busy, and must not when a short
// wait costs less than to move it.
BOOST_AUTO_TEST_CASE(BusyEngineLosesThePrefixOnlyForASaving) {
  const auto choose = [](common::Duration wait, int fetchable) {
    return LeastExpectedTime({}, kLongPrefix,
                             {{.wait = wait, .held_tokens = 5'000},
                              {.fetchable_tokens = fetchable, .position = 1}},
                             kMedianNs)
        .value();
  };
  // To process 5,000 tokens again takes 75 ms, to fetch them 7.5 ms.
  BOOST_CHECK_EQUAL(choose(74ms, 0), 0);
  BOOST_CHECK_EQUAL(choose(76ms, 0), 1);
  BOOST_CHECK_EQUAL(choose(7ms, 5'000), 0);
  BOOST_CHECK_EQUAL(choose(8ms, 5'000), 1);
}

// A short prefix must not make a request wait as long as a long one does.
BOOST_AUTO_TEST_CASE(AcceptedWaitGrowsWithThePrefix) {
  const PromptFigures prompt{.tokens = 800, .shared_tokens = 200};
  const auto chosen = LeastExpectedTime(
      {}, prompt, {{.wait = 4ms, .held_tokens = 200}, {.position = 1}},
      kMedianNs);
  BOOST_CHECK_EQUAL(chosen.value(), 1);
}

BOOST_AUTO_TEST_CASE(NoCandidateIsNoChoice) {
  BOOST_CHECK(!LeastExpectedTime({}, kLongPrefix, {}, kMedianNs));
  BOOST_CHECK(!ShortestPenalisedWait({}, 60ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
