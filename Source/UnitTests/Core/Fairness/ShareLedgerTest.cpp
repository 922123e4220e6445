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

// Guards against sums that depend on the order or number of deliveries.
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

// Guards against saved credit of a workspace that was idle.
BOOST_AUTO_TEST_CASE(LiftRaisesOnlyWhoIsBehind) {
  ShareLedger ledger;
  SetWeight(ledger, kKey, 2);
  AddService(ledger, static_cast<common::Incarnation>(1), kKey, 10);
  LiftTo(ledger, kKey, 3);
  BOOST_CHECK_EQUAL(VirtualTime(ledger, kKey), 5);
  LiftTo(ledger, kKey, 8);
  BOOST_CHECK_EQUAL(VirtualTime(ledger, kKey), 8);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::fairness
