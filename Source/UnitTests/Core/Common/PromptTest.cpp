#include <boost/test/unit_test.hpp>
#include <limits>

#include "Common/Prompt.h"

namespace shallotbeam::common {

namespace {

Prompt WithParts(int n, int tokens) {
  Prompt prompt;
  for (int i = 0; i < n; ++i) {
    prompt.parts.push_back(
        {.id = static_cast<std::uint64_t>(i) + 1, .tokens = tokens});
  }
  return prompt;
}

Prompt Shortened(Prompt prompt) {
  ShortenParts(prompt);
  return prompt;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PromptTest)

// Guards against a limit that changes the prompts of ordinary callers.
BOOST_AUTO_TEST_CASE(ListsUpToTheLimitStayAsTheyAre) {
  for (const int n : {0, 1, 3, static_cast<int>(kMaxPromptParts)}) {
    const Prompt prompt = WithParts(n, 10);
    BOOST_CHECK(Shortened(prompt).parts == prompt.parts);
  }
}

// Guards against memory that grows with the list of a caller.
BOOST_AUTO_TEST_CASE(LongListsAreShortened) {
  const Prompt prompt = WithParts(2'600, 2);
  const Prompt shortened = Shortened(prompt);
  BOOST_CHECK_EQUAL(shortened.parts.size(), kMaxPromptParts);
  BOOST_CHECK_LE(shortened.parts.capacity(), 2 * kMaxPromptParts);
  BOOST_CHECK_EQUAL(SharedTokens(shortened), SharedTokens(prompt));
  BOOST_CHECK(shortened.parts.front() == prompt.parts.front());
  BOOST_CHECK(shortened.parts.back() == prompt.parts.back());
}

// Guards against prompts with different parts that count as the same prefix,
// and the same ones that don't.
BOOST_AUTO_TEST_CASE(PrefixIsTheSameOnlyForTheSameParts) {
  const Prompt prompt = WithParts(100, 2);
  const std::uint64_t key = SharedPrefixKey(Shortened(prompt));
  BOOST_CHECK_EQUAL(SharedPrefixKey(Shortened(prompt)), key);
  Prompt other = prompt;
  other.parts[60].id = 7'000;
  BOOST_CHECK_NE(SharedPrefixKey(Shortened(other)), key);
  other = prompt;
  std::swap(other.parts[60], other.parts[61]);
  BOOST_CHECK_NE(SharedPrefixKey(Shortened(other)), key);
}

// Guards against parts that take no room in a cache but do in a process, and
// against a shared part that counts as the request's own.
BOOST_AUTO_TEST_CASE(SharedPartsWithoutTokensAreDropped) {
  for (const int tokens : {0, -5}) {
    const Prompt own = Shortened(WithParts(100, tokens));
    BOOST_REQUIRE_EQUAL(own.parts.size(), 1);
    BOOST_CHECK_EQUAL(own.parts[0].id, 100);
    BOOST_CHECK_EQUAL(own.parts[0].tokens, 0);
  }
  Prompt prompt = WithParts(3, 10);
  prompt.parts.back().tokens = 0;
  BOOST_CHECK_EQUAL(SharedTokens(Shortened(prompt)), 20);
}

// Guards against sums that overflow.
BOOST_AUTO_TEST_CASE(SumOfTheTokensIsLimited) {
  constexpr int kMost = std::numeric_limits<int>::max();
  for (const int n : {2, 100}) {
    const Prompt shortened = Shortened(WithParts(n, kMost));
    std::int64_t sum = 0;
    for (const PromptPart& it : shortened.parts) sum += it.tokens;
    BOOST_CHECK_EQUAL(sum, kMost);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::common
