#include <algorithm>
#include <random>
#include <vector>

#include "Admission/ConcurrencyLimit.h"
#include "Property.h"

namespace shallotbeam::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An engine whose token time grows with the batch beyond `batch`; always as
// many requests as there are slots.
struct Engine {
  int batch = 16;
  double token_seconds = 0.02;
  // Requests above the batch wait for their first token instead.
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
  common::TimePoint progressed;
  common::TimePoint next;
  bool responded = false;
  common::Duration first_token{};
  int tokens = 0;
  int length = 0;
};

common::Duration ToDuration(double value) {
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(value));
}

struct Run {
  ConcurrencyLimit limit;
  std::mt19937 random{1};
  common::TimePoint now{seconds(1000)};
  std::vector<Stream> streams;
  int load = 1 << 20;  // requests at once at most

  explicit Run(const config::PoolConfig& pool) { Configure(limit, pool); }

  double Noisy(const Engine& engine, double value) {
    return value * std::uniform_real_distribution<double>(
                       1 - engine.noise, 1 + engine.noise)(random);
  }

  void Step(const Engine& engine) {
    constexpr int kPiece = 16;
    now += milliseconds(20);
    std::erase_if(streams,
                  [&](Stream& it) { return Move(engine, it, kPiece); });
    while (static_cast<int>(streams.size()) < std::min(Slots(limit), load)) {
      const int running = static_cast<int>(streams.size()) + 1;
      if (running > engine.refuses_above) {
        NoteOverload(limit, running, now);
        break;
      }
      const int length = std::uniform_int_distribution<int>(1, 400)(random);
      streams.push_back(
          {.started = now,
           .next = now + ToDuration(Noisy(engine, engine.FirstToken(running))),
           .length = length});
    }
  }

  // Returns true at the end of the stream.
  bool Move(const Engine& engine, Stream& it, int piece) {
    if (it.next > now) return false;
    const int running = static_cast<int>(streams.size());
    if (!it.responded) {
      it.responded = true;
      it.first_token = it.next - it.started;
    } else {
      const int tokens = std::min(piece, it.length - it.tokens);
      it.tokens += tokens;
      NotePace(limit, {.running = running, .begun = it.progressed}, tokens,
               it.next);
    }
    it.progressed = it.next;
    if (it.tokens >= it.length) {
      NoteFirstToken(limit, {.running = running, .begun = it.started}, 100,
                     it.first_token, now);
      return true;
    }
    const int tokens = std::min(piece, it.length - it.tokens);
    it.next += ToDuration(Noisy(engine, tokens * engine.TokenTime(running)));
    return false;
  }

  // Returns the lowest and the highest limit of the period; the halves of
  // probes are counted apart.
  std::pair<int, int> For(const Engine& engine, common::Duration period) {
    std::pair<int, int> range(1 << 20, 0);
    for (const auto end = now + period; now < end;) {
      Step(engine);
      ++steps;
      if (limit.after_probe > 0) {
        ++probing;
        continue;
      }
      range.first = std::min(range.first, Slots(limit));
      range.second = std::max(range.second, Slots(limit));
    }
    return range;
  }
  int steps = 0;
  int probing = 0;
};

void CheckSettled(const std::pair<int, int>& range, double lowest,
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
      Run run(pool);
      const Engine engine{.batch = batch};
      run.For(engine, seconds(120));
      run.steps = run.probing = 0;
      CheckSettled(run.For(engine, std::chrono::minutes(30)), batch,
                   1.5 * batch);
      BOOST_CHECK_LE(run.probing, 0.01 * run.steps);
    }
  }
}

// Guards against ignoring the time to first token: this engine keeps its pace
// and queues what is over its batch size.
BOOST_AUTO_TEST_CASE(FirstTokenShowsAQueue) {
  Run run(kPool);
  const Engine engine{.batch = 16, .queues = true};
  run.For(engine, seconds(120));
  CheckSettled(run.For(engine, seconds(600)), 0.75 * 16, 1.25 * 16);
}

// Guards against refusals that halve the limit again and again.
BOOST_AUTO_TEST_CASE(RefusalsSettleAtWhatWasAccepted) {
  Run run(kPool);
  const Engine engine{.batch = 60, .refuses_above = 20};
  run.For(engine, seconds(120));
  CheckSettled(run.For(engine, seconds(600)), 0.8 * 20, 21);
}

// Guards against a limit that never recovers when the upstream gets faster or
// becomes slower as a whole.
BOOST_AUTO_TEST_CASE(FollowsTheUpstream) {
  Run run(kPool);
  run.For({.batch = 12}, seconds(120));
  run.For({.batch = 40, .token_seconds = 0.01}, seconds(180));
  CheckSettled(run.For({.batch = 40, .token_seconds = 0.01}, seconds(300)), 40,
               60);
  run.For({.batch = 40, .token_seconds = 0.03}, seconds(300));
  CheckSettled(run.For({.batch = 40, .token_seconds = 0.03}, seconds(300)), 40,
               60);
}

// Guards against growth without evidence: an upstream that was never full.
BOOST_AUTO_TEST_CASE(LightLoadChangesNothing) {
  Run run(kPool);
  run.load = 7;
  CheckSettled(run.For({.batch = 4}, seconds(300)), 8, 8);
}

// Guards against a request with few tokens counting its wait for the first one
// as time between tokens.
BOOST_AUTO_TEST_CASE(ShortResponsesDoNotDistortThePace) {
  Run run(kPool);
  run.For({.batch = 16}, seconds(120));
  const double best = run.limit.pace.best;
  const LimitSample sample{.running = Slots(run.limit),
                           .begun = run.now - seconds(10)};
  const int count = run.limit.pace.count;
  for (int i = 0; i < 100; ++i) NotePace(run.limit, sample, 1, run.now);
  BOOST_CHECK_EQUAL(run.limit.pace.best, best);
  BOOST_CHECK_EQUAL(run.limit.pace.count, count);
}

// Guards against plain pools, which have no tokens, not being measured at all.
BOOST_AUTO_TEST_CASE(PlainCallsAreMeasuredByTheirTime) {
  config::PoolConfig pool = kPool;
  pool.type = config::PoolType::kPlain;
  Run run(pool);
  const auto call = [&] {
    const int running = Slots(run.limit);
    const double time = 0.1 * std::max(1.0, running / 12.0);
    run.now += ToDuration(time / running);
    NotePace(run.limit,
             {.running = running, .begun = run.now - ToDuration(time)}, 0,
             run.now);
  };
  for (int i = 0; i < 100; ++i) {
    NotePace(run.limit, {.running = 1, .begun = run.now - milliseconds(100)}, 0,
             run.now);
  }
  for (int i = 0; i < 20'000; ++i) call();
  CheckSettled({Slots(run.limit), Slots(run.limit)}, 12, 18);
}

// Guards against a limit outside the configured range.
BOOST_AUTO_TEST_CASE(StaysInTheConfiguredRange) {
  test::CheckProperty("the limit is in its range", [] {
    Run run(kPool);
    const auto steps = *rc::gen::container<std::vector<int>>(
        300, rc::gen::inRange(0, 1 << 16));
    for (const int step : steps) {
      run.now += milliseconds(100);
      const LimitSample sample{.running = Slots(run.limit),
                               .begun = run.now - milliseconds(step % 900)};
      if (step % 7 == 0) {
        NoteOverload(run.limit, sample.running, run.now);
      } else if (step % 7 == 1) {
        NoteFirstToken(run.limit, sample, step % 99, milliseconds(step % 9999),
                       run.now);
      } else {
        NotePace(run.limit, sample, step % 50, run.now);
      }
      RC_ASSERT(Slots(run.limit) >= kPool.min_slots);
      RC_ASSERT(Slots(run.limit) <= kPool.max_slots);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::admission
