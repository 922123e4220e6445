#include "SchedulerRuntime/SchedulerSettings.h"

namespace shallotbeam::scheduler_runtime {

namespace {

constexpr std::chrono::milliseconds kShortest{1};
constexpr std::chrono::milliseconds kLongest = std::chrono::minutes(1);
constexpr int kPercent = 100;

}  // namespace

settings::Settings SchedulerKeys(SchedulerSettings* target) {
  using settings::Address;
  using settings::Text;
  return {
      Text("name", "name of this process, unique in the fleet", &target->name),
      Text("data-centre", "data centre of this host", &target->data_centre),
      Address("control", "address for the offers of gateways",
              &target->control),
      Address("admin", "address for metrics and status (HTTP)", &target->admin),
      Address("engine", "address of the engine on this host", &target->engine,
              settings::Presence::kRequired),
      settings::LogLevels("log", "log levels by subsystem",
                          &target->log_levels),
      settings::Milliseconds("reading-ahead-ms",
                             "reading time that the engine is sent ahead",
                             kShortest, kLongest, &target->reading_ahead),
      settings::Number("reading-share-percent",
                       "share of the engine's time for reading prompts, until "
                       "pauses of streams adjust it",
                       1, kPercent, &target->reading_share_percent),
      settings::Number("memory-share-percent",
                       "share of the engine's memory for running requests", 1,
                       kPercent, &target->memory_share_percent)};
}

}  // namespace shallotbeam::scheduler_runtime
