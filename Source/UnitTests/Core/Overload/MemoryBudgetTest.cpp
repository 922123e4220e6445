#include <vector>

#include "Overload/MemoryBudget.h"
#include "Property.h"

namespace shallotbeam::overload {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::TimePoint kNow = common::TimePoint() + 1h;
constexpr std::size_t kOrdinary = 12'000;
constexpr std::size_t kLong = 1'000'000;

PartialMessage MessageOf(std::size_t bytes, common::Duration since_progress) {
  return {.bytes = bytes, .last_progress = kNow - since_progress};
}

std::shared_ptr<MemoryBudget> BudgetOf(std::size_t bytes) {
  return std::make_shared<MemoryBudget>(
      MemoryBudget{.options = {.bytes = bytes}});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(MemoryBudgetTest)

// Guards against bytes that are counted for ever, or freed twice, so that the
// budget is used up by nobody or exceeded unnoticed.
BOOST_AUTO_TEST_CASE(UsedBytesAreTheSumOfAllCharges) {
  test::CheckProperty("charges add up", [] {
    const auto budget = BudgetOf(1'000);
    std::vector<MemoryCharge> charges(3);
    for (MemoryCharge& it : charges) it = MemoryCharge(budget);
    for (int i = 0; i < 20; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, charges.size());
      const auto other = *rc::gen::inRange<std::size_t>(0, charges.size());
      const int action = *rc::gen::inRange(0, 3);
      if (action == 0) charges[at].Set(*rc::gen::inRange(0, 500));
      if (action == 1) charges[at] = MemoryCharge(budget);
      if (action == 2 && at != other) charges[at] = std::move(charges[other]);
      std::size_t sum = 0;
      for (const MemoryCharge& it : charges) sum += it.Bytes();
      RC_ASSERT(budget->used == sum);
    }
    charges.clear();
    RC_ASSERT(budget->used == 0U);
  });
}

// Guards against sums that wrap.
BOOST_AUTO_TEST_CASE(RoomEndsWithTheBudget) {
  const auto budget = BudgetOf(1'000);
  MemoryCharge charge(budget);
  charge.Set(600);
  BOOST_CHECK(HasRoom(*budget, 400));
  BOOST_CHECK(!HasRoom(*budget, 401));
  BOOST_CHECK(!HasRoom(*budget, std::size_t(-1)));
  BOOST_CHECK(IsTight(*budget));
  charge.Set(1'100);
  BOOST_CHECK(!HasRoom(*budget, 0));
  charge.Set(500);
  BOOST_CHECK(!IsTight(*budget));
}

// Load: many long bodies, all of them still arriving. Guards against ordinary
// requests that find no room beside them.
BOOST_AUTO_TEST_CASE(LongBodiesGiveWayToAnOrdinaryRequest) {
  const std::vector<PartialMessage> messages = {
      MessageOf(kOrdinary, 5s), MessageOf(kLong, 0s), MessageOf(kLong / 2, 0s)};
  BOOST_CHECK(PickVictim(messages, 0, kNow) == 1);
  BOOST_CHECK(PickVictim(messages, kOrdinary, kNow) == 1);
}

// Load: bodies that stop short of their end and stay open. Guards against a
// long body that is refused for them.
BOOST_AUTO_TEST_CASE(StalledBodiesGiveWayToALongOne) {
  const std::vector<PartialMessage> messages = {
      MessageOf(kLong, 0s), MessageOf(kLong, 2s), MessageOf(kLong / 2, 2s)};
  BOOST_CHECK(PickVictim(messages, kLong, kNow) == 1);
}

// Guards against long bodies that refuse each other in turn, so that none of
// them is ever whole.
BOOST_AUTO_TEST_CASE(BodiesOfTheSameSizeDoNotGiveWay) {
  const std::vector<PartialMessage> messages = {MessageOf(kLong, 0s),
                                                MessageOf(kLong, 100ms)};
  BOOST_CHECK(!PickVictim(messages, kLong / 2, kNow));
  BOOST_CHECK(!PickVictim({}, 0, kNow));
  BOOST_CHECK(!PickVictim({MessageOf(kOrdinary, 5s)}, kLong, kNow));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::overload
