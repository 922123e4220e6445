#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <set>

#include "Balancing/Ejection.h"
#include "Property.h"

namespace shallotbeam::balancing {

namespace {

using common::UpstreamName;
using std::chrono::milliseconds;
using std::chrono::seconds;

const common::TimePoint kStart{std::chrono::hours(1)};
const std::array<UpstreamName, 4> kNames = {
    UpstreamName("u0"), UpstreamName("u1"), UpstreamName("u2"),
    UpstreamName("u3")};

std::vector<const UpstreamName*> Pool(std::size_t size = kNames.size()) {
  std::vector<const UpstreamName*> pool;
  pool.reserve(size);
  for (std::size_t i = 0; i < size; ++i) pool.push_back(&kNames.at(i));
  return pool;
}

int NoneInProgress(const UpstreamName&) { return 0; }

// Sends requests at a constant rate to the usable upstreams in turn. u0 fails
// every second request until `recovered_at`.
struct SteadyLoad {
  EjectionState state;
  common::TimePoint now = kStart;
  common::TimePoint recovered_at = kStart + seconds(8);
  int sent = 0;
  int failed = 0;
  int to_u0 = 0;

  void Run(common::Duration length) {
    const common::TimePoint end = now + length;
    for (; now < end; now += milliseconds(20)) SendOne();
  }

  void SendOne() {
    const auto usable = ExcludeEjected(state, now, Pool(), NoneInProgress);
    const UpstreamName& name = *usable.at(sent++ % usable.size());
    if (name != kNames[0]) return void(RecordSuccess(state, now, name));
    ++to_u0;
    const bool fails = now < recovered_at && to_u0 % 2 == 0;
    if (!fails) return void(RecordSuccess(state, now, name));
    ++failed;
    RecordFailure(state, now, name, Pool(), 0.5);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(EjectionTest)

// An upstream passes its health checks but breaks half of its requests. If it
// is not ejected, 50 of 400 requests fail within 8 s.
BOOST_AUTO_TEST_CASE(FailingUpstreamIsEjected) {
  SteadyLoad load;
  load.Run(seconds(8));
  BOOST_CHECK_EQUAL(load.sent, 400);
  BOOST_CHECK_LE(load.failed, 12);
}

// An upstream that has recovered must receive work again.
BOOST_AUTO_TEST_CASE(RecoveredUpstreamReceivesWorkAgain) {
  SteadyLoad load;
  load.Run(seconds(8) + load.state.options.max_ejection_time);
  load.to_u0 = 0;
  load.Run(seconds(1));
  BOOST_CHECK_GE(load.to_u0, 10);
}

// An overload, or a request that fails at any upstream, must not eject
// upstreams, because the others would then get even more work.
BOOST_AUTO_TEST_CASE(FailuresEverywhereEjectNone) {
  EjectionState state;
  common::TimePoint now = kStart;
  for (int i = 0; i < 400; ++i, now += milliseconds(20)) {
    const UpstreamName& name = kNames.at(i % kNames.size());
    const bool fails = i / kNames.size() % 2 == 0;
    if (!fails) {
      RecordSuccess(state, now, name);
      continue;
    }
    BOOST_CHECK(!RecordFailure(state, now, name, Pool(), 0.5));
  }
}

// An occasional connection reset, for instance of an idle connection, must not
// eject an upstream.
BOOST_AUTO_TEST_CASE(RareFailuresEjectNone) {
  EjectionState state;
  common::TimePoint now = kStart;
  for (int i = 0; i < 1'000; ++i, now += milliseconds(20)) {
    if (i % 20 == 0) {
      BOOST_CHECK(!RecordFailure(state, now, kNames[0], Pool(), 0.5));
    } else {
      RecordSuccess(state, now, kNames[0]);
    }
  }
}

// Too many ejections at once would leave a pool without capacity, or a request
// without any upstream although some are listed.
BOOST_AUTO_TEST_CASE(FewAreEjectedAtOnce) {
  test::CheckProperty("at most one of four, and never the last", [] {
    EjectionState state;
    common::TimePoint now = kStart;
    const auto size = *rc::gen::inRange<std::size_t>(1, 5);
    const auto steps = *rc::gen::container<std::vector<int>>(
        300, rc::gen::inRange(0, 1 << 20));
    for (const int step : steps) {
      now += milliseconds(step % 7 * 20);
      const UpstreamName& name = kNames.at((step >> 4) % size);
      if ((step >> 8) % 3 == 0) {
        RecordSuccess(state, now, name);
      } else {
        RecordFailure(state, now, name, Pool(size), 0.5);
      }
      const auto usable =
          ExcludeEjected(state, now, Pool(size), NoneInProgress);
      RC_ASSERT(usable.size() >= std::max<std::size_t>(size - 1, 1));
    }
  });
}

// After an ejection an upstream must not receive its full share of the work
// before it has answered a probe request.
BOOST_AUTO_TEST_CASE(ProbedUpstreamTakesOneRequest) {
  EjectionState state;
  common::TimePoint now = kStart;
  std::optional<Ejection> ejection;
  for (int i = 0; i < 3; ++i) {
    ejection = RecordFailure(state, now, kNames[0], Pool(), 0.5);
  }
  BOOST_REQUIRE(ejection);
  now += ejection->ejection_time;
  const auto busy = [](const UpstreamName&) { return 1; };
  BOOST_CHECK_EQUAL(ExcludeEjected(state, now, Pool(), busy).size(), 3);
  BOOST_CHECK_EQUAL(ExcludeEjected(state, now, Pool(), NoneInProgress).size(),
                    4);
  const auto again = RecordFailure(state, now, kNames[0], Pool(), 0.5);
  BOOST_REQUIRE(again);
  BOOST_CHECK(again->ejection_time == 2 * ejection->ejection_time);
  now += again->ejection_time;
  BOOST_CHECK(RecordSuccess(state, now, kNames[0]));
  BOOST_CHECK_EQUAL(ExcludeEjected(state, now, Pool(), busy).size(), 4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
