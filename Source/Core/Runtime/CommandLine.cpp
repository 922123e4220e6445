#include "Runtime/CommandLine.h"

#include <boost/program_options/parsers.hpp>

#include "Transport/Http.h"
#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::runtime {

namespace po = boost::program_options;

absl::StatusOr<po::variables_map> ParseArguments(
    const po::options_description& options,
    const std::vector<std::string>& arguments) {
  // The library reports wrong usage by exceptions.
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

}  // namespace shallotbeam::runtime
