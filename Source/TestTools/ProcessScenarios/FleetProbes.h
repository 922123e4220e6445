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

// Queries to the processes of a fleet.
namespace shallotbeam::process_scenarios {

inline constexpr std::chrono::milliseconds kFetchTimeout{2000};

// Returns the configuration of the fleet of a scenario. Variants differ in one
// value.
nlohmann::json MakeConfig(const fakes::FleetOptions& fleet, int variant);

// Return the process name in the fleet for a name in a scenario ("r1", "a1"),
// and the name of the engine of an agent ("a1").
std::string ProcessNameOf(const std::string& name);
std::string EngineNameOf(const std::string& agent);

// Sends a request and returns the JSON response. If there is none, the result
// is not an object.
nlohmann::json FetchJson(const common::Endpoint& endpoint,
                         const std::string& target,
                         const std::string& method = "GET",
                         const std::string& body = "");

// Returns the number of requests that each engine has started since the engine
// was started.
std::map<std::string, int> StartedByEngine(const load::Fleet& fleet);

// Returns a message that names a process whose configuration is older than that
// in the store, or an empty string if there is none. `published` keeps the
// highest version seen.
std::string FindOutdatedConfig(const load::Fleet& fleet, int* published);

// Returns how often engines ended, either by themselves or because they were
// killed.
int CountCrashes(const load::Fleet& fleet);

// Returns the runs that the engines have recorded. A killed engine loses its
// records, so scenarios that count runs must not kill engines.
std::vector<Run> FetchRuns(const load::Fleet& fleet);

// Returns a host list of all agents in which the agent `leaving` is leaving.
nlohmann::json MakeHostList(const load::Fleet& fleet,
                            const std::string& leaving);

}  // namespace shallotbeam::process_scenarios

#endif  // SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_FLEETPROBES_H_
