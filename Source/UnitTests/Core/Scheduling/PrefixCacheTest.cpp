#include <boost/test/unit_test.hpp>

#include "Scheduling/PrefixCache.h"
#include "Scheduling/ReadingPace.h"

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

// Guards against a part that counts as cached without those before it.
BOOST_AUTO_TEST_CASE(OnlyACommonFrontIsCached) {
  PrefixCache cache;
  cache.Use(PromptOf({{1, 100}, {2, 200}, {3, 300}}));
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{1, 100}, {2, 200}, {9, 9}})),
                    300);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{9, 9}, {2, 200}})), 0);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{2, 200}, {3, 300}})), 0);
}

// Guards against a front that yields before what depends on it.
BOOST_AUTO_TEST_CASE(LeastRecentlyUsedPartYields) {
  PrefixCache cache;
  cache.Use(PromptOf({{1, 100}, {2, 200}}));
  cache.Use(PromptOf({{1, 100}, {3, 300}}));
  cache.Shrink(450);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{1, 100}, {3, 300}})), 400);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{1, 100}, {2, 200}})), 100);
  cache.Shrink(100);
  BOOST_CHECK_EQUAL(cache.CachedTokens(PromptOf({{1, 100}, {3, 300}})), 100);
  cache.Clear();
  BOOST_CHECK_EQUAL(cache.Tokens(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReadingPaceTest)

// Guards against an estimate that stays at its assumption while the engine is
// slower.
BOOST_AUTO_TEST_CASE(PaceFollowsABusyEngine) {
  ReadingPace pace;
  const common::TimePoint sent = common::TimePoint() + 1h;
  common::TimePoint now = sent;
  for (int i = 0; i < 50; ++i) {
    now += 200ms;  // 10,000 tokens at 20 us
    ObserveFirstEvent(pace, sent, now, 10'000);
  }
  BOOST_CHECK_CLOSE(NanosecondsPerToken(pace), 20'000, 5);
}

// Pattern: many small prompts between large ones. Guards against the base time
// of a small prompt that counts as reading, so that the engine is sent half of
// what it could read.
BOOST_AUTO_TEST_CASE(SmallPromptsDoNotSlowThePaceDown) {
  ReadingPace pace;
  common::TimePoint now = common::TimePoint() + 1h;
  for (int i = 0; i < 500; ++i) {
    // Sent 20 ms before the first event of another one; its own comes after the
    // base time.
    ObserveFirstEvent(pace, now - 20ms, now + 43ms, 300);
    now += 50ms;
  }
  BOOST_CHECK_LE(NanosecondsPerToken(pace), 11'000);
}

// Guards against idle time that counts as reading.
BOOST_AUTO_TEST_CASE(IdleTimeIsNotReading) {
  ReadingPace pace;
  common::TimePoint now = common::TimePoint() + 1h;
  for (int i = 0; i < 50; ++i) {
    now += 10s;
    ObserveFirstEvent(pace, now - 150ms, now, 10'000);
  }
  BOOST_CHECK_CLOSE(NanosecondsPerToken(pace), 10'000, 1);
  BOOST_CHECK_CLOSE(static_cast<double>(BaseTime(pace).count()),
                    static_cast<double>(common::Duration(50ms).count()), 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::scheduling
