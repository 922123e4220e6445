#ifndef SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERDRIVER_H_
#define SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERDRIVER_H_

#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Pacing/ColdStarts.h"
#include "Pacing/PermitDesk.h"
#include "Protocol/SchedulingMessages.h"
#include "SchedulerRuntime/SchedulerMetrics.h"
#include "SchedulerRuntime/SchedulerSettings.h"
#include "Scheduling/CounterReports.h"
#include "Scheduling/EngineScheduler.h"
#include "Suspects/CrashEvidence.h"

namespace shallotbeam::scheduler_runtime {

// What an engine says of itself.
struct EngineStatus {
  scheduling::EngineReport load;
  // Requests a second that it takes from all hosts together; absent if it
  // states no limit.
  std::optional<double> rate_limit;
  // Start of the engine as it states itself; absent if it does not.
  std::optional<std::uint64_t> started;
};

struct SchedulerEnvironment {
  const common::Clock& clock;
  // Sends an encoded message; never blocks.
  std::function<void(const common::Endpoint&, std::string_view)> send;
};

// Decodes control messages, passes them to the scheduling state machine of one
// model engine and sends its replies. Not thread-safe, except where noted.
class SchedulerDriver {
 public:
  SchedulerDriver(SchedulerSettings settings, common::Incarnation incarnation,
                  SchedulerEnvironment environment);

  void OnControlMessage(std::string_view bytes);
  // Handles the engine's answer to a call that took `call_time`.
  void OnStatus(const EngineStatus& status, common::Duration call_time);
  void OnTick();
  // Thread-safe.
  std::string MetricsText() const { return metrics_.Text(); }

 private:
  struct Gateway {
    common::Endpoint control;
    common::TimePoint last_heard;
  };

  void HandleMessage(const protocol::SchedulingEnvelope& from,
                     const protocol::GatewayReport& gateway_report);
  // Returns whether a gateway's report describes the engine that is running
  // now, and switches to that engine if it is newer than the known one or if no
  // gateway reported the known one for longer than `gateway_timeout`. Returns
  // false for an earlier engine that a gateway may still know at this address.
  bool UpdateEngineIncarnation(const protocol::GatewayReport& gateway_report,
                               common::TimePoint now);
  void HandleMessage(const protocol::SchedulingEnvelope& from,
                     const protocol::StartOffer& offer);
  void HandleMessage(const protocol::SchedulingEnvelope& from,
                     const protocol::StartProgress& progress);
  void HandleMessage(const protocol::SchedulingEnvelope& from,
                     const protocol::StartedElsewhere& start);
  void HandleMessage(const protocol::SchedulingEnvelope& from,
                     const protocol::CrashReport& report);
  void HandleMessage(const protocol::SchedulingEnvelope& from,
                     const protocol::LimitReport& report);
  void HandleMessage(const protocol::SchedulingEnvelope& from,
                     const protocol::PermitRequest& request);
  // The other messages are never sent to a scheduler; logs a warning.
  template <typename Other>
  void HandleMessage(const protocol::SchedulingEnvelope& from,
                     const Other& message);

  void OnReport(const scheduling::EngineReport& report);
  // Merges a statement of the engine's limit and applies what holds.
  void RecordEngineLimit(const pacing::StatedLimit& limit);
  // Records what a gateway says of the engine while it is cold.
  void RecordCold(const protocol::GatewayReport& gateway_report);
  // The engine was started anew, as its own report shows.
  void OnEngineStart(std::uint64_t started);
  // Applies the lower one of the stated limit and that of a cold engine.
  void ApplyLimit();
  // Limits of this engine and of the upstreams whose permit desk this is.
  std::vector<protocol::LimitRow> LimitRows() const;
  // Gateways heard from; 0 if some may not have been heard from yet.
  std::uint32_t GatewayCount() const;

  // Passes rows that were new to this scheduler on to all gateways.
  void SendCrashReports();
  // Sends everything to a gateway that may have started without knowing of
  // earlier crashes.
  void SendKnownCrashes(const common::Endpoint& gateway);
  void SendReplies(const scheduling::Replies& replies);
  void LogReply(const scheduling::OfferReply& reply) const;
  // Logs the prompts that were in prefill while a stream stalled.
  void LogStreamStall(scheduling::OfferId id) const;
  // Sends the reports that are due.
  void SendReports();
  void LogLoad() const;
  void Send(const common::Endpoint& peer, protocol::SchedulingBody body);

  SchedulerSettings settings_;
  common::Incarnation incarnation_;
  SchedulerEnvironment environment_;
  scheduling::EngineScheduler scheduler_;
  SchedulerMetrics metrics_;
  std::map<common::Incarnation, Gateway> gateways_;
  scheduling::CounterReports counter_reports_;
  suspects::CrashEvidence crash_evidence_;
  suspects::CrashRowQueue crash_rows_{.sends = 2};
  common::TimePoint started_;
  // Knows the limit of the engine too.
  pacing::PermitDesk permit_desk_;
  pacing::ColdLimit cold_limit_;
  pacing::ColdPeriod cold_;
  // Start that the engine's last report stated.
  std::optional<std::uint64_t> reported_start_;
  std::optional<double> limit_in_force_;
  common::UpstreamName upstream_;
  std::uint64_t upstream_started_ = 0;
  // When a gateway last reported the current engine.
  common::TimePoint upstream_last_reported_;
  common::TimePoint next_report_check_;
  common::TimePoint next_metrics_update_;
};

}  // namespace shallotbeam::scheduler_runtime

#endif  // SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERDRIVER_H_
