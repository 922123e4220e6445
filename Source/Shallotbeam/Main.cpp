#include <fmt/format.h>

#include <iostream>
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
    "  config publish DIR   publish a configuration folder\n"
    "  config show          print the published configuration\n"
    "  config status        print the configuration version of each process\n"
    "  status               print queues, shares and upstreams\n"
    "  explain FILE...      print the log lines about one request\n"
    "\n"
    "Exit codes: 0 success, 1 failure, 2 invalid arguments, 3 a concurrent\n"
    "publication won, 4 the store or a process did not respond.\n"
    "\n"
    "shallotbeam COMMAND --help lists the options of a command.\n"
    "shallotbeam --version prints the version.\n";

}  // namespace

int main(int argc, char** argv) {
  namespace runtime = shallotbeam::runtime;
  namespace commands = shallotbeam::commands;
  const commands::Console console{.out = std::cout, .err = std::cerr};
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
  if (command == "status") return commands::Status(arguments, console);
  if (command == "explain") return commands::Explain(arguments, console);
  if (command == "config" && !arguments.empty()) {
    const std::string action = arguments.front();
    arguments.erase(arguments.begin());
    if (action == "check") return commands::ConfigCheck(arguments, console);
    if (action == "publish") return commands::ConfigPublish(arguments, console);
    if (action == "show") return commands::ConfigShow(arguments, console);
    if (action == "status") return commands::ConfigStatus(arguments, console);
    command += " " + action;
  }
  fmt::print(stderr, "shallotbeam: unknown command \"{}\"\n\n{}", command,
             kUsage);
  return runtime::kExitUsage;
}
