#ifndef SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERENGINE_H_
#define SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERENGINE_H_

#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Protocol/SchedulingMessages.h"
#include "SchedulerRuntime/SchedulerMetrics.h"
#include "SchedulerRuntime/SchedulerSettings.h"
#include "Scheduling/EngineScheduler.h"

namespace shallotbeam::scheduler_runtime {

struct SchedulerEnvironment {
  const common::Clock& clock;
  // Sends an encoded message; never blocks.
  std::function<void(const common::Endpoint&, std::string_view)> send;
};

// Owns the state of a scheduler and answers messages. Used by one thread.
class SchedulerEngine {
 public:
  SchedulerEngine(SchedulerSettings settings, common::Incarnation incarnation,
                  SchedulerEnvironment environment);

  void OnBytes(std::string_view bytes);
  void OnReport(const scheduling::EngineReport& report);
  void OnTick();
  // Thread-safe.
  std::string MetricsText() const { return metrics_.Text(); }

 private:
  struct Gateway {
    common::Endpoint control;
    common::TimePoint heard;
  };

  void Do(const protocol::SchedulingEnvelope& from,
          const protocol::GatewayHello& hello);
  // Whether a hello speaks of the engine that runs now; a gateway may still
  // know an earlier one at this address.
  bool IsCurrent(const protocol::GatewayHello& hello, common::TimePoint now);
  void Do(const protocol::SchedulingEnvelope& from,
          const protocol::StartOffer& offer);
  void Do(const protocol::SchedulingEnvelope& from,
          const protocol::StartProgress& progress);
  void Do(const protocol::SchedulingEnvelope& from,
          const protocol::StartedElsewhere& start);
  // Not sent to schedulers.
  void Do(const protocol::SchedulingEnvelope& from,
          const protocol::SchedulerHello& hello);
  void Do(const protocol::SchedulingEnvelope& from,
          const protocol::StartReply& reply);

  void SendReplies(const scheduling::Replies& replies);
  void LogReply(const scheduling::OfferReply& reply) const;
  // Names what the engine read when a stream paused for too long.
  void LogPause(scheduling::OfferId id) const;
  void SendHellos();
  void Send(const common::Endpoint& peer, protocol::SchedulingBody body);

  SchedulerSettings settings_;
  common::Incarnation incarnation_;
  SchedulerEnvironment environment_;
  scheduling::EngineScheduler scheduler_;
  SchedulerMetrics metrics_;
  std::map<common::Incarnation, Gateway> gateways_;
  common::UpstreamName upstream_;
  std::uint64_t upstream_started_ = 0;
  common::TimePoint upstream_named_;  // last by a gateway
  common::TimePoint next_hello_;
};

}  // namespace shallotbeam::scheduler_runtime

#endif  // SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERENGINE_H_
