#include <algorithm>
#include <random>
#include <vector>

#include "Admission/ConcurrencyLimit.h"
#include "Property.h"

namespace shallotbeam::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An engine whose time per token grows with the number of running requests
// above `batch`.
struct Engine {
  int batch = 16;
  double token_seconds = 0.02;
  // If true, requests above `batch` wait longer for their first token instead.
  bool queues = false;
  int refuses_above = 1 << 20;
  double noise = 0.1;

  double TokenTime(int running) const {
    if (queues) return token_seconds;
    return token_seconds * std::max(1.0, running / static_cast<double>(batch));
  }
  double FirstToken(int running) const {
    if (!queues || running <= batch) return 0.05;
    return 0.05 + 3.0 * (running - batch) / batch;
  }
};

struct Stream {
  common::TimePoint started;
  common::TimePoint last_progress;
  common::TimePoint next_event;
  bool responded = false;
  common::Duration first_token{};
  int tokens = 0;
  int length = 0;
};

common::Duration ToDuration(double value) {
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(value));
}

// Keeps as many requests running as there are slots, up to `max_concurrency`.
struct Simulation {
  ConcurrencyLimit limit;
  std::mt19937 random{1};
  common::TimePoint now{seconds(1000)};
  std::vector<Stream> streams;
  int max_concurrency = 1 << 20;

  explicit Simulation(const config::PoolConfig& pool) {
    Configure(limit, pool);
  }

  double Noisy(const Engine& engine, double value) {
    return value * std::uniform_real_distribution<double>(
                       1 - engine.noise, 1 + engine.noise)(random);
  }

  void Step(const Engine& engine) {
    constexpr int kTokensPerChunk = 16;
    now += milliseconds(20);
    std::erase_if(streams, [&](Stream& it) {
      return AdvanceStream(engine, it, kTokensPerChunk);
    });
    while (static_cast<int>(streams.size()) <
           std::min(SlotLimit(limit), max_concurrency)) {
      const int running = static_cast<int>(streams.size()) + 1;
      if (running > engine.refuses_above) {
        RecordOverload(limit, running, now);
        break;
      }
      const int length = std::uniform_int_distribution<int>(1, 400)(random);
      streams.push_back(
          {.started = now,
           .next_event =
               now + ToDuration(Noisy(engine, engine.FirstToken(running))),
           .length = length});
    }
  }

  // Returns true at the end of the stream.
  bool AdvanceStream(const Engine& engine, Stream& it, int chunk_tokens) {
    if (it.next_event > now) return false;
    const int running = static_cast<int>(streams.size());
    if (!it.responded) {
      it.responded = true;
      it.first_token = it.next_event - it.started;
    } else {
      const int tokens = std::min(chunk_tokens, it.length - it.tokens);
      it.tokens += tokens;
      RecordUnitTime(limit,
                     {.running = running, .period_start = it.last_progress},
                     tokens, it.next_event);
    }
    it.last_progress = it.next_event;
    if (it.tokens >= it.length) {
      RecordFirstToken(limit, {.running = running, .period_start = it.started},
                       100, it.first_token, now);
      return true;
    }
    const int tokens = std::min(chunk_tokens, it.length - it.tokens);
    it.next_event +=
        ToDuration(Noisy(engine, tokens * engine.TokenTime(running)));
    return false;
  }

  // Returns the lowest and the highest limit of the period. Steps during
  // probes, which halve the limit, are excluded and counted in `probe_steps`.
  std::pair<int, int> RunFor(const Engine& engine, common::Duration period) {
    std::pair<int, int> range(1 << 20, 0);
    for (const auto end = now + period; now < end;) {
      Step(engine);
      ++steps;
      if (limit.limit_after_probe > 0) {
        ++probe_steps;
        continue;
      }
      range.first = std::min(range.first, SlotLimit(limit));
      range.second = std::max(range.second, SlotLimit(limit));
    }
    return range;
  }
  int steps = 0;
  int probe_steps = 0;
};

void CheckLimitRange(const std::pair<int, int>& range, double lowest,
                     double highest) {
  BOOST_TEST_MESSAGE("limit between " << range.first << " and "
                                      << range.second);
  BOOST_CHECK_GE(range.first, lowest);
  BOOST_CHECK_LE(range.second, highest);
}

const config::PoolConfig kPool{
    .initial_slots = 8, .min_slots = 2, .max_slots = 64};

}  // namespace

BOOST_AUTO_TEST_SUITE(ConcurrencyLimitTest)

// Guards against a limit that oscillates or drifts: from any start it settles
// between the batch size and 1.5 times the batch size, where the time per token
// is at most 1.5 times the best, and stays there for half an hour. Probes take
// at most 1% of the time.
BOOST_AUTO_TEST_CASE(SettlesNearTheBatchSize) {
  for (const int batch : {6, 16, 40}) {
    for (const int initial : {2, 8, 48}) {
      config::PoolConfig pool = kPool;
      pool.initial_slots = initial;
      Simulation simulation(pool);
      const Engine engine{.batch = batch};
      simulation.RunFor(engine, seconds(120));
      simulation.steps = simulation.probe_steps = 0;
      CheckLimitRange(simulation.RunFor(engine, std::chrono::minutes(30)),
                      batch, 1.5 * batch);
      BOOST_CHECK_LE(simulation.probe_steps, 0.01 * simulation.steps);
    }
  }
}

// Guards against ignoring the time to first token: this engine keeps its time
// per token and queues requests above its batch size.
BOOST_AUTO_TEST_CASE(FirstTokenTimeReflectsTheEngineQueue) {
  Simulation simulation(kPool);
  const Engine engine{.batch = 16, .queues = true};
  simulation.RunFor(engine, seconds(120));
  CheckLimitRange(simulation.RunFor(engine, seconds(600)), 0.75 * 16,
                  1.25 * 16);
}

// Guards against repeated refusals halving the limit each time.
BOOST_AUTO_TEST_CASE(LimitSettlesAtTheAcceptedConcurrency) {
  Simulation simulation(kPool);
  const Engine engine{.batch = 60, .refuses_above = 20};
  simulation.RunFor(engine, seconds(120));
  CheckLimitRange(simulation.RunFor(engine, seconds(600)), 0.8 * 20, 21);
}

// Guards against a limit that does not adapt when the upstream becomes faster,
// or slower at any load.
BOOST_AUTO_TEST_CASE(FollowsTheUpstream) {
  Simulation simulation(kPool);
  simulation.RunFor({.batch = 12}, seconds(120));
  simulation.RunFor({.batch = 40, .token_seconds = 0.01}, seconds(180));
  CheckLimitRange(
      simulation.RunFor({.batch = 40, .token_seconds = 0.01}, seconds(300)), 40,
      60);
  simulation.RunFor({.batch = 40, .token_seconds = 0.03}, seconds(300));
  CheckLimitRange(
      simulation.RunFor({.batch = 40, .token_seconds = 0.03}, seconds(300)), 40,
      60);
}

// Guards against growth without evidence: the slots of this upstream are never
// all in use.
BOOST_AUTO_TEST_CASE(LightLoadDoesNotChangeTheLimit) {
  Simulation simulation(kPool);
  simulation.max_concurrency = 7;
  CheckLimitRange(simulation.RunFor({.batch = 4}, seconds(300)), 8, 8);
}

// Guards against the wait for the first token being counted as time between
// tokens for requests with few tokens.
BOOST_AUTO_TEST_CASE(ShortResponsesDoNotDistortTheUnitTime) {
  Simulation simulation(kPool);
  simulation.RunFor({.batch = 16}, seconds(120));
  const double best = simulation.limit.unit_time.best;
  const LimitSample sample{.running = SlotLimit(simulation.limit),
                           .period_start = simulation.now - seconds(10)};
  const int count = simulation.limit.unit_time.count;
  for (int i = 0; i < 100; ++i) {
    RecordUnitTime(simulation.limit, sample, 1, simulation.now);
  }
  BOOST_CHECK_EQUAL(simulation.limit.unit_time.best, best);
  BOOST_CHECK_EQUAL(simulation.limit.unit_time.count, count);
}

// Guards against plain pools not being measured because their calls have no
// tokens.
BOOST_AUTO_TEST_CASE(PlainCallsAreMeasuredByTheirTime) {
  config::PoolConfig pool = kPool;
  pool.type = config::PoolType::kPlain;
  Simulation simulation(pool);
  const auto call = [&] {
    const int running = SlotLimit(simulation.limit);
    const double time = 0.1 * std::max(1.0, running / 12.0);
    simulation.now += ToDuration(time / running);
    RecordUnitTime(
        simulation.limit,
        {.running = running, .period_start = simulation.now - ToDuration(time)},
        0, simulation.now);
  };
  for (int i = 0; i < 100; ++i) {
    RecordUnitTime(
        simulation.limit,
        {.running = 1, .period_start = simulation.now - milliseconds(100)}, 0,
        simulation.now);
  }
  for (int i = 0; i < 20'000; ++i) call();
  CheckLimitRange({SlotLimit(simulation.limit), SlotLimit(simulation.limit)},
                  12, 18);
}

// Guards against a limit outside the configured range.
BOOST_AUTO_TEST_CASE(StaysInTheConfiguredRange) {
  test::CheckProperty("the limit is in its range", [] {
    Simulation simulation(kPool);
    const auto steps = *rc::gen::container<std::vector<int>>(
        300, rc::gen::inRange(0, 1 << 16));
    for (const int step : steps) {
      simulation.now += milliseconds(100);
      const LimitSample sample{
          .running = SlotLimit(simulation.limit),
          .period_start = simulation.now - milliseconds(step % 900)};
      if (step % 7 == 0) {
        RecordOverload(simulation.limit, sample.running, simulation.now);
      } else if (step % 7 == 1) {
        RecordFirstToken(simulation.limit, sample, step % 99,
                         milliseconds(step % 9999), simulation.now);
      } else {
        RecordUnitTime(simulation.limit, sample, step % 50, simulation.now);
      }
      RC_ASSERT(SlotLimit(simulation.limit) >= kPool.min_slots);
      RC_ASSERT(SlotLimit(simulation.limit) <= kPool.max_slots);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::admission
