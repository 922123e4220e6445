#include "Runtime/CommandLine.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options/parsers.hpp>

#include "Common/Logging.h"
#include "Common/StatusText.h"
#include "Transport/Http.h"
#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::runtime {

namespace po = boost::program_options;

absl::StatusOr<po::variables_map> ParseArguments(
    const po::options_description& options,
    const std::vector<std::string>& arguments) {
  // Boost.Program_options reports invalid arguments by exceptions.
  try {
    po::variables_map values;
    po::store(po::command_line_parser(arguments).options(options).run(),
              values);
    po::notify(values);
    return values;
  } catch (const po::error& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

absl::StatusOr<common::Endpoint> EndpointOption(const po::variables_map& values,
                                                const std::string& name) {
  if (values.count(name) == 0) {
    return absl::InvalidArgumentError(
        absl::StrCat("option --", name, " is required"));
  }
  const auto& text = values[name].as<std::string>();
  const auto endpoint = transport::ParseEndpoint(text);
  if (!endpoint) {
    return absl::InvalidArgumentError(absl::StrCat(
        "option --", name, ": expected an IP address and a port, found \"",
        text, "\""));
  }
  return *endpoint;
}

int RunProgram(const Program& program,
               const std::vector<std::string>& arguments) {
  const auto has = [&](const char* option) {
    return std::find(arguments.begin(), arguments.end(), option) !=
           arguments.end();
  };
  if (has("--help")) {
    fmt::print("{}", settings::Help(program.name, program.keys));
    return kExitOk;
  }
  if (has("--version")) {
    fmt::print("{} {}\n", program.name, program.version);
    return kExitOk;
  }
  absl::Status status = settings::Read(program.keys, arguments);
  if (status.ok()) status = common::ApplyLogLevels(*program.log_levels);
  if (!status.ok()) {
    fmt::print(stderr, "{}: {}\n", program.name, common::MessageOf(status));
    return kExitUsage;
  }
  status = program.run();
  if (status.ok()) return kExitOk;
  fmt::print(stderr, "{}: {}\n", program.name, common::MessageOf(status));
  return kExitFailure;
}

}  // namespace shallotbeam::runtime
