#ifndef SHALLOTBEAM_CORE_RUNTIME_COMMANDLINE_H_
#define SHALLOTBEAM_CORE_RUNTIME_COMMANDLINE_H_

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <functional>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Runtime/ProcessSettings.h"
#include "absl/status/statusor.h"

namespace shallotbeam::runtime {

// Exit codes of the programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;   // the command failed
inline constexpr int kExitUsage = 2;     // the command line is wrong
inline constexpr int kExitConflict = 3;  // a concurrent publication won
// The store or a process did not respond.
inline constexpr int kExitUnavailable = 4;

// Parses arguments without the program's name. Returns kInvalidArgument with a
// message for the user.
absl::StatusOr<boost::program_options::variables_map> ParseArguments(
    const boost::program_options::options_description& options,
    const std::vector<std::string>& arguments);

// Returns the value of an option as an endpoint. Returns kInvalidArgument if it
// is missing or is not an IP address and a port.
absl::StatusOr<common::Endpoint> EndpointOption(
    const boost::program_options::variables_map& values,
    const std::string& name);

// A long-running program.
struct Program {
  std::string name;  // as on the command line, for messages
  std::string version;
  settings::Settings keys;
  const std::string* log_levels;  // applied once the settings are read
  std::function<absl::Status()> run;
};

// Handles --help and --version, reads the settings, runs the program and
// returns its exit code. Prints errors to standard error.
int RunProgram(const Program& program,
               const std::vector<std::string>& arguments);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_COMMANDLINE_H_
