#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "PlatformClients/ChangeLog.h"
#include "Property.h"

namespace shallotbeam::platform_clients {

namespace {

ItemChange Put(const std::string& key, std::uint64_t revision) {
  return {.item = {.key = key,
                   .value = std::to_string(revision),
                   .position = {.revision = revision}}};
}

ItemChange Remove(const std::string& key, std::uint64_t revision) {
  return {.item = {.key = key, .position = {.revision = revision}},
          .removed = true};
}

using Items = std::map<std::string, std::string>;

void Apply(const ItemChange& change, Items* items) {
  if (change.removed) {
    items->erase(change.item.key);
  } else {
    (*items)[change.item.key] = change.item.value;
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ChangeLogTest)

// Guards against a follower that misses a change or reverts one: whenever it
// asks, it ends with the items of the store, or is told to list them.
BOOST_AUTO_TEST_CASE(FollowersEndWithTheItemsOfTheStore) {
  test::CheckProperty("followers catch up", [] {
    ChangeLog log{.options = {.max_removed = 3}};
    RestartLog(log, {.revision = 10});
    Items store;
    Items follower;
    std::uint64_t follower_revision = 10;
    std::uint64_t revision = 10;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const std::string key(1, *rc::gen::inRange('a', 'g'));
      // Several keys may change at one revision.
      revision += static_cast<std::uint64_t>(*rc::gen::inRange(0, 2)) + 1;
      const ItemChange change = *rc::gen::arbitrary<bool>()
                                    ? Put(key, revision)
                                    : Remove(key, revision);
      Apply(change, &store);
      RecordChange(log, change);
      if (*rc::gen::inRange(0, 4) != 0) continue;
      const auto changes = ChangesSince(log, {.revision = follower_revision});
      if (changes) {
        for (const ItemChange& it : *changes) Apply(it, &follower);
      } else {
        follower = store;
      }
      follower_revision = revision;
      RC_ASSERT(follower == store);
    }
  });
}

// Guards against a log that grows with the number of changes.
BOOST_AUTO_TEST_CASE(HoldsOneChangeForEachKey) {
  ChangeLog log{.options = {.max_removed = 2}};
  for (std::uint64_t i = 1; i < 1'000; ++i) RecordChange(log, Put("a", i));
  BOOST_CHECK_EQUAL(log.changes.size(), 1);
  for (std::uint64_t i = 0; i < 10; ++i) {
    RecordChange(log, Remove("b" + std::to_string(i), 1'000 + i));
  }
  BOOST_CHECK_EQUAL(log.changes.size(), 3);
  BOOST_CHECK(!ChangesSince(log, {.revision = 1'000}).has_value());
  BOOST_CHECK_EQUAL(ChangesSince(log, {.revision = 1'007})->size(), 2);
}

// Guards against an older change that arrives late and replaces a newer one.
BOOST_AUTO_TEST_CASE(OlderChangeIsIgnored) {
  ChangeLog log;
  RecordChange(log, Put("a", 7));
  RecordChange(log, Remove("a", 5));
  const auto changes = ChangesSince(log, {.revision = 0});
  BOOST_REQUIRE_EQUAL(changes->size(), 1);
  BOOST_CHECK_EQUAL(changes->front().item.position.revision, 7);
}

// Guards against changes of one era that are taken for changes of another.
BOOST_AUTO_TEST_CASE(PositionOfAnotherEraHasNoChanges) {
  ChangeLog log;
  RestartLog(log, {2, 7});
  RecordChange(log, {.item = {.key = "a", .position = {2, 8}}});
  BOOST_CHECK(!ChangesSince(log, {1, 7}));
  BOOST_CHECK(!ChangesSince(log, {1, 12}));
  BOOST_CHECK(!ChangesSince(log, {3, 7}));
  BOOST_REQUIRE(ChangesSince(log, {2, 7}));
  BOOST_CHECK_EQUAL(ChangesSince(log, {2, 7})->size(), 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::platform_clients
