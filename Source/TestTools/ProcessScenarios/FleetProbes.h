#ifndef SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_FLEETPROBES_H_
#define SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_FLEETPROBES_H_

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Fakes/Scenario.h"
#include "Load/Fleet.h"
#include "ProcessScenarios/ProcessChecks.h"

// What the processes of a fleet report.
namespace shallotbeam::process_scenarios {

inline constexpr std::chrono::milliseconds kAskTimeout{2000};

// Configuration of the fleet of a scenario; editions differ in one value.
nlohmann::json ConfigOf(const fakes::FleetOptions& fleet, int edition);

// Names in the fleet of "r1", "a1" and of the engine of "a1".
std::string NameOf(const std::string& name);
std::string EngineOf(const std::string& agent);

// The JSON response; not an object if there is none.
nlohmann::json Ask(const common::Endpoint& endpoint, const std::string& target,
                   const std::string& method = "GET",
                   const std::string& body = "");

// Requests that each engine has begun since its start.
std::map<std::string, int> BegunByEngine(const load::Fleet& fleet);

// Says which process has an older configuration in force than the store,
// empty if none. `published` remembers the highest version seen.
std::string ProblemOfVersions(const load::Fleet& fleet, int* published);

// How often engines ended, by themselves or killed.
int CrashesOf(const load::Fleet& fleet);

// Engines that are killed lose their records; scenarios that count runs leave
// the engines alone.
std::vector<Run> RunsOf(const load::Fleet& fleet);

// Host list of the agents in which one is leaving.
nlohmann::json HostList(const load::Fleet& fleet, const std::string& leaving);

}  // namespace shallotbeam::process_scenarios

#endif  // SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_FLEETPROBES_H_
