#include <boost/test/unit_test.hpp>
#include <string>

#include "EngineStandIn/Model.h"

namespace shallotbeam::engine_stand_in {

namespace {

constexpr std::size_t kBlockBytes = PrefixCache::kBlockTokens * 4;

// Guards against an engine model with unlimited capacity, with which
// experiments would see no contention.
BOOST_AUTO_TEST_CASE(SlowsDownBeyondTheBatchOnly) {
  const ModelOptions options{.batch = 16};
  BOOST_TEST(SlowdownOf(options, 1) == 1.0);
  BOOST_TEST(SlowdownOf(options, 16) == 1.0);
  BOOST_TEST(SlowdownOf(options, 32) == 2.0);
}

// Guards against a prefill time that ignores the length of the prompt or the
// cached tokens.
BOOST_AUTO_TEST_CASE(PrefillGrowsWithUncachedTokens) {
  const ModelOptions options{.first_token = Milliseconds(40),
                             .prefill_tokens_per_ms = 100};
  BOOST_TEST(PrefillTime(options, 0, 0).count() == 40.0);
  BOOST_TEST(PrefillTime(options, 1000, 0).count() == 50.0);
  BOOST_TEST(PrefillTime(options, 1000, 500).count() == 45.0);
  BOOST_TEST(PrefillTime(options, 10, 500).count() == 40.0);
}

// Guards against cache hits for blocks that other prompts have at a different
// position.
BOOST_AUTO_TEST_CASE(CachesPrefixesOnly) {
  PrefixCache cache(1000 * PrefixCache::kBlockTokens);
  const std::string a(kBlockBytes, 'a');
  const std::string b(kBlockBytes, 'b');
  BOOST_TEST(cache.Touch(a + b) == 0U);
  BOOST_TEST(cache.Touch(a + b) == 2 * PrefixCache::kBlockTokens);
  BOOST_TEST(cache.Touch(a + a) == PrefixCache::kBlockTokens);
  BOOST_TEST(cache.Touch(b + a) == 0U);
}

// Guards against a cache that grows without limit in long runs.
BOOST_AUTO_TEST_CASE(EvictsTheLeastRecentlyUsedPrefix) {
  PrefixCache cache(2 * PrefixCache::kBlockTokens);
  const std::string a(kBlockBytes, 'a');
  const std::string b(kBlockBytes, 'b');
  const std::string c(kBlockBytes, 'c');
  cache.Touch(a);
  cache.Touch(b);
  cache.Touch(a);
  cache.Touch(c);
  BOOST_TEST(cache.Touch(a) == PrefixCache::kBlockTokens);
  BOOST_TEST(cache.Touch(b) == 0U);
}

}  // namespace

}  // namespace shallotbeam::engine_stand_in
