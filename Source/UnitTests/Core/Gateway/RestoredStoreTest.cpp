#include <boost/test/unit_test.hpp>
#include <string>

#include "Core/Gateway/GatewayFixture.h"

// What callers get after the store was restored from an older copy.
namespace shallotbeam::gateway {

namespace {

struct Fixture : GatewayFixture {
  // Puts the next version of the configuration with one more route.
  void AddRoute(const std::string& prefix) {
    catalogue::Route route = catalogue.routes.front();
    route.path_prefix = prefix;
    catalogue.routes.push_back(route);
    catalogue.version = static_cast<common::ConfigVersion>(++last_version_);
    PutCatalogue(catalogue);
  }

 private:
  std::uint64_t last_version_ = 1;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RestoredStoreTest, Fixture)

// Guards against a configuration in force that is replaced by an older one, and
// against a later one that is not taken because its revision is lower.
BOOST_AUTO_TEST_CASE(ConfigurationNeverGoesBack) {
  FakeUpstream upstream(context, RespondDone);
  AddUpstream("u", upstream.Endpoint());  // change 1
  AddRoute("/added/");                    // change 2
  AddRoute("/lost/");                     // change 3
  RestoreStore({0, 1, 2});
  BOOST_CHECK(Contains(Exchange("/added/"), "200"));
  BOOST_CHECK(Contains(Exchange("/lost/"), "200"));
  AddRoute("/later/");
  BOOST_CHECK(Contains(Exchange("/lost/"), "200"));
  BOOST_CHECK(Contains(Exchange("/later/"), "200"));
}

// Guards against an upstream that has left and gets requests again because a
// restored store still has its entry.
BOOST_AUTO_TEST_CASE(UpstreamThatHasLeftStaysAway) {
  FakeUpstream left(context, RespondDone);
  FakeUpstream other(context, RespondDone);
  AddUpstream("left", left.Endpoint());                     // change 1
  AddUpstream("other", other.Endpoint());                   // change 2
  AddUpstream("left", left.Endpoint(), /*draining=*/true);  // change 3
  RestoreStore({0, 1, 2});
  for (int i = 0; i < 10; ++i) {
    BOOST_CHECK(Contains(Exchange("/order/"), "200"));
  }
  BOOST_CHECK_EQUAL(left.Requests().size(), 0);
}

// Guards against callers that are refused because all upstreams registered in
// the time that the restored store has lost.
BOOST_AUTO_TEST_CASE(UpstreamMissingInTheRestoredStoreIsUsedForAWhile) {
  FakeUpstream upstream(context, RespondDone);
  AddUpstream("u", upstream.Endpoint());
  RestoreStore({0});
  BOOST_CHECK(Contains(Exchange("/order/"), "200"));
  AddUpstream("u", upstream.Endpoint());
  Advance(std::chrono::seconds(3));
  BOOST_CHECK(Contains(Exchange("/order/"), "200"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
