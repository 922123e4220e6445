#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

#include "Commands.h"
#include "Runtime/CommandLine.h"

namespace {

constexpr std::string_view kUsage =
    "Usage: shallotbeam COMMAND [OPTIONS]\n"
    "\n"
    "Commands:\n"
    "  router               run a router\n"
    "  config check DIR     check a configuration folder\n"
    "  config publish DIR   put a configuration folder in force\n"
    "  config show          print the configuration in force\n"
    "  config status        print which version each process uses\n"
    "  status               print queues, shares and upstreams\n"
    "\n"
    "shallotbeam COMMAND --help lists the options of a command.\n"
    "shallotbeam --version prints the version.\n";

}  // namespace

int main(int argc, char** argv) {
  namespace runtime = shallotbeam::runtime;
  namespace commands = shallotbeam::commands;
  std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty()) {
    fmt::print(stderr, "{}", kUsage);
    return runtime::kExitUsage;
  }
  std::string command = arguments.front();
  arguments.erase(arguments.begin());
  if (command == "--help" || command == "-h") {
    fmt::print("{}", kUsage);
    return runtime::kExitOk;
  }
  if (command == "--version") {
    fmt::print("shallotbeam {}\n", SHALLOTBEAM_VERSION);
    return runtime::kExitOk;
  }
  if (command == "router") return commands::Router(arguments);
  if (command == "status") return commands::Status(arguments);
  if (command == "config" && !arguments.empty()) {
    const std::string action = arguments.front();
    arguments.erase(arguments.begin());
    if (action == "check") return commands::ConfigCheck(arguments);
    if (action == "publish") return commands::ConfigPublish(arguments);
    if (action == "show") return commands::ConfigShow(arguments);
    if (action == "status") return commands::ConfigStatus(arguments);
    command += " " + action;
  }
  fmt::print(stderr, "shallotbeam: unknown command \"{}\"\n\n{}", command,
             kUsage);
  return runtime::kExitUsage;
}
