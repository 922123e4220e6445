#include "Common/Logging.h"
#include "SchedulerRuntime/SchedulerDriver.h"

// The part of SchedulerDriver that handles the limits that upstreams state.
namespace shallotbeam::scheduler_runtime {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;

}  // namespace

void SchedulerDriver::OnStatus(const EngineStatus& status,
                               common::Duration call_time) {
  const common::TimePoint now = environment_.clock.Now();
  RecordEngineLimit({.started = upstream_started_,
                     .per_second = status.rate_limit,
                     .sent = now - call_time,
                     .received = now});
  OnReport(status.load);
}

void SchedulerDriver::RecordEngineLimit(const pacing::StatedLimit& limit) {
  pacing::LimitTable& limits = permit_desk_.limits;
  if (!pacing::Record(limits, upstream_, limit)) return;
  const auto in_force = pacing::LimitOf(limits, upstream_);
  Log(Subsystem::kMembership, LogLevel::kInfo,
      "event=engine_limit upstream={} rate_limit={}", upstream_.value,
      in_force.value_or(-1));
  scheduling::SetRateLimit(scheduler_, environment_.clock.Now(), in_force);
}

void SchedulerDriver::HandleMessage(
    const protocol::SchedulingEnvelope& /*from*/,
    const protocol::LimitReport& report) {
  const common::TimePoint now = environment_.clock.Now();
  for (const protocol::LimitRow& it : report.rows) {
    const bool current =
        it.upstream == upstream_ && it.started == upstream_started_;
    const auto limit = pacing::FromRow(it, now);
    if (current && limit) RecordEngineLimit(*limit);
  }
}

void SchedulerDriver::HandleMessage(const protocol::SchedulingEnvelope& from,
                                    const protocol::PermitRequest& request) {
  Send(request.control,
       pacing::AnswerPermitRequest(permit_desk_, environment_.clock.Now(),
                                   from.incarnation, request, GatewayCount()));
}

std::vector<protocol::LimitRow> SchedulerDriver::LimitRows() const {
  const common::TimePoint now = environment_.clock.Now();
  std::vector<protocol::LimitRow> rows;
  for (const auto& [upstream, it] : permit_desk_.limits.limits) {
    // The name of the engine is not known before a gateway has told it.
    if (!upstream.empty()) rows.push_back(pacing::ToRow(upstream, it, now));
  }
  return rows;
}

std::uint32_t SchedulerDriver::GatewayCount() const {
  const bool all_heard =
      environment_.clock.Now() - started_ > pacing::kGatewaysHeardTime;
  return all_heard ? static_cast<std::uint32_t>(gateways_.size()) : 0;
}

}  // namespace shallotbeam::scheduler_runtime
