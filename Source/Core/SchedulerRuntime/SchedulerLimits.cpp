#include <cmath>
#include <utility>

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
  if (status.started) OnEngineStart(*status.started);
  OnReport(status.load);
}

void SchedulerDriver::OnEngineStart(std::uint64_t started) {
  const auto previous = std::exchange(reported_start_, started);
  // After a restart of this process, what gateways know tells a new start.
  const std::uint64_t known = previous.value_or(upstream_started_);
  if (known == 0 || known >= started) return;
  pacing::Extend(cold_, {.started = started,
                         .until = environment_.clock.Now() + cold_limit_.time});
  ApplyLimit();
}

void SchedulerDriver::RecordCold(
    const protocol::GatewayReport& gateway_report) {
  const common::TimePoint now = environment_.clock.Now();
  const bool valid = std::isfinite(gateway_report.cold_per_second) &&
                     gateway_report.cold_per_second >= 0;
  if (!valid) return;
  // A gateway with an older configuration may state no limit.
  const bool has_limit = gateway_report.cold_per_second > 0;
  if (has_limit || now >= cold_.until) {
    cold_limit_ = {.per_second = gateway_report.cold_per_second,
                   .time = pacing::ClampColdTime(gateway_report.cold_time)};
  }
  const common::Duration left = pacing::ClampColdTime(gateway_report.cold_left);
  const bool restarted =
      reported_start_ && *reported_start_ > gateway_report.upstream_started;
  if (restarted && cold_.started < *reported_start_) {
    pacing::Extend(
        cold_, {.started = *reported_start_, .until = now + cold_limit_.time});
  }
  if (left > common::Duration(0)) {
    pacing::Extend(cold_, {.started = gateway_report.upstream_started,
                           .until = now + left});
  }
  ApplyLimit();
}

void SchedulerDriver::RecordEngineLimit(const pacing::StatedLimit& limit) {
  pacing::LimitTable& limits = permit_desk_.limits;
  if (!pacing::Record(limits, upstream_, limit)) return;
  ApplyLimit();
}

void SchedulerDriver::ApplyLimit() {
  const common::TimePoint now = environment_.clock.Now();
  const auto cold = pacing::ColdRate(cold_limit_, cold_, now);
  const auto in_force =
      pacing::LowerLimit(pacing::LimitOf(permit_desk_.limits, upstream_), cold);
  if (in_force == limit_in_force_) return;
  limit_in_force_ = in_force;
  Log(Subsystem::kMembership, LogLevel::kInfo,
      "event=engine_limit upstream={} rate_limit={} cold_ms={}",
      upstream_.value, in_force.value_or(-1),
      cold ? (cold_.until - now) / std::chrono::milliseconds(1) : 0);
  scheduling::SetRateLimit(scheduler_, now, in_force);
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
