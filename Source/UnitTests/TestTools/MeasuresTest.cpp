#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "Load/Bounds.h"
#include "Load/Measures.h"

namespace shallotbeam::load {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Builds a RunRecord of one engine in pool "p" with 10 slots, sampled every
// 100 ms.
class RecordBuilder {
 public:
  RecordBuilder() { record_.pool_of_engine["e"] = "p"; }

  // Adds a sample. `running` is the number of busy slots since the previous
  // one.
  void Add(double running, const std::map<std::string, int>& waiting,
           std::map<std::string, double> service,
           milliseconds oldest = milliseconds(150)) {
    now_ += milliseconds(100);
    running_ms_ += running * 100;
    Sample sample{.taken = now_, .phase = "x"};
    for (const auto& [name, n] : waiting) {
      sample.waiting["p"][name] = {.requests = n, .oldest = oldest};
    }
    sample.engines["e"] = {.taken = now_,
                           .running_ms = running_ms_,
                           .batch_ms = running_ms_,
                           .batch = 20,
                           .slots = 10,
                           .service = std::move(service)};
    record_.samples.push_back(std::move(sample));
  }

  const RunRecord& Record() const { return record_; }

 private:
  RunRecord record_;
  Clock::time_point now_;
  double running_ms_ = 0;
};

config::FleetConfig ConfigWithWeights(double a, double b) {
  config::FleetConfig config;
  config.workspaces[common::WorkspaceName("a")].weight = a;
  config.workspaces[common::WorkspaceName("b")].weight = b;
  return config;
}

// Guards against percentiles that are off by one rank at the ends.
BOOST_AUTO_TEST_CASE(PercentileIsTheNearestRank) {
  std::vector<double> values;
  for (int i = 100; i >= 1; --i) values.push_back(i);
  BOOST_TEST(Percentile(values, 0.50) == 50.0);
  BOOST_TEST(Percentile(values, 0.95) == 95.0);
  BOOST_TEST(Percentile(values, 1.0) == 100.0);
  BOOST_TEST(Percentile({7}, 0.01) == 7.0);
  BOOST_TEST(Percentile({}, 0.5) == 0.0);
}

// Guards against idle slots that lower the utilisation while no requests wait,
// and against idle slots that don't lower it while requests wait.
BOOST_AUTO_TEST_CASE(UtilisationCountsOnlyTimeWithWaitingWork) {
  RecordBuilder builder;
  builder.Add(0, {}, {});
  builder.Add(1, {}, {});
  builder.Add(2, {{"a", 3}}, {}, milliseconds(99));
  builder.Add(9, {{"a", 3}}, {});
  builder.Add(7, {{"a", 1}}, {});
  builder.Add(0, {}, {});
  const Utilisation use = UtilisationOf(builder.Record(), "x", "p");
  BOOST_TEST(use.slots == 0.8, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(use.engines == 0.4, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(use.seconds == 0.2, boost::test_tools::tolerance(1e-9));
}

// Guards against a fairness gap that ignores the weights, or that includes
// service from a time when only one of the two workspaces was backlogged.
BOOST_AUTO_TEST_CASE(GapIsWeightedAndOnlyWhileBothAreBacklogged) {
  RecordBuilder builder;
  const std::map<std::string, int> both = {{"a", 1}, {"b", 1}};
  builder.Add(10, {{"a", 1}, {"b", 0}}, {{"a", 0}, {"b", 0}});
  builder.Add(10, both, {{"a", 400}, {"b", 0}}, milliseconds(50));
  builder.Add(10, both, {{"a", 500}, {"b", 0}});
  builder.Add(10, both, {{"a", 700}, {"b", 100}});
  builder.Add(10, both, {{"a", 920}, {"b", 180}});
  const FairnessGap gap =
      FairnessGapOf(builder.Record(), ConfigWithWeights(2, 1),
                    {{"a", 30}, {"b", 20}}, "x", "p");
  // Differences of service per weight: 200, 250, 250 and 280.
  BOOST_TEST(gap.gap == 80.0, boost::test_tools::tolerance(1e-9));
  // The larger request, plus the fair share for weight 1 over 2 s: 700 cost
  // units were served in 0.3 s with a total weight of 3.
  BOOST_TEST(gap.target == 20 + 2 * 700 / 0.3 / 3,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(gap.seconds == 0.3, boost::test_tools::tolerance(1e-9));
}

json MeasuresWith(std::uint64_t offered, std::uint64_t in_phase, double p95) {
  const auto kind = [](std::uint64_t n, std::uint64_t done, double latency) {
    return json{{"workspace", "a"}, {"kind", "k"},
                {"offered", n},     {"completed", done},
                {"in_phase", done}, {"latency_ms", {{"p95", latency}}}};
  };
  return {
      {"phases",
       {{"calm", {{"kinds", {kind(100, 100, 10)}}, {"pools", json::object()}}},
        {"flood",
         {{"kinds", {kind(offered, in_phase, p95)}},
          {"pools", json::object()}}}}},
      {"orders",
       {{"duplicates", 0}, {"false_not_run", 0}, {"completed_without_run", 0}}},
      {"wrong", 0},
      {"processes_ended", json::array()}};
}

bool AllMet(const Experiment& experiment, const json& measures) {
  bool met = true;
  for (const auto& it : CheckBounds(experiment, measures)) met = met && it.met;
  return met;
}

// Guards against a bound that is reported as met although the measure violates
// it or there is no data.
BOOST_AUTO_TEST_CASE(BoundsFailWhenMissedOrWithoutData) {
  Experiment experiment;
  experiment.bounds = {{.measure = "completed_ratio",
                        .phase = "flood",
                        .against = "calm",
                        .min = 0.95},
                       {.measure = "p95_ratio",
                        .phase = "flood",
                        .against = "calm",
                        .max = 1.5}};
  BOOST_TEST(AllMet(experiment, MeasuresWith(100, 96, 15)));
  BOOST_TEST(!AllMet(experiment, MeasuresWith(100, 94, 15)));
  BOOST_TEST(!AllMet(experiment, MeasuresWith(100, 96, 15.1)));
  BOOST_TEST(!AllMet(experiment, MeasuresWith(100, 0, 0)));
  // Too few requests for a meaningful ratio.
  BOOST_TEST(!AllMet(experiment, MeasuresWith(5, 5, 10)));
  experiment.bounds = {
      {.measure = "utilisation", .phase = "calm", .pool = "p", .min = 0.1}};
  BOOST_TEST(!AllMet(experiment, MeasuresWith(100, 96, 15)));
  experiment.bounds = {{.measure = "no such measure", .max = 1}};
  BOOST_TEST(!AllMet(experiment, MeasuresWith(100, 96, 15)));
}

// Guards against duplicate runs of an order (a request with an idempotency
// key), wrong not-run verdicts and completions without a run going unnoticed.
BOOST_AUTO_TEST_CASE(DuplicatesAndFalseNotRunAreCounted) {
  RunRecord record;
  record.runs_by_key = {{"once", 1}, {"twice", 2}, {"denied", 1}};
  record.orders["once"] = {.completed = 1};
  record.orders["twice"] = {.completed = 2};
  record.orders["denied"] = {.not_run = 2};
  record.orders["phantom"] = {.completed = 1};
  record.orders["refused"] = {.not_run = 1};
  const json measures = MeasureRun({}, {}, record);
  BOOST_TEST(measures["orders"]["duplicates"] == 1);
  BOOST_TEST(measures["orders"]["false_not_run"] == 1);
  BOOST_TEST(measures["orders"]["completed_without_run"] == 1);
  BOOST_TEST(!AllMet({}, measures));
}

// Guards against load shapes that change the mean number of requests.
BOOST_AUTO_TEST_CASE(ShapesKeepTheMeanRate) {
  for (const Shape shape : {Shape::kConstant, Shape::kRamp, Shape::kBurst}) {
    double sum = 0;
    constexpr int kSteps = 3000;
    for (int i = 0; i < kSteps; ++i) {
      const double share = (i + 0.5) / kSteps;
      sum += ShapeFactor(shape, share * 30, share);
    }
    BOOST_TEST(sum / kSteps == 1.0, boost::test_tools::tolerance(0.01));
  }
}

}  // namespace

}  // namespace shallotbeam::load
