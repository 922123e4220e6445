#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <iostream>

#include "Commands.h"
#include "Common/Logging.h"
#include "Common/StatusText.h"
#include "Runtime/CommandLine.h"
#include "Runtime/RouterProcess.h"

namespace shallotbeam::commands {

namespace {

namespace po = boost::program_options;

po::options_description RouterOptions() {
  po::options_description options("Options of shallotbeam router");
  options.add_options()("help", "print this help")(
      "name", po::value<std::string>()->default_value("router"),
      "name of this process, unique in the fleet")(
      "data-centre", po::value<std::string>()->default_value(""),
      "data centre of this host")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:8080"),
      "address for callers (HTTP)")(
      "admin", po::value<std::string>()->default_value("127.0.0.1:8081"),
      "address for health, metrics and status (HTTP)")(
      "control", po::value<std::string>()->default_value("127.0.0.1:8082"),
      "address for control messages")(
      "platform", po::value<std::string>()->default_value("127.0.0.1:2379"),
      "address of the platform's key-value service")(
      "threads", po::value<int>()->default_value(2), "network threads")(
      "log", po::value<std::string>()->default_value("info"),
      "log levels, for example info,routing=debug");
  return options;
}

absl::StatusOr<runtime::RouterSettings> ReadSettings(
    const po::variables_map& values) {
  runtime::RouterSettings settings;
  settings.name = common::ProcessName(values["name"].as<std::string>());
  settings.data_centre =
      common::DataCentreName(values["data-centre"].as<std::string>());
  settings.threads = values["threads"].as<int>();
  const std::pair<const char*, common::Endpoint*> endpoints[] = {
      {"listen", &settings.callers},
      {"admin", &settings.admin},
      {"control", &settings.control},
      {"platform", &settings.platform}};
  for (const auto& [name, target] : endpoints) {
    const auto endpoint = runtime::EndpointOption(values, name);
    if (!endpoint.ok()) return endpoint.status();
    *target = *endpoint;
  }
  const absl::Status logs =
      common::ApplyLogLevels(values["log"].as<std::string>());
  if (!logs.ok()) return logs;
  return settings;
}

}  // namespace

int Router(const Arguments& arguments) {
  const po::options_description options = RouterOptions();
  const auto values = runtime::ParseArguments(options, arguments);
  if (!values.ok()) {
    fmt::print(stderr, "shallotbeam router: {}\n",
               common::MessageOf(values.status()));
    return runtime::kExitUsage;
  }
  if (values->count("help") != 0) {
    std::cout << options;
    return runtime::kExitOk;
  }
  const auto settings = ReadSettings(*values);
  if (!settings.ok()) {
    fmt::print(stderr, "shallotbeam router: {}\n",
               common::MessageOf(settings.status()));
    return runtime::kExitUsage;
  }
  const absl::Status status = runtime::RunRouter(*settings);
  if (status.ok()) return runtime::kExitOk;
  fmt::print(stderr, "shallotbeam router: {}\n", common::MessageOf(status));
  return runtime::kExitFailure;
}

}  // namespace shallotbeam::commands
