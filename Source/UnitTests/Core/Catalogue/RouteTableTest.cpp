#include <boost/test/unit_test.hpp>
#include <map>

#include "Catalogue/RouteTable.h"

namespace shallotbeam::catalogue {

BOOST_AUTO_TEST_SUITE(RouteTableTest)

// Guards against a request that is assigned to a less specific route.
BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins) {
  Catalogue catalogue;
  const auto add = [&](const char* name, const char* host, const char* prefix) {
    Route route;
    route.name = name;
    route.host = host;
    route.path_prefix = prefix;
    catalogue.routes.push_back(route);
  };
  add("all", "h", "/");
  add("orders", "h", "/orders/");
  add("other", "g", "/orders/1/");
  const RouteTable table(std::move(catalogue));
  BOOST_REQUIRE(table.Find("h", "/orders/1/2") != nullptr);
  BOOST_CHECK_EQUAL(table.Find("h", "/orders/1/2")->name, "orders");
  BOOST_CHECK_EQUAL(table.Find("h", "/else")->name, "all");
  BOOST_CHECK(table.Find("g", "/else") == nullptr);
  BOOST_CHECK(table.Find("unknown", "/") == nullptr);
}

// Guards against a split of traffic that differs from the configured weights.
BOOST_AUTO_TEST_CASE(PoolsAreChosenByWeight) {
  Route route;
  route.weighted_pools = {{.pool = common::PoolName("a"), .weight = 3},
                          {.pool = common::PoolName("b"), .weight = 1}};
  std::map<std::string, int> chosen;
  for (int i = 0; i < 100; ++i) ++chosen[ChoosePool(route, i / 100.0)->value];
  BOOST_CHECK_EQUAL(chosen["a"], 75);
  BOOST_CHECK_EQUAL(chosen["b"], 25);
  BOOST_CHECK(ChoosePool(Route{}, 0.5) == nullptr);
}

// Guards against requests to a pool that a split gives no weight.
BOOST_AUTO_TEST_CASE(PoolWithoutWeightGetsNothing) {
  Route route;
  route.weighted_pools = {{.pool = common::PoolName("a"), .weight = 1},
                          {.pool = common::PoolName("b"), .weight = 0}};
  for (const double draw : {0.0, 0.5, 1.0}) {
    BOOST_REQUIRE(ChoosePool(route, draw) != nullptr);
    BOOST_CHECK_EQUAL(ChoosePool(route, draw)->value, "a");
  }
  route.weighted_pools = {{.pool = common::PoolName("a"), .weight = 0},
                          {.pool = common::PoolName("b"), .weight = 0}};
  BOOST_CHECK(ChoosePool(route, 0.5) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::catalogue
