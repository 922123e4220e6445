#include "ProcessScenarios/FleetProbes.h"

#include <fmt/format.h>

#include <algorithm>

namespace shallotbeam::process_scenarios {

namespace {

using nlohmann::json;

constexpr const char* kConfigKey = "Y29uZmlnL2N1cnJlbnQ=";  // config/current

}  // namespace

json MakeConfig(const fakes::FleetOptions& fleet, int variant) {
  json config;
  config["pools"]["work"] = {{"initial_slots", fleet.slots},
                             {"min_slots", fleet.slots},
                             {"max_slots", fleet.slots}};
  config["kinds"]["chat"] = {{"pool", "work"}, {"max_queued", 1000 + variant}};
  config["kinds"]["urgent"] = {{"pool", "work"}, {"urgency", "urgent"}};
  config["kinds"]["order"] = {{"pool", "work"}, {"idempotent", false}};
  for (const auto& [name, weight] : fleet.weights) {
    config["workspaces"][name] = {{"weight", weight},
                                  {"open", true},
                                  {"kinds", {"chat", "urgent", "order"}}};
  }
  return config;
}

std::string ProcessNameOf(const std::string& name) {
  const int index = std::stoi(name.substr(1)) - 1;
  return name[0] == 'r' ? fmt::format("router-{}", index)
                        : fmt::format("agent-work-{}", index);
}

std::string EngineNameOf(const std::string& agent) {
  return fmt::format("work-{}", std::stoi(agent.substr(1)) - 1);
}

json FetchJson(const common::Endpoint& endpoint, const std::string& target,
               const std::string& method, const std::string& body) {
  const auto response =
      load::FetchNow(endpoint, method, target, body, kFetchTimeout);
  return json::parse(response.body, nullptr, false);
}

std::map<std::string, int> StartedByEngine(const load::Fleet& fleet) {
  std::map<std::string, int> counts;
  for (const load::FleetProcess* it : fleet.OfRole("engine")) {
    const json answer = FetchJson(it->http, "/counts");
    counts[it->name] = answer.is_object() ? answer.value("begun", 0) : 0;
  }
  return counts;
}

std::string FindOutdatedConfig(const load::Fleet& fleet, int* published) {
  const json range = FetchJson((*fleet.Find("platform")).http, "/v3/kv/range",
                               "POST", json({{"key", kConfigKey}}).dump());
  if (range.is_object() && range.contains("kvs")) {
    const auto text = range["kvs"][0]["mod_revision"].get<std::string>();
    *published = std::max(*published, std::stoi(text));
  }
  for (const load::FleetProcess& it : fleet.Processes()) {
    if (it.role != "router" && it.role != "agent") continue;
    const json status = FetchJson(it.admin, "/status");
    const int version =
        status.is_object() ? status.value("config_version", 0) : -1;
    if (version >= *published && *published > 0) continue;
    return fmt::format("{} has version {} in force, published {}", it.name,
                       version, *published);
  }
  return "";
}

int CountCrashes(const load::Fleet& fleet) {
  int crashes = 0;
  for (const load::FleetProcess* it : fleet.OfRole("engine")) {
    crashes += it->restarts;
  }
  return crashes;
}

std::vector<Run> FetchRuns(const load::Fleet& fleet) {
  std::vector<Run> runs;
  for (const load::FleetProcess* it : fleet.OfRole("engine")) {
    const json answer = FetchJson(it->http, "/runs");
    if (!answer.is_array()) continue;
    for (const json& run : answer) {
      runs.push_back({.key = run["key"],
                      .tag = std::stoul(run["tag"].get<std::string>()),
                      .started_ms = run["begun_ms"],
                      .engine = it->name});
    }
  }
  return runs;
}

json MakeHostList(const load::Fleet& fleet, const std::string& leaving) {
  json hosts = json::array();
  for (const load::FleetProcess* it : fleet.OfRole("agent")) {
    hosts.push_back({{"name", it->name},
                     {"address", it->http.address},
                     {"state", it->name == leaving ? "leaving" : "live"}});
  }
  return hosts;
}

}  // namespace shallotbeam::process_scenarios
