#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <list>
#include <random>
#include <string>
#include <vector>

#include "Balancing/Affinity.h"
#include "Balancing/PlacementCost.h"
#include "Balancing/PrefixHolders.h"

namespace shallotbeam::balancing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr int kEngines = 8;
constexpr int kPrefixes = 41;  // the first one is hot
constexpr int kShared = 5'000;
constexpr int kOwn = 1'000;
constexpr double kNsPerToken = 15'000;
constexpr std::size_t kCachedPrefixes = 12;  // memory of one engine
constexpr common::Duration kFetch = 8ms;

// Load pattern: prompts of 6,000 tokens, 5,000 of them in one of 41 shared
// prefixes. A given part of all requests has the same, hot prefix; the others
// are spread evenly over the cold ones. Arrivals are a Poisson process.
struct Pattern {
  double per_second = 0;
  double hot_part = 0;
  common::Duration report_interval{0};  // age of the waits that are known
};

struct Outcome {
  double mean_ms = 0;  // to the first event
  double cold_mean_ms = 0;
  double p99_ms = 0;
  int read_again = 0;  // prefixes that were processed more than once
  int hot_at_first = 0;
  int hot = 0;
};

// An engine that processes one prompt after the other and keeps the most
// recently used prefixes.
struct SimulatedEngine {
  common::UpstreamName name;
  common::TimePoint busy_until;
  std::list<int> cached;
  common::Duration reported_wait{0};
};

struct Simulation {
  Pattern pattern;
  bool weighed = false;
  std::vector<SimulatedEngine> engines;
  PrefixHolders holders;
  std::vector<bool> was_read = std::vector<bool>(kPrefixes);
  Outcome outcome;

  bool IsCached(const SimulatedEngine& engine, int prefix) const {
    return std::find(engine.cached.begin(), engine.cached.end(), prefix) !=
           engine.cached.end();
  }

  std::size_t Choose(common::TimePoint now, int prefix,
                     const std::vector<std::size_t>& ranked) const {
    constexpr std::size_t kConsidered = 2;
    std::vector<CandidateFigures> figures;
    for (std::size_t i = 0; i < kConsidered; ++i) {
      const SimulatedEngine& it = engines[ranked[i]];
      const auto key = static_cast<std::uint64_t>(prefix) + 1;
      const bool held = i == 0 || IsHolder(holders, now, key, it.name);
      figures.push_back({.wait = it.reported_wait,
                         .ns_per_token = kNsPerToken,
                         .held_tokens = held ? kShared : 0,
                         .fetchable_tokens = i == 0 ? 0 : kShared,
                         .position = static_cast<int>(i)});
    }
    const auto chosen =
        weighed ? LeastExpectedTime(
                      {}, {.tokens = kShared + kOwn, .shared_tokens = kShared},
                      figures, kNsPerToken)
                : ShortestPenalisedWait(figures, 60ms);
    return ranked[chosen.value()];
  }

  // Returns the time to the first event.
  common::Duration Run(common::TimePoint now, int prefix, std::size_t chosen) {
    SimulatedEngine& engine = engines[chosen];
    common::Duration work =
        common::Duration(static_cast<std::int64_t>(kOwn * kNsPerToken));
    if (!IsCached(engine, prefix)) {
      const bool elsewhere =
          std::any_of(engines.begin(), engines.end(),
                      [&](const auto& it) { return IsCached(it, prefix); });
      if (!elsewhere && was_read[prefix]) ++outcome.read_again;
      work += elsewhere ? kFetch
                        : common::Duration(
                              static_cast<std::int64_t>(kShared * kNsPerToken));
      was_read[prefix] = true;
    }
    engine.cached.remove(prefix);
    engine.cached.push_front(prefix);
    if (engine.cached.size() > kCachedPrefixes) engine.cached.pop_back();
    engine.busy_until = std::max(engine.busy_until, now) + work;
    RecordSent(holders, now, static_cast<std::uint64_t>(prefix) + 1,
               engine.name);
    return engine.busy_until - now;
  }
};

Outcome Simulate(const Pattern& pattern, bool weighed) {
  Simulation simulation{.pattern = pattern, .weighed = weighed};
  std::vector<common::UpstreamName> names;
  for (int i = 0; i < kEngines; ++i) {
    names.emplace_back("engine-" + std::to_string(i));
    simulation.engines.push_back({.name = names.back()});
  }
  std::vector<const common::UpstreamName*> pointers;
  pointers.reserve(names.size());
  for (const auto& it : names) pointers.push_back(&it);
  std::vector<std::vector<std::size_t>> ranked(kPrefixes);
  for (int i = 0; i < kPrefixes; ++i) {
    for (const auto* it :
         RankByPrefix(static_cast<std::uint64_t>(i) + 1, pointers)) {
      ranked[i].push_back(static_cast<std::size_t>(it - names.data()));
    }
  }
  std::mt19937 random(20261204);
  std::exponential_distribution<double> gap(pattern.per_second);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::uniform_int_distribution<int> cold(1, kPrefixes - 1);
  const common::TimePoint start{1h};
  common::TimePoint now = start;
  common::TimePoint next_report = start;
  std::vector<double> all;
  std::vector<double> of_cold;
  while (now < start + 60s) {
    now += std::chrono::duration_cast<common::Duration>(
        std::chrono::duration<double>(gap(random)));
    if (now >= next_report) {
      for (SimulatedEngine& it : simulation.engines) {
        it.reported_wait = std::max(it.busy_until - now, common::Duration(0));
      }
      next_report = now + pattern.report_interval;
    }
    const int prefix = uniform(random) < pattern.hot_part ? 0 : cold(random);
    const std::size_t chosen = simulation.Choose(now, prefix, ranked[prefix]);
    const double ms = std::chrono::duration<double, std::milli>(
                          simulation.Run(now, prefix, chosen))
                          .count();
    all.push_back(ms);
    if (prefix != 0) of_cold.push_back(ms);
    if (prefix == 0) ++simulation.outcome.hot;
    if (prefix == 0 && chosen == ranked[0][0]) {
      ++simulation.outcome.hot_at_first;
    }
  }
  Outcome outcome = simulation.outcome;
  const auto mean = [](const std::vector<double>& it) {
    double total = 0;
    for (const double ms : it) total += ms;
    return total / static_cast<double>(std::max<std::size_t>(it.size(), 1));
  };
  outcome.mean_ms = mean(all);
  outcome.cold_mean_ms = mean(of_cold);
  std::sort(all.begin(), all.end());
  outcome.p99_ms = all[all.size() * 99 / 100];
  BOOST_TEST_MESSAGE((weighed ? "weighed" : "ranked")
                     << ": mean " << outcome.mean_ms << " ms, of cold "
                     << outcome.cold_mean_ms << ", p99 " << outcome.p99_ms
                     << ", read again " << outcome.read_again << ", hot "
                     << outcome.hot_at_first << " of " << outcome.hot
                     << " at the first engine");
  return outcome;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PlacementLoadTest)

// A third of 200 requests a second has the same prefix, as much as one engine
// can do alone: the prefix has to spread, and no prefix may be lost.
BOOST_AUTO_TEST_CASE(HotPrefixOfABusyEngineSpreads) {
  const Pattern pattern{.per_second = 200, .hot_part = 1.0 / 3};
  const Outcome ranked = Simulate(pattern, false);
  const Outcome weighed = Simulate(pattern, true);
  BOOST_CHECK_LT(weighed.mean_ms, ranked.mean_ms);
  BOOST_CHECK_LT(weighed.p99_ms, ranked.p99_ms);
  BOOST_CHECK_LT(weighed.cold_mean_ms, ranked.cold_mean_ms);
  BOOST_CHECK_LT(weighed.read_again, 12);
  BOOST_CHECK_LT(weighed.hot_at_first, weighed.hot * 9 / 10);
}

// While its engine has room, a prefix stays there: copies would displace other
// prefixes.
BOOST_AUTO_TEST_CASE(HotPrefixOfAnIdleEngineStays) {
  const Outcome weighed =
      Simulate({.per_second = 10, .hot_part = 1.0 / 3}, true);
  BOOST_CHECK_GE(weighed.hot_at_first, weighed.hot * 9 / 10);
  BOOST_CHECK_EQUAL(weighed.read_again, 0);
}

// Late reports may cost time, but requests must not run after one engine until
// its queue has no end.
BOOST_AUTO_TEST_CASE(LateReportsOnlyCostTime) {
  const Pattern pattern{
      .per_second = 200, .hot_part = 1.0 / 3, .report_interval = 200ms};
  const Outcome ranked = Simulate(pattern, false);
  const Outcome weighed = Simulate(pattern, true);
  BOOST_CHECK_LT(weighed.mean_ms, ranked.mean_ms);
  BOOST_CHECK_LT(weighed.p99_ms, 1'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
