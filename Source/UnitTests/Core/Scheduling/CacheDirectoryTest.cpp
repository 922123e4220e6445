#include <boost/test/unit_test.hpp>

#include "Common/Clock.h"
#include "Scheduling/CacheDirectory.h"

namespace shallotbeam::scheduling {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::UpstreamName kEngine("e");

struct Fixture {
  common::ManualClock clock;
  CacheDirectory directory;

  Fixture() { clock.Advance(1h); }
  common::UpstreamName Holder(std::uint64_t prefix_key) const {
    return FindHolder(directory, clock.Now(), prefix_key);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CacheDirectoryTest, Fixture)

// Prompts with a shared prefix start at other engines than the preferred one.
// The prefix must not be processed again, nor be fetched from an engine that
// has evicted it long ago.
BOOST_AUTO_TEST_CASE(HolderIsKnownWhileItsCacheLasts) {
  BOOST_CHECK(Holder(1).empty());
  RecordHolder(directory, clock.Now(), 1, kEngine);
  BOOST_CHECK(Holder(1) == kEngine);
  BOOST_CHECK(Holder(2).empty());
  clock.Advance(directory.options.cache_lifetime + 1s);
  BOOST_CHECK(Holder(1).empty());
}

// The directory must not grow with the number of prefixes, and old prefixes
// must not prevent recording new ones.
BOOST_AUTO_TEST_CASE(NumberOfPrefixesIsBounded) {
  const std::size_t most = directory.options.max_prefixes;
  for (std::uint64_t i = 0; i < 2 * most; ++i) {
    RecordHolder(directory, clock.Now(), i, kEngine);
  }
  BOOST_CHECK_EQUAL(directory.holders.size(), most);
  clock.Advance(directory.options.cache_lifetime + 1s);
  RecordHolder(directory, clock.Now(), 2 * most, kEngine);
  BOOST_CHECK(Holder(2 * most) == kEngine);
  BOOST_CHECK_EQUAL(directory.holders.size(), 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::scheduling
