#ifndef SHALLOTBEAM_CORE_PACING_PERMITDESK_H_
#define SHALLOTBEAM_CORE_PACING_PERMITDESK_H_

#include <unordered_map>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Pacing/StartPacer.h"
#include "Pacing/StatedLimits.h"

// Hands out the starts at upstreams that state a limit and have no scheduler
// beside them. Each such upstream has two desks, which hand out half each and
// need not know of each other.
namespace shallotbeam::pacing {

// A process that has run for this long has heard from all gateways that need
// it.
inline constexpr common::Duration kGatewaysHeardTime = std::chrono::seconds(3);

struct PermitDesk {
  LimitTable limits;
  std::unordered_map<common::UpstreamName, StartPacer> pacers;
  // Gateways that asked recently.
  std::unordered_map<common::Incarnation, common::TimePoint> askers;
};

struct PermitDecision {
  bool granted = false;
  // Until the start, if granted; else until one may be granted at once.
  common::Duration wait{0};
};

// Limits a wait that another process has sent to what makes sense.
common::Duration ClampWait(std::chrono::microseconds wait);

// Decides whether a gateway may start a request at the upstream, at the latest
// after `max_wait`.
PermitDecision RequestPermit(PermitDesk& desk, common::TimePoint now,
                             common::Incarnation gateway,
                             const common::UpstreamName& upstream,
                             common::Duration max_wait);

// Merges the limit that the gateway knows and replies to its request.
// `gateways` is the number of gateways that this process hears from.
protocol::PermitReply AnswerPermitRequest(
    PermitDesk& desk, common::TimePoint now, common::Incarnation gateway,
    const protocol::PermitRequest& request, std::uint32_t gateways);

// Forgets what is no longer needed; called from time to time.
void Expire(PermitDesk& desk, common::TimePoint now);

}  // namespace shallotbeam::pacing

#endif  // SHALLOTBEAM_CORE_PACING_PERMITDESK_H_
