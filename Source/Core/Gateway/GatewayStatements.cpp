#include <algorithm>

#include "Common/Logging.h"
#include "Gateway/Gateway.h"
#include "Gateway/GatewayResponses.h"

// The part of Gateway that handles what upstreams state of themselves in their
// responses.
namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;
using std::chrono::milliseconds;

constexpr common::Duration kLimitReportInterval = std::chrono::seconds(1);

// All gateways that need a permit ask a new desk within this time.
constexpr common::Duration kGatewaysHeardTime = std::chrono::seconds(3);

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
  scheduler_client_.SetLimited(name, in_force.per_second.has_value());
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
  if (current) RecordLimit(row.upstream, pacing::FromRow(row, Now()));
}

void Gateway::SendLimits() {
  const common::TimePoint now = Now();
  if (now < next_limit_report_) return;
  next_limit_report_ = now + kLimitReportInterval;
  for (const auto& [name, it] : stated_limits_.limits) {
    // The scheduler knows what it has told or been told recently.
    const bool recent = now - it.received < kLimitReportInterval * 2;
    if (it.per_second && recent) {
      scheduler_client_.SendLimit(pacing::ToRow(name, it, now));
    }
  }
}

void Gateway::OnPermitRequest(common::Incarnation gateway,
                              const protocol::PermitRequest& request) {
  // After a start, some gateways have not asked yet.
  const bool all_heard = Now() - started_ > kGatewaysHeardTime;
  const auto gateways =
      all_heard ? static_cast<std::uint32_t>(permit_desk_.askers.size()) : 0;
  scheduler_client_.SendToPeer(
      request.control, pacing::AnswerPermitRequest(permit_desk_, Now(), gateway,
                                                   request, gateways));
}

void Gateway::OnPermitReply(const protocol::PermitReply& reply) {
  pacing::SetGatewayCount(permits_, Now(), static_cast<int>(reply.gateways));
  RecordLimitRow(reply.limit);
  pacing::PermitActions actions;
  pacing::OnPermitReply(permits_, Now(), reply.number, reply.granted,
                        reply.wait, &actions);
  Execute(actions);
}

void Gateway::OnPermitTick() {
  pacing::PermitActions actions;
  pacing::OnPermitTick(permits_, Now(), &actions);
  Execute(actions);
  SendLimits();
}

void Gateway::DispatchToService(
    Call& call, const std::vector<const common::UpstreamName*>& candidates) {
  auto usable = candidates;
  std::erase_if(usable, [this](const auto* it) {
    return pacing::LimitOf(stated_limits_, *it) &&
           pacing::IsDenied(permits_, Now(), *it);
  });
  call.is_last_permit = usable.size() <= 1;
  if (usable.empty()) usable = candidates;
  const common::UpstreamName& name = *LeastLoaded(usable);
  const auto limit = pacing::LimitOf(stated_limits_, name);
  if (!limit) return SendTo(call, name, {});
  const auto id = static_cast<pacing::PermitId>(++last_permit_);
  call.permit = id;
  call.permit_upstream = name;
  permit_calls_[id] = &call;
  pacing::PermitActions actions;
  pacing::BeginPermit(permits_, Now(),
                      {.id = id,
                       .upstream = name,
                       .per_second = *limit,
                       .max_wait = call.is_last_permit ? MaxPermitWait(call)
                                                       : common::Duration(0),
                       .desks = scheduler_client_.PermitDesks(name)},
                      &actions);
  Execute(actions);
}

common::Duration Gateway::MaxPermitWait(const Call& call) const {
  const common::TimePoint target =
      call.request.arrived + call.route->latency_target;
  return std::max(std::min(target, call.deadline) - Now(), common::Duration(0));
}

std::vector<const common::UpstreamName*> Gateway::EnginesWithinLimits(
    std::vector<const common::UpstreamName*> candidates) const {
  std::erase_if(candidates, [this](const auto* it) {
    const auto limit = pacing::LimitOf(stated_limits_, *it);
    return limit && !pacing::HasOwnStart(permits_, Now(), *it, *limit);
  });
  return candidates;
}

void Gateway::Execute(const pacing::PermitActions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& it) { Execute(it); }, action);
  }
}

void Gateway::Execute(const pacing::AskDesk& action) {
  const auto call = permit_calls_.find(action.id);
  if (call == permit_calls_.end()) return;
  const common::UpstreamName& name = call->second->permit_upstream;
  const auto limit = stated_limits_.limits.find(name);
  if (limit == stated_limits_.limits.end()) return;
  scheduler_client_.SendToPeer(
      action.desk,
      protocol::PermitRequest{
          .number = action.number,
          .control = settings_.control,
          .limit = pacing::ToRow(name, limit->second, Now()),
          .max_wait = common::ToMicroseconds(call->second->is_last_permit
                                                 ? MaxPermitWait(*call->second)
                                                 : common::Duration(0))});
}

Call* Gateway::TakePermitCall(pacing::PermitId id) {
  const auto it = permit_calls_.find(id);
  if (it == permit_calls_.end()) return nullptr;
  Call* const call = it->second;
  permit_calls_.erase(it);
  call->permit.reset();
  return call;
}

void Gateway::Execute(const pacing::PermitGranted& action) {
  Call* const call = TakePermitCall(action.id);
  if (call != nullptr) SendTo(*call, call->permit_upstream, {});
}

void Gateway::Execute(const pacing::PermitDenied& action) {
  Call* const call = TakePermitCall(action.id);
  if (call == nullptr) return;
  if (!call->is_last_permit) return Dispatch(*call);
  call->declined_wait = action.wait;
  Respond(*call, kUnavailable, "rate_limited", RetryAfter(*call, action.wait));
}

}  // namespace shallotbeam::gateway
