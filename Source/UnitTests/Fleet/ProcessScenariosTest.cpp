#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include "ProcessScenarios/ProcessRun.h"

namespace shallotbeam::process_scenarios {

namespace {

constexpr int kFirstPort = 30'100;
constexpr int kPortsPerScenario = 40;

std::vector<std::string> ScenarioFiles() {
  std::vector<std::string> files;
  for (const auto& it :
       std::filesystem::directory_iterator(PROCESS_SCENARIO_FOLDER)) {
    if (it.path().extension() == ".scenario") files.push_back(it.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ProcessScenariosTest)

// Runs every scenario file with real processes. Each file states the failure it
// guards against. The environment variable SCENARIO_FILE selects one file;
// PROCESS_PROGRAMS sets another folder with the programs.
BOOST_AUTO_TEST_CASE(AllFiles) {
  const char* only = std::getenv("SCENARIO_FILE");
  const char* programs = std::getenv("PROCESS_PROGRAMS");
  const std::vector<std::string> files = ScenarioFiles();
  BOOST_REQUIRE(!files.empty());
  int first_port = kFirstPort;
  for (const std::string& file : files) {
    const std::string name = std::filesystem::path(file).filename();
    const int port = first_port;
    first_port += kPortsPerScenario;
    if (only != nullptr && name != only) continue;
    auto scenario =
        fakes::ReadScenario(file, fakes::ScenarioTarget::kProcesses);
    BOOST_CHECK_MESSAGE(scenario.ok(), scenario.status().ToString());
    if (!scenario.ok()) continue;
    scenario->file = name;
    const ProcessRunResult result = RunWithProcesses(
        *scenario, {.programs = programs == nullptr ? PROGRAM_FOLDER : programs,
                    .work_folder = std::string(WORK_FOLDER) + "/" + name,
                    .first_port = port});
    std::string outcomes;
    for (const auto& [outcome, count] : result.outcomes) {
      outcomes += " " + outcome + " " + std::to_string(count);
    }
    BOOST_TEST_MESSAGE(name << " seed " << scenario->fleet.seed << " port "
                            << port << ":" << outcomes << ", keys "
                            << result.keys << " runs " << result.runs
                            << " crashes " << result.crashes);
    for (const std::string& it : result.violations) BOOST_ERROR(it);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::process_scenarios
