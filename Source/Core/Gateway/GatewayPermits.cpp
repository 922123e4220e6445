#include <algorithm>

#include "Gateway/Gateway.h"
#include "Gateway/GatewayResponses.h"

// The part of Gateway that starts requests at upstreams without a scheduler,
// with a permit where they state a limit.
namespace shallotbeam::gateway {

void Gateway::OnPermitRequest(common::Incarnation gateway,
                              const protocol::PermitRequest& request) {
  // After a start, some gateways have not asked yet.
  const bool all_heard = Now() - started_ > pacing::kGatewaysHeardTime;
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
                        pacing::ClampWait(reply.wait), &actions);
  Execute(actions);
}

void Gateway::OnPermitTick() {
  pacing::PermitActions actions;
  pacing::OnPermitTick(permits_, Now(), &actions);
  Execute(actions);
}

void Gateway::DispatchToService(
    Call& call, const std::vector<const common::UpstreamName*>& candidates) {
  auto usable = candidates;
  std::erase_if(usable, [this](const auto* it) {
    return LimitInForce(*it) && pacing::IsDenied(permits_, Now(), *it);
  });
  call.is_last_permit = usable.size() <= 1;
  if (usable.empty()) usable = candidates;
  const common::UpstreamName& name = *LeastLoaded(usable);
  const auto limit = LimitInForce(name);
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
    const auto limit = LimitInForce(*it);
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
  const auto upstream = upstreams_.upstreams.find(name);
  const auto in_force = LimitInForce(name);
  if (upstream == upstreams_.upstreams.end() || !in_force) {
    // The limit has ended; SendTo() checks the upstream again.
    pacing::CancelPermit(permits_, action.id);
    return Execute(pacing::PermitGranted{.id = action.id});
  }
  const auto stated = stated_limits_.limits.find(name);
  const bool is_stated = stated != stated_limits_.limits.end() &&
                         stated->second.per_second == in_force;
  const pacing::StatedLimit limit =
      is_stated ? stated->second
                : pacing::StatedLimit{.started = upstream->second.entry.started,
                                      .per_second = in_force,
                                      .sent = Now(),
                                      .received = Now()};
  scheduler_client_.SendToPeer(
      action.desk, protocol::PermitRequest{
                       .number = action.number,
                       .control = settings_.control,
                       .limit = pacing::ToRow(name, limit, Now()),
                       .max_wait = common::ToMicroseconds(action.max_wait)});
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
