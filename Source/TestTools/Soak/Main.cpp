#include <fmt/format.h>

#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

#include "Common/StatusText.h"
#include "ProcessScenarios/ProcessRun.h"
#include "Runtime/CommandLine.h"
#include "Settings/Settings.h"
#include "Soak/SoakPlan.h"

// Runs random schedules of faults against the real programs, one seed after
// another, and prints the violations found with each seed.
int main(int argc, char** argv) {
  namespace runtime = shallotbeam::runtime;
  namespace settings = shallotbeam::settings;
  constexpr int kLastPort = 32'000;
  constexpr int kMaxSeeds = 1'000'000;
  std::string programs =
      std::filesystem::path(argv[0]).parent_path().parent_path().parent_path();
  std::string work_folder = "soak-runs";
  int first_seed = 1;
  int seeds = 1;
  int first_port = 31'900;
  std::string mode = "run";
  const settings::Settings keys = {
      settings::Text("programs", "folder with the built programs", &programs),
      settings::Text("work-folder", "folder for logs, one for each seed",
                     &work_folder),
      settings::Number("first-seed", "first seed", 1, kMaxSeeds, &first_seed),
      settings::Number("seeds", "number of seeds", 1, kMaxSeeds, &seeds),
      settings::Number("first-port", "first of 40 ports", 1'024, kLastPort,
                       &first_port),
      settings::Choice("mode", "run the schedules or print them",
                       {"run", "print"}, &mode)};
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const absl::Status status = settings::Read(keys, arguments);
  if (!status.ok()) {
    fmt::print(stderr, "shallotbeam-soak: {}\n{}",
               shallotbeam::common::MessageOf(status),
               settings::Help("shallotbeam-soak", keys));
    return runtime::kExitUsage;
  }
  int failed = 0;
  for (std::uint64_t i = 0; i < static_cast<std::uint64_t>(seeds); ++i) {
    const std::uint64_t seed = static_cast<std::uint64_t>(first_seed) + i;
    const auto scenario = shallotbeam::soak::MakeSoakScenario({.seed = seed});
    if (mode == "print") {
      fmt::print("{}", shallotbeam::fakes::ToString(scenario));
      continue;
    }
    const auto result = shallotbeam::process_scenarios::RunWithProcesses(
        scenario, {.programs = programs,
                   .work_folder = fmt::format("{}/{}", work_folder, seed),
                   .first_port = first_port});
    std::string outcomes;
    for (const auto& [outcome, count] : result.outcomes) {
      outcomes += fmt::format(" {} {}", outcome, count);
    }
    fmt::print("seed {} {}:{}, keys {} runs {} crashes {}\n", seed,
               result.violations.empty() ? "passed" : "FAILED", outcomes,
               result.keys, result.runs, result.crashes);
    for (const std::string& it : result.violations) fmt::print("  {}\n", it);
    std::fflush(stdout);
    if (!result.violations.empty()) ++failed;
  }
  return failed == 0 ? runtime::kExitOk : runtime::kExitFailure;
}
