#include <algorithm>
#include <vector>

#include "Fairness/ShareLedger.h"
#include "Property.h"

namespace shallotbeam::fairness {

namespace {

const ShareKey kKey(common::PoolName("pool"), common::WorkspaceName("a"));

std::vector<protocol::Shares> GenerateHistory(int writers) {
  std::vector<protocol::Shares> history;
  for (int i = 0; i < writers; ++i) {
    ShareLedger writer;
    const auto incarnation = static_cast<common::Incarnation>(i + 1);
    const auto costs =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(-50, 100));
    for (const int cost : costs) {
      AddService(writer, incarnation, kKey, cost);
      history.push_back(Snapshot(writer));
    }
  }
  return history;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ShareLedgerTest)

// The sums must not depend on the order or number of deliveries.
BOOST_AUTO_TEST_CASE(MergeIgnoresOrderAndRepetition) {
  test::CheckProperty("any order and repetition gives the same sums", [] {
    std::vector<protocol::Shares> history = GenerateHistory(3);
    ShareLedger in_order;
    for (const protocol::Shares& it : history) Merge(in_order, it);

    const auto repeats = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::arbitrary<std::size_t>());
    for (const std::size_t it : repeats) {
      if (!history.empty()) history.push_back(history[it % history.size()]);
    }
    std::reverse(history.begin(), history.end());
    ShareLedger reversed;
    for (const protocol::Shares& it : history) Merge(reversed, it);

    RC_ASSERT(VirtualTime(in_order, kKey) == VirtualTime(reversed, kKey));
  });
}

// A workspace must not save credit while it is idle, and a workspace that is
// not behind must not be changed.
BOOST_AUTO_TEST_CASE(OffsetRaisesOnlyWorkspacesThatAreBehind) {
  ShareLedger ledger;
  SetWeight(ledger, kKey, 2);
  AddService(ledger, static_cast<common::Incarnation>(1), kKey, 10);
  RaiseVirtualTime(ledger, kKey, 3);
  BOOST_CHECK_EQUAL(VirtualTime(ledger, kKey), 5);
  RaiseVirtualTime(ledger, kKey, 8);
  BOOST_CHECK_EQUAL(VirtualTime(ledger, kKey), 8);
}

// Virtual times must not differ by more than the cap. The cap must neither
// change the order of workspaces nor lower any virtual time.
BOOST_AUTO_TEST_CASE(CapKeepsSpreadAndOrder) {
  test::CheckProperty("the spread is at most the cap", [] {
    ShareLedger ledger;
    std::vector<ShareKey> keys;
    std::vector<double> before;
    const auto costs =
        *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 1000));
    for (std::size_t i = 0; i < costs.size(); ++i) {
      keys.emplace_back(common::PoolName("pool"),
                        common::WorkspaceName(std::to_string(i)));
      AddService(ledger, static_cast<common::Incarnation>(1), keys[i],
                 costs[i]);
      before.push_back(VirtualTime(ledger, keys[i]));
    }
    const double cap = *rc::gen::inRange(1, 500);
    LimitVirtualTimeSpread(ledger, keys, cap);
    const double highest = *std::max_element(before.begin(), before.end());
    for (std::size_t i = 0; i < keys.size(); ++i) {
      const double now = VirtualTime(ledger, keys[i]);
      RC_ASSERT(now == std::max(before[i], highest - cap));
    }
  });
}

// Every change must be sent, and nothing must be sent again without a change.
BOOST_AUTO_TEST_CASE(ChangesReplicateTheLedger) {
  ShareLedger writer;
  ShareLedger reader;
  const auto self = static_cast<common::Incarnation>(1);
  for (const common::Cost cost : {30, -10, 7}) {
    AddService(writer, self, kKey, cost);
    RaiseVirtualTime(writer, kKey, 25);
    const protocol::Shares changes = TakeChanges(writer);
    BOOST_CHECK_EQUAL(changes.rows.size(), 1);
    Merge(reader, changes);
    BOOST_CHECK_EQUAL(VirtualTime(reader, kKey), VirtualTime(writer, kKey));
  }
  BOOST_CHECK(TakeChanges(writer).rows.empty());
  // A repeated or older message is not a change; it would otherwise be passed
  // on for ever.
  Merge(reader, Snapshot(writer));
  TakeChanges(reader);
  Merge(reader, Snapshot(writer));
  BOOST_CHECK(TakeChanges(reader).rows.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::fairness
