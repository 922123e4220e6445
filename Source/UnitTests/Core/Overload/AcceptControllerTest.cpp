#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "Common/Clock.h"
#include "Overload/AcceptController.h"

namespace shallotbeam::overload {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr common::Duration kTick = 20ms;
constexpr common::Duration kStep = 1ms;

double Seconds(common::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

common::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(seconds));
}

// An entry host with a quota of processor time. Connections wait in line for
// it; ticks are late by the wait.
struct Host {
  explicit Host(double cpu_share) {
    controller.options.cpu_share = cpu_share;
    Step(0);
  }

  // Whether the host accepts a connection now.
  bool Connect(double cost) {
    if (permitted == 0) {
      ++refused;
      return false;
    }
    --permitted;
    ++accepted;
    ++accepted_since_tick;
    backlog += cost;
    return true;
  }

  // Processor time that waits for more than this long is too late.
  common::Duration Wait() const {
    return ToDuration(backlog / controller.options.cpu_share);
  }

  void Step(double stream_load) {
    backlog += stream_load * Seconds(kStep);
    const double done =
        std::min(backlog, controller.options.cpu_share * Seconds(kStep));
    backlog -= done;
    used += done;
    clock.Advance(kStep);
    longest_wait = std::max(longest_wait, Wait());
    closed_for = permitted == 0 ? closed_for + kStep : common::Duration(0);
    longest_closed = std::max(longest_closed, closed_for);
    if (clock.Now() < next_tick + Wait()) return;
    const common::Duration late = clock.Now() - next_tick;
    permitted = OnTick(controller, clock.Now(), late, ToDuration(used),
                       accepted_since_tick);
    accepted_since_tick = 0;
    next_tick = clock.Now() + kTick;
  }

  // Begins to count anew.
  void Count() {
    accepted = refused = 0;
    longest_wait = longest_closed = common::Duration(0);
    used_before = used;
    pauses_before = controller.pauses;
  }

  AcceptController controller;
  common::ManualClock clock;
  common::TimePoint next_tick = clock.Now();
  std::size_t permitted = 0;
  std::size_t accepted_since_tick = 0;
  double backlog = 0;  // processor time, in seconds
  double used = 0;
  double used_before = 0;
  std::uint64_t pauses_before = 0;
  common::Duration longest_wait{0};
  common::Duration longest_closed{0};
  common::Duration closed_for{0};
  int accepted = 0;
  int refused = 0;
};

struct Load {
  double rate = 0;  // connections a second
  double cost = 250e-6;
  double streams = 0;  // processor time a second that other work takes
};

void Run(Host& host, common::Duration time, const Load& load,
         std::mt19937& random) {
  host.Count();
  std::poisson_distribution<int> arrivals(load.rate * Seconds(kStep));
  for (common::Duration t{0}; t < time; t += kStep) {
    for (int n = arrivals(random); n > 0; --n) host.Connect(load.cost);
    host.Step(load.streams);
  }
}

struct SmallHost {
  std::mt19937 random{1};
  Host host{0.063};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AcceptControllerTest, SmallHost)

// Load pattern: the usual work of a small entry host, with its streams.
// Guards against a host that refuses connections although it is mostly idle.
BOOST_AUTO_TEST_CASE(UsualLoadIsAccepted) {
  Run(host, 20s, {.rate = 60, .streams = 0.01}, random);
  BOOST_CHECK_EQUAL(host.refused, 0);
}

// Load pattern: the flood of one workspace into a small entry host, three times
// what it can serve, and its end.
// Guards against a listener that swings with a period of seconds: closed while
// the processor is idle, then open to more than the host can serve.
BOOST_AUTO_TEST_CASE(FloodOfOneWorkspaceIsServedAtTheQuota) {
  Run(host, 5s, {.rate = 25, .streams = 0.005}, random);
  Run(host, 10s, {.rate = 750, .streams = 0.005}, random);
  BOOST_CHECK_GE(host.used - host.used_before, 10 * 0.063 * 0.65);
  BOOST_CHECK_LE(host.longest_wait, 150ms);
  BOOST_CHECK_LE(host.longest_closed, 150ms);
  BOOST_CHECK_LE(host.controller.pauses - host.pauses_before, 10 * 20);
  // What arrived last is worked off, then everything is accepted again.
  Run(host, 1s, {.rate = 25, .streams = 0.005}, random);
  Run(host, 10s, {.rate = 25, .streams = 0.005}, random);
  BOOST_CHECK_EQUAL(host.refused, 0);
  BOOST_CHECK_EQUAL(host.controller.pauses, host.pauses_before);
}

// Load pattern: floods that come and go each second.
// Guards against a host that is still closed after the flood has ended.
BOOST_AUTO_TEST_CASE(ShortFloodsLeaveTheHostOpen) {
  for (int i = 0; i < 10; ++i) {
    Run(host, 300ms, {.rate = 1'000}, random);
    BOOST_CHECK_LE(host.longest_wait, 150ms);
    Run(host, 300ms, {.rate = 25}, random);
    Run(host, 700ms, {.rate = 25}, random);
    BOOST_CHECK_EQUAL(host.refused, 0);
  }
}

// Load pattern: a flood that the load balancer moves to another host once this
// one is crowded, and that comes back as soon as it is not.
// Guards against a host that takes the flood again every few seconds, and
// against one that calls itself crowded for long after a single flood.
BOOST_AUTO_TEST_CASE(ReturningFloodIsKeptAwayForLonger) {
  Run(host, 5s, {.rate = 25}, random);
  BOOST_CHECK(!host.controller.crowded);
  int floods = 0;
  for (common::Duration t{0}; t < 60s; t += 2s) {
    if (host.controller.crowded) {
      Run(host, 2s, {.rate = 25}, random);
    } else {
      Run(host, 2s, {.rate = 750}, random);
      BOOST_CHECK(host.controller.crowded);
      ++floods;
    }
  }
  BOOST_CHECK_LE(floods, 7);
  Run(host, 50s, {.rate = 25}, random);
  Run(host, 2s, {.rate = 750}, random);
  BOOST_CHECK(host.controller.crowded);
  Run(host, 6s, {.rate = 25}, random);
  BOOST_CHECK(!host.controller.crowded);
}

// Load pattern: running streams take most of the quota while connections flood
// in. Guards against new connections that delay the streams.
BOOST_AUTO_TEST_CASE(RunningStreamsComeFirst) {
  Run(host, 5s, {.rate = 10, .streams = 0.045}, random);
  Run(host, 10s, {.rate = 750, .streams = 0.045}, random);
  BOOST_CHECK_LE(host.longest_wait, 150ms);
  BOOST_CHECK_GT(host.accepted, 0);
}

// Guards against a cost that isn't learnt: twice the work for each connection
// must not double the wait.
BOOST_AUTO_TEST_CASE(CostOfAConnectionIsMeasured) {
  Run(host, 10s, {.rate = 60, .cost = 500e-6, .streams = 0.005}, random);
  BOOST_CHECK_GE(host.controller.cost, 350e3);
  BOOST_CHECK_LE(host.controller.cost, 650e3);
  Run(host, 10s, {.rate = 750, .cost = 500e-6, .streams = 0.005}, random);
  BOOST_CHECK_LE(host.longest_wait, 150ms);
}

// Load pattern: a small host gets most of the connections, which a hash of the
// consumer sends there, beside a small and a large host with room.
// Guards against callers that find no host although the hosts together have
// time for all of them.
BOOST_AUTO_TEST_CASE(OtherHostsTakeWhatASmallOneRefuses) {
  Host small(0.063);
  Host large(0.5);
  int lost = 0;
  int tried = 0;
  std::poisson_distribution<int> arrivals(0.6);
  for (common::Duration t{0}; t < 10s; t += kStep) {
    for (int n = arrivals(random); n > 0; --n) {
      ++tried;
      const double cost = 250e-6;
      if (!host.Connect(cost) && !small.Connect(cost) && !large.Connect(cost)) {
        ++lost;
      }
    }
    for (Host* it : {&host, &small, &large}) it->Step(0.005);
  }
  BOOST_CHECK_EQUAL(lost, 0);
  BOOST_CHECK_GE(host.accepted, 600);
  BOOST_CHECK_GE(small.accepted, 600);
  for (const Host* it : {&host, &small, &large}) {
    BOOST_CHECK_LE(it->longest_wait, 150ms);
  }
  BOOST_CHECK_EQUAL(tried, host.accepted + small.accepted + large.accepted);
}

// A host that was frozen for seconds. Guards against one that takes the
// standstill for use of its processor and stays closed, or saves up the quota
// of all that time.
BOOST_AUTO_TEST_CASE(FrozenHostOpensAtOnce) {
  Run(host, 5s, {.rate = 25}, random);
  const double full = host.controller.credit;
  host.clock.Advance(5s);
  Run(host, 200ms, {}, random);
  Run(host, 5s, {.rate = 25}, random);
  BOOST_CHECK_EQUAL(host.refused, 0);
  BOOST_CHECK_LE(host.controller.credit, full * 1.5);
}

// Guards against clocks that run backwards or leap: the readings are counted
// and ignored, and the host goes on as before.
BOOST_AUTO_TEST_CASE(AbsurdReadingsAreIgnored) {
  Run(host, 5s, {.rate = 25}, random);
  AcceptController& controller = host.controller;
  common::TimePoint now = host.clock.Now() + kTick;
  const auto used = ToDuration(host.used);
  const auto tick = [&](common::TimePoint time, common::Duration reading) {
    return OnTick(controller, time, 0ms, reading, 0);
  };
  BOOST_CHECK_GT(tick(now, used), 0);
  BOOST_CHECK_GT(tick(now += kTick, -1h), 0);
  BOOST_CHECK_GT(tick(now += kTick, used), 0);
  BOOST_CHECK_GT(tick(now += kTick, common::Duration::max()), 0);
  BOOST_CHECK_GT(tick(now += kTick, common::Duration::min()), 0);
  BOOST_CHECK_GT(tick(now += kTick, used), 0);
  BOOST_CHECK_GT(tick(now - 1h, used), 0);
  BOOST_CHECK_GT(tick(now += kTick, used), 0);
  BOOST_CHECK_EQUAL(controller.ignored_readings, 4);
  BOOST_CHECK(std::isfinite(controller.credit));
  BOOST_CHECK(std::isfinite(controller.cost));
  for (int i = 0; i < 50; ++i) BOOST_CHECK_GT(tick(now += kTick, used), 0);
}

// Guards against a clock that follows the steady clock, as it does on hosts
// that simulate time. It claims more than the quota, so that it can't be used.
BOOST_AUTO_TEST_CASE(ClockThatClaimsMoreThanTheQuotaIsNotUsed) {
  common::TimePoint now = host.clock.Now();
  std::size_t closed = 0;
  for (int i = 0; i < 500; ++i) {
    now += kTick;
    if (OnTick(host.controller, now, 0ms, now.time_since_epoch(), 0) == 0) {
      ++closed;
    }
  }
  BOOST_CHECK_LE(closed, 50);
  BOOST_CHECK_GT(host.controller.ignored_readings, 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::overload
