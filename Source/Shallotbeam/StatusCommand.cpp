#include <fmt/ostream.h>

#include <map>
#include <set>

#include "CommandTools.h"
#include "Commands.h"
#include "Common/StatusText.h"
#include "Runtime/CommandLine.h"

namespace shallotbeam::commands {

namespace {

using nlohmann::json;

const common::Endpoint kDefaultAdmin{"127.0.0.1", 8081};

// Formats a member of a status object. A member that an older process does not
// report is shown as "-".
std::string FormatCell(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end()) return "-";
  if (it->is_string()) return it->get<std::string>();
  if (it->is_boolean()) return it->get<bool>() ? "yes" : "no";
  if (it->is_number_float()) return fmt::format("{:.1f}", it->get<double>());
  return it->dump();
}

// Formats one list of a status as a table, with the list's name as heading.
std::string FormatSection(const json& status, const char* list,
                          const std::vector<const char*>& columns) {
  std::vector<std::vector<std::string>> rows = {
      {columns.begin(), columns.end()}};
  for (const json& it : status.value(list, json::array())) {
    std::vector<std::string> row;
    row.reserve(columns.size());
    for (const char* column : columns) row.push_back(FormatCell(it, column));
    rows.push_back(std::move(row));
  }
  return fmt::format("\n{}\n{}", list, FormatTable(rows));
}

// One process and the configuration version that it uses.
struct Process {
  std::string role;
  std::string data_centre;
  std::uint64_t version = 0;
  std::uint64_t report_age_ms = 0;  // "silent_ms" in the status
};

Process ToProcess(const json& object) {
  return {.role = FormatCell(object, "role"),
          .data_centre = object.value("data_centre", ""),
          .version = object.value("config_version", std::uint64_t{0}),
          .report_age_ms = object.value("silent_ms", std::uint64_t{0})};
}

// Adds the process that reports `status` and the processes that it knows. Of
// several reports about one process, the latest is used.
void CollectProcesses(const json& status,
                      std::map<std::string, Process>* processes) {
  const auto add = [&](const json& object) {
    const Process process = ToProcess(object);
    const auto [it, added] =
        processes->emplace(object.value("name", ""), process);
    if (!added && process.report_age_ms < it->second.report_age_ms) {
      it->second = process;
    }
  };
  add(status);
  for (const json& it : status.value("processes", json::array())) add(it);
}

json ToJson(const std::map<std::string, Process>& processes) {
  json list = json::array();
  for (const auto& [name, it] : processes) {
    list.push_back({{"name", name},
                    {"role", it.role},
                    {"data_centre", it.data_centre},
                    {"config_version", it.version},
                    {"silent_ms", it.report_age_ms}});
  }
  return list;
}

std::string ToTable(const std::map<std::string, Process>& processes) {
  std::vector<std::vector<std::string>> rows = {
      {"process", "role", "data centre", "version", "reported ms ago"}};
  for (const auto& [name, it] : processes) {
    rows.push_back({name, it.role, it.data_centre, std::to_string(it.version),
                    std::to_string(it.report_age_ms)});
  }
  return FormatTable(rows);
}

}  // namespace

int Status(const Arguments& arguments, const Console& console) {
  common::Endpoint admin = kDefaultAdmin;
  std::string output = "table";
  const auto exit_code = ReadCommandLine(
      {.command = "shallotbeam status",
       .options = {settings::Address("admin", "admin address of a router",
                                     &admin),
                   OutputOption(&output)}},
      arguments, console, nullptr);
  if (exit_code) return *exit_code;
  const auto status = FetchStatus(admin);
  if (!status.ok()) {
    fmt::print(console.err, "shallotbeam status: {}\n",
               common::MessageOf(status.status()));
    return runtime::kExitUnavailable;
  }
  if (output == "json") {
    fmt::print(console.out, "{}\n", status->dump(2));
    return runtime::kExitOk;
  }
  fmt::print(console.out, "{} {}  version {}  requests {}  draining {}\n",
             FormatCell(*status, "role"), FormatCell(*status, "name"),
             FormatCell(*status, "config_version"),
             FormatCell(*status, "requests"), FormatCell(*status, "draining"));
  fmt::print(console.out, "{}{}{}",
             FormatSection(*status, "queues", {"pool", "workspace", "waiting"}),
             FormatSection(*status, "shares",
                           {"pool", "workspace", "weight", "net_service",
                            "virtual_time"}),
             FormatSection(*status, "agents",
                           {"name", "pool", "upstream", "alive", "leaving",
                            "free_slots", "in_flight"}));
  return runtime::kExitOk;
}

int ConfigStatus(const Arguments& arguments, const Console& console) {
  std::vector<common::Endpoint> admins = {kDefaultAdmin};
  std::string output = "table";
  const auto exit_code = ReadCommandLine(
      {.command = "shallotbeam config status",
       .options = {settings::Addresses(
                       "admin", "admin address of a router or agent", &admins),
                   OutputOption(&output)}},
      arguments, console, nullptr);
  if (exit_code) return *exit_code;
  std::map<std::string, Process> processes;
  bool all_answered = true;
  for (const common::Endpoint& admin : admins) {
    const auto status = FetchStatus(admin);
    if (status.ok()) {
      CollectProcesses(*status, &processes);
      continue;
    }
    all_answered = false;
    fmt::print(console.err, "shallotbeam config status: {}\n",
               common::MessageOf(status.status()));
  }
  std::set<std::uint64_t> versions;
  for (const auto& [name, process] : processes) {
    versions.insert(process.version);
  }
  if (output == "json") {
    fmt::print(console.out, "{}\n", ToJson(processes).dump(2));
  } else {
    fmt::print(console.out, "{}{} processes, {} {}\n", ToTable(processes),
               processes.size(), versions.size(),
               versions.size() == 1 ? "version" : "versions");
  }
  if (!all_answered) return runtime::kExitUnavailable;
  return versions.size() == 1 ? runtime::kExitOk : runtime::kExitFailure;
}

}  // namespace shallotbeam::commands
