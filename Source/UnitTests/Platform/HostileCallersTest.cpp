#include <boost/test/unit_test.hpp>

#include "Platform/HostileFixture.h"

// Callers that nobody controls must not end a gateway: what it holds for them
// stays within its memory, and ordinary callers are served beside them.
namespace shallotbeam::platform_adapter {

namespace {

constexpr int kOk = 200;
constexpr int kCrowd = 96;
constexpr int kPrompts = 120;
// Each of this many callers of a crowd sends its whole body.
constexpr int kWholeEach = 8;
constexpr std::size_t kOrdinaryBytes = 12'000;
constexpr std::size_t kFarTooLong = 64 * kMaxBodyBytes;
constexpr int kSmallCrowd = 16;

bool IsWhole(int number) { return number % kWholeEach == 0; }

}  // namespace

BOOST_FIXTURE_TEST_SUITE(HostileCallersTest, HostileFixture)

// Guards against a bound that refuses a caller inside the limits.
BOOST_AUTO_TEST_CASE(LongestBodyIsServedInCalm) {
  BOOST_CHECK_EQUAL(Request(kMaxBodyBytes), kOk);
  Check();
}

// Guards against the sum of bodies of legal size, each sent at once.
BOOST_AUTO_TEST_CASE(ManyBodiesThatStopShortOfTheirEnd) {
  for (int i = 0; i < kCrowd; ++i) {
    AddCaller(PlainUpload(kMaxBodyBytes, 65'536, IsWhole(i) ? 0 : 1));
  }
  SendAll();
  BOOST_TEST_MESSAGE(Statuses());
  BOOST_CHECK_EQUAL(Request(kOrdinaryBytes), kOk);
}

// The same in small pieces.
BOOST_AUTO_TEST_CASE(ManyBodiesInPieces) {
  for (int i = 0; i < kCrowd; ++i) {
    AddCaller(PlainUpload(kMaxBodyBytes, 1'024, IsWhole(i) ? 0 : 1));
  }
  SendAll();
  BOOST_TEST_MESSAGE(Statuses());
  BOOST_CHECK_EQUAL(Request(kOrdinaryBytes), kOk);
}

// Guards against bodies whose length is not stated.
BOOST_AUTO_TEST_CASE(ManyBodiesInLargeChunks) {
  for (int i = 0; i < kCrowd; ++i) {
    AddCaller(ChunkedUpload(kMaxBodyBytes - 65'536, 65'536, IsWhole(i)));
  }
  SendAll();
  BOOST_TEST_MESSAGE(Statuses());
  BOOST_CHECK_EQUAL(Request(kOrdinaryBytes), kOk);
}

// The same with more framing than body.
BOOST_AUTO_TEST_CASE(ManyBodiesInTinyChunks) {
  for (int i = 0; i < kCrowd; ++i) {
    AddCaller(ChunkedUpload(kMaxBodyBytes - 65'536, 4, IsWhole(i)));
  }
  SendAll();
  BOOST_TEST_MESSAGE(Statuses());
  BOOST_CHECK_EQUAL(Request(kOrdinaryBytes), kOk);
}

// Guards against heads of legal size that take many times their size in memory.
BOOST_AUTO_TEST_CASE(ManyHeadsOfTinyFields) {
  for (int i = 0; i < kCrowd; ++i) AddCaller(ManyFieldsUpload());
  SendAll();
  BOOST_TEST_MESSAGE(Statuses());
  BOOST_CHECK_EQUAL(Request(kOrdinaryBytes), kOk);
}

// Guards against bodies far over the limit whose length is stated.
BOOST_AUTO_TEST_CASE(BodiesOfAnAnnouncedLengthFarOverTheLimit) {
  for (int i = 0; i < kSmallCrowd; ++i) {
    AddCaller(PlainUpload(kFarTooLong, 65'536, 1));
  }
  SendAll();
  BOOST_TEST_MESSAGE(Statuses());
  BOOST_CHECK_EQUAL(Request(kOrdinaryBytes), kOk);
}

// Guards against bodies that never end.
BOOST_AUTO_TEST_CASE(BodiesThatExceedTheLimitOnTheWay) {
  for (int i = 0; i < kSmallCrowd; ++i) {
    AddCaller(ChunkedUpload(kFarTooLong, 65'536, false));
  }
  SendAll();
  BOOST_TEST_MESSAGE(Statuses());
  BOOST_CHECK_EQUAL(Request(kOrdinaryBytes), kOk);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(HostileHeadsTest, SmallHostFixture)

// Guards against a bound that refuses a caller inside the limits.
BOOST_AUTO_TEST_CASE(LongPromptListIsPassedOnInCalm) {
  AddCaller(LongPromptListUpload());
  SendAll();
  BOOST_CHECK_EQUAL(Statuses(), "1 x \"\", ");
  BOOST_CHECK_EQUAL(ModelRequests(), 1);
}

// Guards against heads of legal size whose prompts take many times their size
// in memory while the requests are in progress.
BOOST_AUTO_TEST_CASE(ManyLongPromptListsInProgress) {
  for (int i = 0; i < kPrompts; ++i) AddCaller(LongPromptListUpload());
  SendAll();
  BOOST_TEST_MESSAGE(Statuses());
  BOOST_CHECK_EQUAL(Request(kOrdinaryBytes), kOk);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::platform_adapter
