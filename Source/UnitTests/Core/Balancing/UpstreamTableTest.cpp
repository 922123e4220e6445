#include <boost/test/unit_test.hpp>
#include <map>

#include "Balancing/Affinity.h"
#include "Balancing/UpstreamTable.h"

namespace shallotbeam::balancing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::UpstreamName kName("u");
const common::TimePoint kNow = common::TimePoint() + 1h;

UpstreamEntry EntryOf(std::uint64_t started, bool draining = false) {
  return {
      .pool = common::PoolName("p"), .draining = draining, .started = started};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(UpstreamTableTest)

// An upstream that was removed must get no more work.
BOOST_AUTO_TEST_CASE(RemovedEntryIsGone) {
  UpstreamTable table;
  BOOST_CHECK(PutEntry(table, kName, EntryOf(1)) == UpstreamChange::kAdded);
  BOOST_CHECK(RemoveEntry(table, kName, {}, kNow, {}) ==
              UpstreamChange::kRemoved);
  BOOST_CHECK(table.upstreams.empty());
}

// All entries expire during an outage of the store. The fleet must not be left
// without upstreams after the outage, and expired entries must not be used
// for ever.
BOOST_AUTO_TEST_CASE(ExpiredEntryIsUsedForAWhile) {
  UpstreamTable table;
  PutEntry(table, kName, EntryOf(1));
  RemoveEntry(table, kName, {}, kNow + 100ms, kNow);
  BOOST_REQUIRE_EQUAL(table.upstreams.count(kName), 1);
  BOOST_CHECK(AcceptsWork(table.upstreams.at(kName)));
  BOOST_CHECK(RemoveExpired(table, kNow + 2s).empty());
  BOOST_CHECK_EQUAL(RemoveExpired(table, kNow + 2'200ms).size(), 1);
}

// A draining upstream must not come back into use because of an outage of the
// store.
BOOST_AUTO_TEST_CASE(DrainingEntryIsNotUsedAfterExpiry) {
  UpstreamTable table;
  PutEntry(table, kName, EntryOf(1, true));
  RemoveEntry(table, kName, {}, kNow + 100ms, kNow);
  BOOST_CHECK(table.upstreams.empty());
}

// Guards against an upstream that gets work again by an entry from before it
// stated that it leaves, and against one that gets none after its restart.
BOOST_AUTO_TEST_CASE(LeavingHoldsUntilTheNextIncarnation) {
  UpstreamTable table;
  PutEntry(table, kName, EntryOf(1));
  BOOST_CHECK(MarkLeaving(table, kName));
  BOOST_CHECK(!MarkLeaving(table, kName));
  PutEntry(table, kName, EntryOf(1));
  BOOST_CHECK(!AcceptsWork(table.upstreams.at(kName)));
  PutEntry(table, kName, EntryOf(2));
  BOOST_CHECK(AcceptsWork(table.upstreams.at(kName)));
}

// Guards against requests to an evacuated data centre: also at an upstream that
// appears later, and until the evacuation is taken back.
BOOST_AUTO_TEST_CASE(EvacuatedDataCentreGetsNoWork) {
  UpstreamTable table;
  const common::DataCentreName place("a");
  const common::UpstreamName later("later");
  UpstreamEntry entry = EntryOf(1);
  entry.data_centre = place;
  PutEntry(table, kName, entry);
  BOOST_CHECK_EQUAL(SetEvacuated(table, place, true).size(), 1);
  BOOST_CHECK(SetEvacuated(table, place, true).empty());
  PutEntry(table, kName, entry);
  UpstreamEntry later_entry = entry;
  later_entry.endpoint.port = 1;
  PutEntry(table, later, later_entry);
  BOOST_CHECK(!AcceptsWork(table.upstreams.at(kName)));
  BOOST_CHECK(!AcceptsWork(table.upstreams.at(later)));
  const common::DataCentreName other("b");
  BOOST_CHECK(SetEvacuated(table, other, false).empty());
  BOOST_CHECK_EQUAL(SetEvacuated(table, place, false).size(), 2);
  BOOST_CHECK(AcceptsWork(table.upstreams.at(kName)));
  BOOST_CHECK(AcceptsWork(table.upstreams.at(later)));
}

UpstreamEntry EntryIn(std::uint64_t era, std::uint64_t started,
                      bool draining = false) {
  UpstreamEntry entry = EntryOf(started, draining);
  entry.position = {.era = era, .revision = 5};
  return entry;
}

// Guards against a draining upstream that gets work again by an entry from
// before, which a restored store has brought back.
BOOST_AUTO_TEST_CASE(RestoredEntryDoesNotEndDraining) {
  UpstreamTable table;
  PutEntry(table, kName, EntryIn(1, 7, true));
  BOOST_CHECK(PutEntry(table, kName, EntryIn(2, 7)) ==
              UpstreamChange::kOutdated);
  BOOST_CHECK(!AcceptsWork(table.upstreams.at(kName)));
  // A later entry of that era is no restored one.
  PutEntry(table, kName, EntryIn(2, 7));
  BOOST_CHECK(AcceptsWork(table.upstreams.at(kName)));
}

// Guards against an upstream that has left and gets work again by a restored
// entry.
BOOST_AUTO_TEST_CASE(RestoredEntryOfARemovedUpstreamIsIgnored) {
  UpstreamTable table;
  PutEntry(table, kName, EntryIn(1, 7));
  RemoveEntry(table, kName, {1, 9}, kNow, {});
  BOOST_CHECK(PutEntry(table, kName, EntryIn(2, 7)) ==
              UpstreamChange::kOutdated);
  BOOST_CHECK(table.upstreams.empty());
  BOOST_CHECK(PutEntry(table, kName, EntryIn(2, 7)) == UpstreamChange::kAdded);
}

// Guards against an upstream that is ignored although it has started anew.
BOOST_AUTO_TEST_CASE(LaterIncarnationIsNoRestoredEntry) {
  UpstreamTable table;
  PutEntry(table, kName, EntryIn(1, 7));
  RemoveEntry(table, kName, {1, 9}, kNow, {});
  BOOST_CHECK(PutEntry(table, kName, EntryIn(2, 8)) == UpstreamChange::kAdded);
}

// Guards against an upstream that is ignored because it was missing in the
// restored store for longer than the grace, and then wrote its entry again.
BOOST_AUTO_TEST_CASE(EntryWrittenAgainAfterARestoreIsAccepted) {
  UpstreamTable table;
  PutEntry(table, kName, EntryIn(1, 7));
  RemoveEntry(table, kName, {2, 3}, kNow, kNow);
  BOOST_CHECK(AcceptsWork(table.upstreams.at(kName)));
  BOOST_CHECK_EQUAL(RemoveExpired(table, kNow + 3s).size(), 1);
  BOOST_CHECK(PutEntry(table, kName, EntryIn(2, 7)) == UpstreamChange::kAdded);
}

// Guards against an earlier incarnation that replaces a later one.
BOOST_AUTO_TEST_CASE(RestoredEntryOfAnEarlierIncarnationIsIgnored) {
  UpstreamTable table;
  PutEntry(table, kName, EntryIn(1, 8));
  BOOST_CHECK(PutEntry(table, kName, EntryIn(2, 7)) ==
              UpstreamChange::kOutdated);
  BOOST_CHECK_EQUAL(table.upstreams.at(kName).entry.started, 8);
}

// Guards against a restored entry that takes the address of the upstream that
// uses it now.
BOOST_AUTO_TEST_CASE(RestoredEntryDoesNotTakeAnAddress) {
  const common::UpstreamName earlier("earlier");
  UpstreamTable table;
  PutEntry(table, kName, EntryIn(1, 8));
  PutEntry(table, earlier, EntryIn(2, 7));
  BOOST_CHECK(AcceptsWork(table.upstreams.at(kName)));
  BOOST_CHECK(!AcceptsWork(table.upstreams.at(earlier)));
}

// An address is reused. An upstream that was replaced and later returns under
// its name must get work again.
BOOST_AUTO_TEST_CASE(ReplacedUpstreamReturnsWithItsNextIncarnation) {
  UpstreamTable table;
  PutEntry(table, kName, EntryOf(1));
  MarkReplaced(table, kName);
  BOOST_CHECK(!AcceptsWork(table.upstreams.at(kName)));
  PutEntry(table, kName, EntryOf(1));
  BOOST_CHECK(!AcceptsWork(table.upstreams.at(kName)));
  BOOST_CHECK(PutEntry(table, kName, EntryOf(2)) == UpstreamChange::kRestarted);
  BOOST_CHECK(AcceptsWork(table.upstreams.at(kName)));
}

// After a power failure of all hosts, the entries of the earlier upstreams have
// not expired yet. The earlier upstream at an address must get no work,
// whichever entry is read first.
BOOST_AUTO_TEST_CASE(LaterEntryReplacesTheEarlierAtItsAddress) {
  const common::UpstreamName earlier("earlier");
  const common::UpstreamName later("later");
  const auto entry = [](std::uint64_t revision) {
    UpstreamEntry built = EntryOf(1);
    built.endpoint = {.address = "10.0.0.1", .port = 80};
    built.position.revision = revision;
    return built;
  };
  for (const bool in_order : {true, false}) {
    UpstreamTable table;
    PutEntry(table, in_order ? earlier : later, entry(in_order ? 7 : 9));
    PutEntry(table, in_order ? later : earlier, entry(in_order ? 9 : 7));
    BOOST_CHECK(!AcceptsWork(table.upstreams.at(earlier)));
    BOOST_CHECK(AcceptsWork(table.upstreams.at(later)));
    BOOST_CHECK(UpstreamsAtSameAddress(table, later) == std::vector{earlier});
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AffinityTest)

// Removing an upstream must not make the caches of other upstreams useless, and
// shared prefixes must not concentrate on few upstreams.
BOOST_AUTO_TEST_CASE(PrefixesSpreadAndMoveOnlyWithTheirUpstream) {
  constexpr int kUpstreams = 8;
  std::vector<common::UpstreamName> names(kUpstreams);
  std::vector<const common::UpstreamName*> all(kUpstreams);
  for (std::size_t i = 0; i < names.size(); ++i) {
    names[i] = common::UpstreamName("u" + std::to_string(i));
    all[i] = &names[i];
  }
  const std::vector<const common::UpstreamName*> fewer(all.begin() + 1,
                                                       all.end());
  constexpr int kPrefixes = 4'000;
  std::map<common::UpstreamName, int> prefix_counts;
  for (std::uint64_t prefix_key = 1; prefix_key <= kPrefixes; ++prefix_key) {
    const auto* preferred = RankByPrefix(prefix_key, all).front();
    ++prefix_counts[*preferred];
    if (preferred == all.front()) continue;
    BOOST_CHECK(RankByPrefix(prefix_key, fewer).front() == preferred);
  }
  for (const auto& [name, n] : prefix_counts) {
    BOOST_CHECK_GE(n, 0.8 * kPrefixes / kUpstreams);
    BOOST_CHECK_LE(n, 1.2 * kPrefixes / kUpstreams);
  }
}

// No scheduler responds to a gateway. Prompts with the same prefix must not go
// to all engines in turn, and a heavily used prefix must not overload one
// engine.
BOOST_AUTO_TEST_CASE(BoundedLoadKeepsPrefixesTogetherUntilTheyAreHot) {
  const std::vector<common::UpstreamName> names = {
      common::UpstreamName("a"), common::UpstreamName("b"),
      common::UpstreamName("c"), common::UpstreamName("d")};
  std::vector<const common::UpstreamName*> ranked;
  ranked.reserve(names.size());
  for (const auto& it : names) ranked.push_back(&it);
  BOOST_CHECK(PickWithBoundedLoad(ranked, {0, 0, 0, 0}) == ranked[0]);
  BOOST_CHECK(PickWithBoundedLoad(ranked, {5, 5, 5, 5}) == ranked[0]);
  BOOST_CHECK(PickWithBoundedLoad(ranked, {20, 5, 5, 5}) == ranked[1]);
  BOOST_CHECK(PickWithBoundedLoad(ranked, {20, 20, 5, 5}) == ranked[2]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
