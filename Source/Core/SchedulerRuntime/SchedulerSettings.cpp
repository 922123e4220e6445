#include "SchedulerRuntime/SchedulerSettings.h"

namespace shallotbeam::scheduler_runtime {

namespace {

constexpr std::chrono::milliseconds kMinPrefillAhead{1};
constexpr std::chrono::milliseconds kMaxPrefillAhead = std::chrono::minutes(1);
constexpr int kMaxPercent = 100;

}  // namespace

settings::Settings SchedulerKeys(SchedulerSettings* target) {
  using settings::Address;
  using settings::Text;
  return {
      Text("name", "name of this process, unique in the fleet", &target->name),
      Text("data-centre", "data centre of this host", &target->data_centre),
      Address("control", "address for offers from gateways", &target->control),
      Address("admin", "address for metrics and status (HTTP)", &target->admin),
      Address("engine", "address of the engine on this host", &target->engine,
              settings::Presence::kRequired),
      settings::LogLevels("log", "log levels by subsystem",
                          &target->log_levels),
      settings::Milliseconds("reading-ahead-ms",
                             "prefill time of prompts sent to the engine in "
                             "advance",
                             kMinPrefillAhead, kMaxPrefillAhead,
                             &target->prefill_ahead),
      settings::Number("reading-share-percent",
                       "initial share of the engine's time for prefill; "
                       "adjusted when streams stall",
                       1, kMaxPercent, &target->prefill_share_percent),
      settings::Number("memory-share-percent",
                       "share of the engine's memory for running requests", 1,
                       kMaxPercent, &target->memory_share_percent)};
}

}  // namespace shallotbeam::scheduler_runtime
