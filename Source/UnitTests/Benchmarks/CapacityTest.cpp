#include <boost/test/unit_test.hpp>

#include "Common/Logging.h"
#include "Fit.h"
#include "FleetSimulation.h"

namespace shallotbeam::benchmarks::capacity {

BOOST_AUTO_TEST_SUITE(CapacityTest)

// Guards against a wrong slope; docs/CAPACITY.md extrapolates from the slopes.
BOOST_AUTO_TEST_CASE(FitsLinesAndPowers) {
  const Fit line = FitLine({1, 2, 4, 8}, {5, 8, 14, 26});
  BOOST_TEST(line.intercept == 2, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(line.slope == 3, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(line.residual < 1e-9);
  const Fit square = FitLine({1, 2, 4, 8}, {3, 12, 48, 192});
  BOOST_TEST(square.exponent == 2, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(square.exponent_residual < 1e-9);
  BOOST_TEST(square.residual > 1);
}

BOOST_AUTO_TEST_CASE(GivesNoExponentForValuesOfZero) {
  BOOST_TEST(FitLine({0, 1, 2}, {1, 2, 3}).exponent == 0);
}

SimulationResult RunSmallSimulation(std::uint64_t seed) {
  BOOST_REQUIRE(common::ApplyLogLevels("error").ok());
  return RunSimulation({.size = {.agents = 3,
                                 .routers = 2,
                                 .workspaces = 8,
                                 .backlogged = 2,
                                 .restarts_per_hour = 3600,
                                 .unused_kinds = 5,
                                 .changes_per_hour = 3600},
                        .seed = seed,
                        .warm_up = std::chrono::seconds(1),
                        .measured = std::chrono::seconds(2)});
}

// Guards against message counts that differ between runs with the same seed.
BOOST_AUTO_TEST_CASE(CountsTheSameMessagesForTheSameSeed) {
  const SimulationResult one = RunSmallSimulation(7);
  const SimulationResult two = RunSmallSimulation(7);
  BOOST_TEST(one.completed == two.completed);
  BOOST_TEST(one.router.traffic.size() == two.router.traffic.size());
  for (const auto& [type, traffic] : one.router.traffic) {
    BOOST_TEST(traffic.bytes_in == two.router.traffic.at(type).bytes_in);
    BOOST_TEST(traffic.bytes_out == two.router.traffic.at(type).bytes_out);
  }
}

// Guards against a simulation in which no request is served, no message is
// exchanged or no configuration is published: its costs would be too low.
BOOST_AUTO_TEST_CASE(EveryKindOfTrafficOccurs) {
  const SimulationResult result = RunSmallSimulation(7);
  BOOST_TEST(result.completed > 0);
  // The two workspaces that always have a queue, and any other workspace that
  // has a request waiting at the end.
  BOOST_TEST(result.backlogged >= 2);
  BOOST_TEST(result.router.entries.at("agents") == 3);
  BOOST_TEST(result.agent.entries.at("routers") == 2);
  for (const char* type : {"Heartbeat", "Shares", "Grant", "ConfigDocument"}) {
    BOOST_TEST_CONTEXT(type) {
      BOOST_REQUIRE(result.router.traffic.contains(type));
      BOOST_TEST(result.router.traffic.at(type).messages_in > 0);
    }
  }
  BOOST_TEST(result.router.traffic.at("Demand").messages_out > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::benchmarks::capacity
