#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

#include "Pacing/StatedLimits.h"

namespace shallotbeam::pacing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::UpstreamName kUpstream("u");

common::TimePoint At(common::Duration time) {
  return common::TimePoint() + 1h + time;
}

StatedLimit Stated(std::optional<double> per_second, common::Duration sent,
                   common::Duration received) {
  return {.started = 1,
          .per_second = per_second,
          .sent = At(sent),
          .received = At(received)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(StatedLimitsTest)

// Guards against a limit that is ended by the late response to a request that
// was sent before the limit was stated.
BOOST_AUTO_TEST_CASE(ResponseToAnOlderRequestDoesNotEndALimit) {
  LimitTable table;
  BOOST_CHECK(Record(table, kUpstream, Stated(7, 100ms, 200ms)));
  BOOST_CHECK(!Record(table, kUpstream, Stated(std::nullopt, 150ms, 400ms)));
  BOOST_CHECK(LimitOf(table, kUpstream) == 7.0);
  // A response to a request that was sent afterwards does.
  BOOST_CHECK(Record(table, kUpstream, Stated(std::nullopt, 250ms, 500ms)));
  BOOST_CHECK(!LimitOf(table, kUpstream));
}

// Guards against a limit that never ends because there is always a request
// whose response overlaps with the last statement.
BOOST_AUTO_TEST_CASE(LimitEndsUnderSteadyTraffic) {
  LimitTable table;
  Record(table, kUpstream, Stated(7, 0ms, 500ms));
  common::Duration sent = 0ms;
  for (; LimitOf(table, kUpstream) && sent < 10s; sent += 20ms) {
    Record(table, kUpstream, Stated(std::nullopt, sent, sent + 500ms));
  }
  BOOST_CHECK(sent <= 520ms);
}

// Guards against a lower limit that is hidden by an older, higher one.
BOOST_AUTO_TEST_CASE(LowerOfTwoUnorderedLimitsHolds) {
  LimitTable table;
  Record(table, kUpstream, Stated(20, 0ms, 100ms));
  Record(table, kUpstream, Stated(7, 50ms, 90ms));
  BOOST_CHECK(LimitOf(table, kUpstream) == 7.0);
  Record(table, kUpstream, Stated(20, 60ms, 300ms));
  BOOST_CHECK(LimitOf(table, kUpstream) == 7.0);
  Record(table, kUpstream, Stated(20, 300ms, 310ms));
  BOOST_CHECK(LimitOf(table, kUpstream) == 20.0);
}

// Guards against statements of an earlier incarnation that hold for a later
// one.
BOOST_AUTO_TEST_CASE(RestartedUpstreamStartsWithoutALimit) {
  LimitTable table;
  Record(table, kUpstream, Stated(7, 0ms, 100ms));
  StatedLimit later = Stated(std::nullopt, 50ms, 60ms);
  later.started = 2;
  Record(table, kUpstream, later);
  BOOST_CHECK(!LimitOf(table, kUpstream));
  Record(table, kUpstream, Stated(7, 200ms, 300ms));
  BOOST_CHECK(!LimitOf(table, kUpstream));
}

// Guards against processes that merge the same statements in another order and
// disagree afterwards.
BOOST_AUTO_TEST_CASE(RowsMergeInAnyOrder) {
  const StatedLimit limit = Stated(7, 100ms, 200ms);
  const StatedLimit end = Stated(std::nullopt, 250ms, 260ms);
  const auto now = At(1s);
  LimitTable first;
  LimitTable second;
  for (const StatedLimit& it : {limit, end}) {
    Record(first, kUpstream, *FromRow(ToRow(kUpstream, it, now), now));
  }
  for (const StatedLimit& it : {end, limit}) {
    Record(second, kUpstream, *FromRow(ToRow(kUpstream, it, now), now));
  }
  BOOST_CHECK(!LimitOf(first, kUpstream));
  // The second process had no limit to end; a repeated row ends it.
  Record(second, kUpstream, *FromRow(ToRow(kUpstream, end, now), now));
  BOOST_CHECK(!LimitOf(second, kUpstream));
}

// Guards against a datagram whose numbers stop the starts at an upstream or
// overflow a time.
BOOST_AUTO_TEST_CASE(OddRowsAreIgnored) {
  const auto now = At(1s);
  protocol::LimitRow row = ToRow(kUpstream, Stated(7, 100ms, 200ms), now);
  BOOST_CHECK(FromRow(row, now));
  for (const double it :
       {-1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
    protocol::LimitRow odd = row;
    odd.per_second = it;
    BOOST_CHECK(!FromRow(odd, now));
  }
  for (const auto age : {-1us, std::chrono::microseconds::max(),
                         std::chrono::microseconds::min()}) {
    protocol::LimitRow odd = row;
    odd.sent_age = age;
    BOOST_CHECK(!FromRow(odd, now));
    odd = row;
    odd.received_age = age;
    BOOST_CHECK(!FromRow(odd, now));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::pacing
