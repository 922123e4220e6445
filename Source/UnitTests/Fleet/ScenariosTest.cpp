#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include "Fakes/Scenario.h"

namespace shallotbeam::fakes {

namespace {

std::vector<std::string> ScenarioFiles() {
  std::vector<std::string> files;
  // Scenarios that are known to fail are in a subfolder and run as a separate
  // test.
  const char* folder = std::getenv("SCENARIO_SUBFOLDER");
  const std::filesystem::path path =
      std::filesystem::path(SCENARIO_FOLDER) / (folder ? folder : "");
  for (const auto& it : std::filesystem::directory_iterator(path)) {
    if (it.path().extension() == ".scenario") files.push_back(it.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string ErrorOf(const std::string& text) {
  return std::string(ParseScenario("x.scenario", text).status().message());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ScenariosTest)

// Runs every scenario file. Each file states the failure it guards against. The
// environment variable SCENARIO_FILE selects one file.
BOOST_AUTO_TEST_CASE(AllFiles) {
  const char* only = std::getenv("SCENARIO_FILE");
  const std::vector<std::string> files = ScenarioFiles();
  BOOST_REQUIRE(!files.empty());
  for (const std::string& file : files) {
    const std::string name = std::filesystem::path(file).filename();
    if (only != nullptr && name != only) continue;
    auto scenario = ReadScenario(file);
    BOOST_CHECK_MESSAGE(scenario.ok(), scenario.status().ToString());
    if (!scenario.ok()) continue;
    scenario->file = name;
    BOOST_TEST_MESSAGE(name << " seed " << scenario->fleet.seed);
    for (const std::string& it : RunScenario(*scenario)) BOOST_ERROR(it);
  }
}

// Guards against steps that are silently skipped because of a typing error.
BOOST_AUTO_TEST_CASE(ErrorsNameFileAndLine) {
  BOOST_CHECK_EQUAL(ErrorOf("# nothing\nat 1s kil r1\n"),
                    "x.scenario:2: unknown step \"kil\"");
  BOOST_CHECK_EQUAL(ErrorOf("at 1s kill r9\n"),
                    "x.scenario:1: no process \"r9\"");
  BOOST_CHECK_EQUAL(ErrorOf("at 1 kill r1\n"),
                    "x.scenario:1: \"at\" needs a time such as \"200ms\"");
  BOOST_CHECK_EQUAL(ErrorOf("at 1s send c1 via r1 colour red\n"),
                    "x.scenario:1: \"send\" has no option \"colour\"");
  BOOST_CHECK_EQUAL(ErrorOf("at 1s expect call c1 completed\n"),
                    "x.scenario:1: no call \"c1\" was sent");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::fakes
