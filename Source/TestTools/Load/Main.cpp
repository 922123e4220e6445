#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "Common/StatusText.h"
#include "Load/Bounds.h"
#include "Load/Overhead.h"
#include "Load/Report.h"
#include "Load/Run.h"
#include "Runtime/CommandLine.h"

namespace {

namespace po = boost::program_options;
namespace load = shallotbeam::load;
namespace runtime = shallotbeam::runtime;
using nlohmann::json;

constexpr char kUsage[] =
    "Usage: shallotbeam-load run EXPERIMENT [options]\n"
    "       shallotbeam-load overhead [options]\n"
    "       shallotbeam-load fleet EXPERIMENT [options]\n"
    "\"run\" measures an experiment and checks its bounds. "
    "\"overhead\"\nmeasures the latency that the fleet adds to a short call. "
    "\"fleet\" starts\nthe processes of an experiment on fixed ports and runs "
    "them until SIGTERM.\n";

po::options_description Options() {
  po::options_description options("Options");
  options.add_options()("help", "print this help")(
      "command", po::value<std::string>(), "run, overhead or fleet")(
      "experiment", po::value<std::string>(), "experiment file")(
      "baseline", po::value<std::string>(),
      "also run against a simple proxy with this policy: "
      "first-come-first-served, least-loaded or round-robin")(
      "json", po::value<std::string>(), "write the measures to this file")(
      "seed", po::value<std::uint64_t>(), "override the experiment's seed")(
      "programs", po::value<std::string>(),
      "folder of the built programs; by default derived from the path of this "
      "program")("first-port", po::value<int>()->default_value(18'000),
                 "first port to use for the fleet command")(
      "keep-logs", po::bool_switch(), "keep the logs of the processes");
  return options;
}

// Temporary folder for the logs of the processes. Removed at the end unless
// Keep() was called.
class WorkFolder {
 public:
  WorkFolder()
      : path_(std::filesystem::temp_directory_path() /
              fmt::format("shallotbeam-load-{}", getpid())) {
    std::filesystem::create_directories(path_);
  }
  ~WorkFolder() {
    if (kept_) {
      fmt::print(stderr, "logs: {}\n", path_.string());
      return;
    }
    std::error_code ec;
    std::filesystem::remove_all(path_, ec);
  }
  WorkFolder(const WorkFolder&) = delete;
  WorkFolder& operator=(const WorkFolder&) = delete;

  std::string Path() const { return path_.string(); }
  void Keep() { kept_ = true; }

 private:
  std::filesystem::path path_;
  bool kept_ = false;
};

int Fail(const absl::Status& status) {
  fmt::print(stderr, "shallotbeam-load: {}\n",
             shallotbeam::common::MessageOf(status));
  return runtime::kExitFailure;
}

int RunCommand(const load::Experiment& experiment,
               const po::variables_map& values,
               const load::FleetOptions& options, WorkFolder& folder) {
  std::optional<load::Policy> policy;
  if (values.count("baseline") != 0) {
    policy = load::ParsePolicy(values["baseline"].as<std::string>());
    if (!policy) {
      fmt::print(stderr, "shallotbeam-load: unknown policy \"{}\"\n",
                 values["baseline"].as<std::string>());
      return runtime::kExitUsage;
    }
  }
  const auto config = load::ReadConfig(experiment);
  if (!config.ok()) return Fail(config.status());
  fmt::print("{}: {}\nseed {}\n\n", experiment.name, experiment.text,
             experiment.seed);
  std::fflush(stdout);
  const auto record =
      load::RunExperiment(experiment, *config, options, std::nullopt);
  if (!record.ok()) {
    folder.Keep();
    return Fail(record.status());
  }
  const json measures = load::MeasureRun(experiment, *config, *record);
  const auto bounds = load::CheckBounds(experiment, measures);
  fmt::print("{}\n{}", load::ToTable(measures), load::ToTable(bounds));
  json output = {{"experiment", experiment.name},
                 {"seed", experiment.seed},
                 {"fleet", measures}};
  if (policy) {
    const auto other =
        load::RunExperiment(experiment, *config, options, policy);
    if (!other.ok()) return Fail(other.status());
    output["baseline"] = load::MeasureRun(experiment, *config, *other);
    fmt::print("\nbaseline {}\n{}", values["baseline"].as<std::string>(),
               load::CompareTable(measures, output["baseline"]));
  }
  bool met = true;
  for (const load::BoundResult& it : bounds) {
    met = met && it.met;
    output["bounds"].push_back(
        {{"text", it.text}, {"measured", it.measured}, {"met", it.met}});
  }
  if (values.count("json") != 0) {
    std::ofstream(values["json"].as<std::string>()) << output.dump(2) << "\n";
  }
  return met ? runtime::kExitOk : runtime::kExitFailure;
}

int FleetCommand(const load::Experiment& experiment,
                 const load::FleetOptions& options, WorkFolder& folder) {
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  const auto fleet = load::Fleet::Start(experiment, options);
  if (!fleet.ok()) {
    folder.Keep();
    return Fail(fleet.status());
  }
  for (const load::FleetProcess& it : (*fleet)->Processes()) {
    fmt::print("{:<20} {:<9} http {}", it.name, it.role,
               shallotbeam::common::ToString(it.http));
    if (it.admin.port != 0) {
      fmt::print("  admin {}", shallotbeam::common::ToString(it.admin));
    }
    fmt::print("\n");
  }
  fmt::print("ready\n");
  std::fflush(stdout);
  signals.async_wait([](const auto&, int) {});
  context.run();
  return runtime::kExitOk;
}

std::string ProgramsFolder(const po::variables_map& values) {
  if (values.count("programs") != 0) {
    return values["programs"].as<std::string>();
  }
  // This program is build/Source/TestTools/Load/shallotbeam-load; the folder is
  // build/Source.
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return self.parent_path().parent_path().parent_path().string();
}

int RunMain(const po::variables_map& values) {
  const std::string command =
      values.count("command") == 0 ? "" : values["command"].as<std::string>();
  WorkFolder folder;
  if (values["keep-logs"].as<bool>()) folder.Keep();
  load::FleetOptions options{.programs = ProgramsFolder(values),
                             .work_folder = folder.Path()};
  if (command == "overhead") {
    const auto result = load::MeasureOverhead(options);
    if (!result.ok()) {
      folder.Keep();
      return Fail(result.status());
    }
    fmt::print("{}\n", result->dump(2));
    return runtime::kExitOk;
  }
  const bool known = command == "run" || command == "fleet";
  if (!known || values.count("experiment") == 0) {
    std::cout << kUsage << Options();
    return runtime::kExitUsage;
  }
  auto experiment =
      load::ReadExperiment(values["experiment"].as<std::string>());
  if (!experiment.ok()) {
    Fail(experiment.status());
    return runtime::kExitUsage;
  }
  if (values.count("seed") != 0) {
    experiment->seed = values["seed"].as<std::uint64_t>();
  }
  if (command == "run") return RunCommand(*experiment, values, options, folder);
  options.first_port = values["first-port"].as<int>();
  return FleetCommand(*experiment, options, folder);
}

}  // namespace

int main(int argc, char** argv) {
  const po::options_description options = Options();
  po::positional_options_description positions;
  positions.add("command", 1).add("experiment", 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(positions)
                  .run(),
              values);
  } catch (const po::error& e) {
    fmt::print(stderr, "shallotbeam-load: {}\n", e.what());
    return runtime::kExitUsage;
  }
  if (values.count("help") != 0) {
    std::cout << kUsage << options;
    return runtime::kExitOk;
  }
  return RunMain(values);
}
