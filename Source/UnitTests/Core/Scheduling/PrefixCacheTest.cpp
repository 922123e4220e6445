#include <boost/test/unit_test.hpp>

#include "Scheduling/PrefillRate.h"
#include "Scheduling/PrefixCache.h"

namespace shallotbeam::scheduling {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

common::Prompt PromptOf(std::vector<common::PromptPart> parts) {
  common::Prompt prompt{.model = "m"};
  for (const common::PromptPart& it : parts) prompt.prompt_tokens += it.tokens;
  prompt.parts = std::move(parts);
  return prompt;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PrefixCacheTest)

// A part must not count as cached without all parts before it.
BOOST_AUTO_TEST_CASE(OnlyACommonPrefixIsCached) {
  PrefixCache cache;
  cache.Insert(PromptOf({{1, 100}, {2, 200}, {3, 300}}));
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{1, 100}, {2, 200}, {9, 9}})),
                    300);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{9, 9}, {2, 200}})), 0);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{2, 200}, {3, 300}})), 0);
}

// A prefix must not be evicted before the parts that depend on it.
BOOST_AUTO_TEST_CASE(LeastRecentlyUsedPartIsEvicted) {
  PrefixCache cache;
  cache.Insert(PromptOf({{1, 100}, {2, 200}}));
  cache.Insert(PromptOf({{1, 100}, {3, 300}}));
  cache.EvictTo(450);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{1, 100}, {3, 300}})), 400);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{1, 100}, {2, 200}})), 100);
  cache.EvictTo(100);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{1, 100}, {3, 300}})), 100);
  cache.Clear();
  BOOST_CHECK_EQUAL(cache.Tokens(), 0);
}

// Guards against memory that grows with tiny parts, which stay far below the
// engine's memory, or while that is not known.
BOOST_AUTO_TEST_CASE(NumberOfPartsIsLimited) {
  constexpr std::uint64_t kPrompts = 200'000;
  PrefixCache cache;
  for (std::uint64_t i = 1; i <= kPrompts; ++i) {
    cache.Insert(PromptOf({{i, 1}}));
  }
  BOOST_CHECK_LE(cache.Tokens(), kPrompts / 2);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{1, 1}})), 0);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{kPrompts, 1}})), 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PrefillRateTest)

// The estimate must not stay at its initial assumption while the engine is
// slower.
BOOST_AUTO_TEST_CASE(EstimateFollowsABusyEngine) {
  PrefillRate rate;
  const common::TimePoint sent = common::TimePoint() + 1h;
  common::TimePoint now = sent;
  for (int i = 0; i < 50; ++i) {
    now += 200ms;  // 10,000 tokens at 20 us
    ObserveFirstEvent(rate, sent, now, 10'000);
  }
  BOOST_CHECK_CLOSE(NanosecondsPerToken(rate), 20'000, 5);
}

// Many small prompts arrive between large ones. If the base latency of a small
// prompt counted as prefill, the engine would be sent only half of the work
// that it can do.
BOOST_AUTO_TEST_CASE(SmallPromptsDoNotDistortTheEstimate) {
  PrefillRate rate;
  common::TimePoint now = common::TimePoint() + 1h;
  for (int i = 0; i < 500; ++i) {
    // Each prompt is sent 13 ms before the first event of the previous prompt.
    // Its own first event arrives 63 ms after it was sent, mostly because of
    // the base latency.
    ObserveFirstEvent(rate, now - 20ms, now + 43ms, 300);
    now += 50ms;
  }
  BOOST_CHECK_LE(NanosecondsPerToken(rate), 11'000);
}

// Idle time must not count as prefill time.
BOOST_AUTO_TEST_CASE(IdleTimeIsNotPrefill) {
  PrefillRate rate;
  common::TimePoint now = common::TimePoint() + 1h;
  for (int i = 0; i < 50; ++i) {
    now += 10s;
    ObserveFirstEvent(rate, now - 150ms, now, 10'000);
  }
  BOOST_CHECK_CLOSE(NanosecondsPerToken(rate), 10'000, 1);
  BOOST_CHECK_CLOSE(static_cast<double>(BaseLatency(rate).count()),
                    static_cast<double>(common::Duration(50ms).count()), 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::scheduling
