#include "Common/Logging.h"
#include "Gateway/Gateway.h"

// The part of Gateway that handles what upstreams state of themselves in their
// responses.
namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;
using std::chrono::milliseconds;

constexpr common::Duration kLimitReportInterval = std::chrono::seconds(1);
// A scheduler that has reported the limit of its engine within this time knows
// it. Covers two of its reports, of which one may be lost.
constexpr common::Duration kReportedTime = std::chrono::milliseconds(2'600);

}  // namespace

void Gateway::OnStatements(const Call& call,
                           const forwarding::ResponseMetadata& response) {
  const auto upstream = upstreams_.upstreams.find(call.upstream);
  // Another incarnation states nothing of this one.
  if (upstream == upstreams_.upstreams.end() || response.other_incarnation) {
    return;
  }
  const forwarding::UpstreamStatements& stated = response.stated;
  // A head that the upstream may not have made does not end a limit.
  const bool authentic = response.has_digest || response.not_run;
  if (stated.rate_limit || authentic) {
    RecordLimit(call.upstream, {.started = upstream->second.entry.started,
                                .per_second = stated.rate_limit,
                                .sent = call.attempt_started,
                                .received = Now()});
  }
  if (stated.leaving && balancing::MarkLeaving(upstreams_, call.upstream)) {
    UpdateEngine(call.upstream);
  }
  if (stated.retry_after) {
    balancing::Pause(upstreams_, call.upstream, Now() + *stated.retry_after);
  }
  const auto known = stated_.find(call.upstream);
  const bool changed = known == stated_.end()
                           ? stated != forwarding::UpstreamStatements()
                           : stated != known->second;
  if (!changed) return;
  stated_[call.upstream] = stated;
  metrics_.CountStatement();
  Log(Subsystem::kMembership, LogLevel::kInfo,
      "event=upstream_stated upstream={} id={} rate_limit={} leaving={} "
      "retry_after_ms={}",
      call.upstream.value, call.metadata.request_id,
      stated.rate_limit.value_or(-1), stated.leaving,
      stated.retry_after.value_or(milliseconds(-1)) / milliseconds(1));
}

void Gateway::RecordLimit(const common::UpstreamName& name,
                          const pacing::StatedLimit& limit) {
  if (!pacing::Record(stated_limits_, name, limit)) return;
  const pacing::StatedLimit& in_force = stated_limits_.limits.at(name);
  scheduler_client_.SetLimited(name, LimitInForce(name).has_value());
  scheduler_client_.SendLimit(pacing::ToRow(name, in_force, Now()));
  Log(Subsystem::kMembership, LogLevel::kInfo,
      "event=upstream_limit upstream={} rate_limit={}", name.value,
      in_force.per_second.value_or(-1));
}

void Gateway::OnLimitReport(const protocol::LimitReport& report) {
  pacing::SetGatewayCount(permits_, Now(), static_cast<int>(report.gateways));
  for (const protocol::LimitRow& it : report.rows) RecordLimitRow(it);
}

void Gateway::RecordLimitRow(const protocol::LimitRow& row) {
  const auto it = upstreams_.upstreams.find(row.upstream);
  const bool current = it != upstreams_.upstreams.end() &&
                       it->second.entry.started == row.started;
  const auto limit = pacing::FromRow(row, Now());
  if (!current || !limit) return;
  // A permit desk repeats the limit of a cold upstream, which the upstream has
  // not stated.
  if (limit->per_second && limit->per_second == ColdRate(row.upstream)) return;
  reported_limits_[row.upstream] = {.per_second = row.per_second,
                                    .time = Now()};
  RecordLimit(row.upstream, *limit);
}

void Gateway::SendLimits() {
  const common::TimePoint now = Now();
  if (now < next_limit_report_) return;
  next_limit_report_ = now + kLimitReportInterval;
  for (const auto& [name, it] : stated_limits_.limits) {
    if (!it.per_second || IsLimitReported(name, *it.per_second)) continue;
    scheduler_client_.SendLimit(pacing::ToRow(name, it, now));
  }
}

bool Gateway::IsLimitReported(const common::UpstreamName& name,
                              double per_second) const {
  const auto it = reported_limits_.find(name);
  return it != reported_limits_.end() && it->second.per_second == per_second &&
         Now() - it->second.time < kReportedTime;
}

}  // namespace shallotbeam::gateway
