#include "Pacing/PermitDesk.h"

#include <algorithm>

namespace shallotbeam::pacing {

namespace {

// Gateways repeat what they know with each request, so that a desk may forget.
constexpr common::Duration kMemory = std::chrono::seconds(60);

}  // namespace

common::Duration ClampWait(std::chrono::microseconds wait) {
  constexpr std::chrono::microseconds kMaxWait = std::chrono::seconds(10);
  return std::clamp(wait, std::chrono::microseconds(0), kMaxWait);
}

PermitDecision RequestPermit(PermitDesk& desk, common::TimePoint now,
                             common::Incarnation gateway,
                             const common::UpstreamName& upstream,
                             common::Duration max_wait) {
  desk.askers[gateway] = now;
  const auto limit = LimitOf(desk.limits, upstream);
  if (!limit) {
    desk.pacers.erase(upstream);
    return {.granted = true};
  }
  const auto [it, added] =
      desk.pacers.try_emplace(upstream, MakePacer(*limit, kDeskPart, now));
  StartPacer& pacer = it->second;
  if (!added) SetRate(pacer, *limit, kDeskPart, now);
  const common::Duration wait = WaitFor(pacer, now);
  const bool granted = wait <= max_wait;
  if (granted) TakeStart(pacer, now);
  return {.granted = granted, .wait = wait};
}

protocol::PermitReply AnswerPermitRequest(
    PermitDesk& desk, common::TimePoint now, common::Incarnation gateway,
    const protocol::PermitRequest& request, std::uint32_t gateways) {
  const common::UpstreamName& upstream = request.limit.upstream;
  if (const auto limit = FromRow(request.limit, now)) {
    Record(desk.limits, upstream, *limit);
  }
  const PermitDecision decision =
      RequestPermit(desk, now, gateway, upstream, ClampWait(request.max_wait));
  const auto known = desk.limits.limits.find(upstream);
  return {.number = request.number,
          .granted = decision.granted,
          .wait = common::ToMicroseconds(decision.wait),
          .limit = known == desk.limits.limits.end()
                       ? request.limit
                       : ToRow(upstream, known->second, now),
          .gateways = gateways};
}

void Expire(PermitDesk& desk, common::TimePoint now) {
  Expire(desk.limits, now, kMemory);
  std::erase_if(desk.pacers, [&](const auto& it) {
    return !LimitOf(desk.limits, it.first);
  });
  std::erase_if(desk.askers,
                [now](const auto& it) { return now - it.second > kMemory; });
}

}  // namespace shallotbeam::pacing
