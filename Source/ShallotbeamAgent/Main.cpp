#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "Common/Logging.h"
#include "Common/StatusText.h"
#include "Runtime/AgentProcess.h"
#include "Runtime/CommandLine.h"
#include "Transport/Http.h"

namespace {

namespace po = boost::program_options;
namespace common = shallotbeam::common;
namespace runtime = shallotbeam::runtime;

po::options_description AgentOptions() {
  po::options_description options("Options of shallotbeam-agent");
  options.add_options()("help", "print this help")("version",
                                                   "print the version")(
      "name", po::value<std::string>()->default_value("agent"),
      "name of this process, unique in the fleet")(
      "data-centre", po::value<std::string>()->default_value(""),
      "data centre of this host")("pool", po::value<std::string>(),
                                  "pool of the upstream")(
      "upstream-name", po::value<std::string>()->default_value(""),
      "name of the upstream; the agent's name by default")(
      "upstream", po::value<std::string>(), "address of the upstream (HTTP)")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:8090"),
      "address for routers (HTTP)")(
      "admin", po::value<std::string>()->default_value("127.0.0.1:8091"),
      "address for health, metrics and status (HTTP)")(
      "control", po::value<std::string>()->default_value("127.0.0.1:8092"),
      "address for control messages")(
      "router", po::value<std::vector<std::string>>(),
      "control address of a router; may be repeated")(
      "threads", po::value<int>()->default_value(2), "network threads")(
      "log", po::value<std::string>()->default_value("info"),
      "log levels, for example info,admission=debug");
  return options;
}

absl::StatusOr<runtime::AgentSettings> ReadSettings(
    const po::variables_map& values) {
  runtime::AgentSettings settings;
  settings.name = common::ProcessName(values["name"].as<std::string>());
  settings.data_centre =
      common::DataCentreName(values["data-centre"].as<std::string>());
  settings.threads = values["threads"].as<int>();
  if (values.count("pool") == 0) {
    return absl::InvalidArgumentError("option --pool is required");
  }
  settings.pool = common::PoolName(values["pool"].as<std::string>());
  const auto& upstream = values["upstream-name"].as<std::string>();
  settings.upstream_name =
      common::UpstreamName(upstream.empty() ? settings.name.value : upstream);
  const std::pair<const char*, common::Endpoint*> endpoints[] = {
      {"listen", &settings.data},
      {"admin", &settings.admin},
      {"control", &settings.control},
      {"upstream", &settings.upstream}};
  for (const auto& [name, target] : endpoints) {
    const auto endpoint = runtime::EndpointOption(values, name);
    if (!endpoint.ok()) return endpoint.status();
    *target = *endpoint;
  }
  if (values.count("router") == 0) {
    return absl::InvalidArgumentError("option --router is required");
  }
  for (const auto& text : values["router"].as<std::vector<std::string>>()) {
    const auto endpoint = shallotbeam::transport::ParseEndpoint(text);
    if (!endpoint) {
      return absl::InvalidArgumentError(
          fmt::format("option --router: expected an IP address and a port, "
                      "found \"{}\"",
                      text));
    }
    settings.routers.push_back(*endpoint);
  }
  const absl::Status logs =
      common::ApplyLogLevels(values["log"].as<std::string>());
  if (!logs.ok()) return logs;
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  const po::options_description options = AgentOptions();
  const auto values = runtime::ParseArguments(
      options, std::vector<std::string>(argv + 1, argv + argc));
  if (!values.ok()) {
    fmt::print(stderr, "shallotbeam-agent: {}\n",
               common::MessageOf(values.status()));
    return runtime::kExitUsage;
  }
  if (values->count("help") != 0) {
    std::cout << options;
    return runtime::kExitOk;
  }
  if (values->count("version") != 0) {
    fmt::print("shallotbeam-agent {}\n", SHALLOTBEAM_VERSION);
    return runtime::kExitOk;
  }
  const auto settings = ReadSettings(*values);
  if (!settings.ok()) {
    fmt::print(stderr, "shallotbeam-agent: {}\n",
               common::MessageOf(settings.status()));
    return runtime::kExitUsage;
  }
  const absl::Status status = runtime::RunAgent(*settings);
  if (status.ok()) return runtime::kExitOk;
  fmt::print(stderr, "shallotbeam-agent: {}\n", common::MessageOf(status));
  return runtime::kExitFailure;
}
