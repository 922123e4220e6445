#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "Core/Runtime/RouterDriverFixture.h"

namespace shallotbeam::runtime {

// Guards against a configuration that a router never takes because it was
// published after the store came back from an older copy, at a lower revision
// than the one in force.
BOOST_FIXTURE_TEST_CASE(ConfigurationOfARestoredStoreTakesEffect,
                        RouterDriverFixture) {
  Run(std::chrono::seconds(2));
  BOOST_REQUIRE(!store.reads.empty());
  store.reads.back()(StoredConfig(7));
  Run(std::chrono::seconds(2));
  store.reads.back()(StoredConfig(5));
  const auto status = nlohmann::json::parse(driver.OnAdmin("/status").body);
  BOOST_TEST(status.value("config_version", 0) == 5);
}

}  // namespace shallotbeam::runtime
