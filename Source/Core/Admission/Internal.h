#ifndef SHALLOTBEAM_CORE_ADMISSION_INTERNAL_H_
#define SHALLOTBEAM_CORE_ADMISSION_INTERNAL_H_

#include <list>
#include <optional>
#include <string_view>
#include <utility>

#include "Admission/Agent.h"

// Shared by the event handlers of the agent; not for embedders.
namespace shallotbeam::admission::internal {

struct Context {
  AgentState& state;
  common::TimePoint now;
  AgentActions& actions;

  template <typename Action>
  void Do(Action action) {
    actions.emplace_back(std::move(action));
  }
};

// Offers.cpp
void OnOffer(Context& context, const RequestOffered& event);
void OnWithdrawn(Context& context, const OfferWithdrawn& event);
void OnRevoke(Context& context, const common::ProcessName& router,
              const protocol::Revoke& revoke);
// Reason not to run a request here and now.
std::optional<common::Reason> CheckOffer(const Context& context,
                                         const Attempt& attempt);
// Rejects everything that waits here.
void ReturnWaiting(Context& context, common::Reason reason);
// Rejects an attempt that was not begun and bars its key.
void RejectNotRun(Context& context, const Attempt& attempt,
                  common::Reason reason);

using WaitingIterator = std::list<Attempt>::iterator;

// Backlog.cpp: what waits, here and at the routers.
void AddWaiting(Context& context, Attempt attempt);
Attempt TakeWaiting(Context& context, WaitingIterator it);
void SetDemand(Context& context, const common::ProcessName& router,
               RouterPeer& peer, const common::WorkspaceName& workspace,
               const RouterDemand& demand);
void ClearDemand(Context& context, const common::ProcessName& router,
                 RouterPeer& peer);
bool HasDemand(const AgentState& state);

// Shares.cpp: charges and virtual times.
double WeightOf(const AgentState& state, const fairness::ShareKey& key);
common::Cost EstimateCost(const AgentState& state,
                          const common::WorkspaceName& workspace,
                          const common::KindName& kind);
void NoteCost(AgentState& state, const Attempt& attempt, common::Cost cost);
void Charge(Context& context, const common::WorkspaceName& workspace,
            common::Cost cost);
// The system virtual time of the pool only grows. It is the start tag of the
// request last taken into service, as in start-time fair queueing.
void RaiseSystemTime(AgentState& state, double level);
// Lifts a workspace that was idle to the system virtual time, so that it keeps
// no credit from a pause and uncontended service is not held against others.
void StartLevel(Context& context, const common::WorkspaceName& name);
void MeasureShareRate(Context& context);
void OnShares(Context& context, const protocol::Shares& shares);
// Virtual time that the other agents have probably added to a workspace since
// the last exchange, judged by what this agent charged. Without it all agents
// choose the same workspace again and again until they hear of each other.
double ExpectedOfOthers(const AgentState& state,
                        const WorkspaceBacklog& backlog, common::TimePoint now);
// Raises the estimate of a kind whose running request has passed it.
void NoteCostSoFar(AgentState& state, const Attempt& attempt,
                   common::Cost cost);
// What one share (weight 1) earns in `period`, by the measured rate.
double ShareOver(const AgentState& state, common::Duration period);

// Slots.cpp: which workspace gets the next free slot.

// Gives free slots to waiting attempts and to demand of routers.
void FillSlots(Context& context);
void Start(Context& context, Attempt attempt, std::string_view cause);
// Slots that neither run, wait nor are promised.
int FreeSlots(const AgentState& state);
// Whether a request that holds a grant may start.
bool MayStartGranted(const AgentState& state);
void ExpireGrants(Context& context);
void OnGrantReturn(Context& context, const common::ProcessName& router,
                   common::GrantId grant);
// Takes back the grants of one router, or all if `router` is empty.
void DropGrants(Context& context, const common::ProcessName& router);

// Upstreams.cpp
void OnResponded(Context& context, const UpstreamResponded& event);
// Ends a running attempt whose caller has gone.
void CancelRunning(Context& context, const AttemptId& id);
void OnProgress(Context& context, const UpstreamProgressed& event);
void OnUpstreamEnded(Context& context, const UpstreamEnded& event);
void OnProbed(Context& context, const UpstreamProbed& event);
void ExpireAttempts(Context& context);
void ProbeIfDown(Context& context);

// Control.cpp
void OnMessage(Context& context, const protocol::Envelope& envelope);
void OnConfig(Context& context, const config::FleetConfig& config);
void OnTick(Context& context);
void OnDrain(Context& context);
void SendHeartbeats(Context& context);
// Drains, or is listed as leaving.
bool IsLeaving(const AgentState& state);
// Whether a router was heard of lately, which would know of a leaving agent.
bool HearsRouters(const AgentState& state);
void SendToRouters(Context& context, const protocol::Body& body);

void Log(Context& context, const Attempt& attempt, std::string_view decision,
         std::string_view cause);

}  // namespace shallotbeam::admission::internal

#endif  // SHALLOTBEAM_CORE_ADMISSION_INTERNAL_H_
