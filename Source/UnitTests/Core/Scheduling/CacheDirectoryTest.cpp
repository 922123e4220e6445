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
  common::UpstreamName Holder(std::uint64_t subject) const {
    return HolderOf(directory, clock.Now(), subject);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CacheDirectoryTest, Fixture)

// Pattern: prompts of a subject start away from their home. Guards against
// parts that are read again, and against a fetch from an engine that has long
// dropped them.
BOOST_AUTO_TEST_CASE(HolderIsKnownWhileItsCacheLasts) {
  BOOST_CHECK(Holder(1).empty());
  NoteHolder(directory, clock.Now(), 1, kEngine);
  BOOST_CHECK(Holder(1) == kEngine);
  BOOST_CHECK(Holder(2).empty());
  clock.Advance(directory.options.memory + 1s);
  BOOST_CHECK(Holder(1).empty());
}

// Guards against memory that grows with the number of subjects, and against old
// subjects that keep new ones out.
BOOST_AUTO_TEST_CASE(SubjectsAreBounded) {
  const std::size_t most = directory.options.max_subjects;
  for (std::uint64_t i = 0; i < 2 * most; ++i) {
    NoteHolder(directory, clock.Now(), i, kEngine);
  }
  BOOST_CHECK_EQUAL(directory.holders.size(), most);
  clock.Advance(directory.options.memory + 1s);
  NoteHolder(directory, clock.Now(), 2 * most, kEngine);
  BOOST_CHECK(Holder(2 * most) == kEngine);
  BOOST_CHECK_EQUAL(directory.holders.size(), 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::scheduling
