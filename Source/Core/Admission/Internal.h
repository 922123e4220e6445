#ifndef SHALLOTBEAM_CORE_ADMISSION_INTERNAL_H_
#define SHALLOTBEAM_CORE_ADMISSION_INTERNAL_H_

#include <list>
#include <optional>
#include <string_view>
#include <utility>

#include "Admission/Agent.h"

// Functions shared by the event handlers of the agent; not part of the public
// interface.
namespace shallotbeam::admission::internal {

struct Context {
  AgentState& state;
  common::TimePoint now;
  AgentActions& actions;

  template <typename Action>
  void Emit(Action action) {
    actions.emplace_back(std::move(action));
  }
};

// Offers.cpp
void OnOffer(Context& context, const RequestOffered& event);
void OnWithdrawn(Context& context, const OfferWithdrawn& event);
void OnRevoke(Context& context, const common::ProcessName& router,
              const protocol::Revoke& revoke);
// Returns the reason why the request may not run on this agent now, if any.
std::optional<common::Reason> CheckOffer(const Context& context,
                                         const Attempt& attempt);
// Rejects all queued attempts.
void RejectAllWaiting(Context& context, common::Reason reason);
// Rejects an attempt that was not started and revokes its key (see KeyTable.h).
void RejectNotRun(Context& context, const Attempt& attempt,
                  common::Reason reason);

using WaitingIterator = std::list<Attempt>::iterator;

// Backlog.cpp: requests that wait at this agent and at the routers.
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
void RecordCost(AgentState& state, const Attempt& attempt, common::Cost cost);
void Charge(Context& context, const common::WorkspaceName& workspace,
            common::Cost cost);
// Raises the system virtual time of the pool, which never decreases. As in
// start-time fair queueing, it is the start tag of the request that entered
// service last.
void RaiseSystemVirtualTime(AgentState& state, double virtual_time);
// Raises the virtual time offset of a workspace that was idle, so that its
// virtual time is at least the system virtual time. The workspace then has no
// credit from its idle time, and the others are not penalised for the service
// that they received without competition.
void RaiseVirtualTimeIfIdle(Context& context,
                            const common::WorkspaceName& name);
void MeasureServiceRate(Context& context);
void OnShares(Context& context, const protocol::Shares& shares);
// Estimates the virtual time that the other agents have added to a workspace
// since the last exchange, from the charges of this agent. Without this
// estimate, all agents keep choosing the same workspace until they learn of
// each other's charges.
double ExpectedVirtualTimeOfOthers(const AgentState& state,
                                   const WorkspaceBacklog& backlog,
                                   common::TimePoint now);
// Records the cost so far of a running request, as an estimate for its
// workspace and kind until one of their requests has completed.
void RecordPartialCost(AgentState& state, const Attempt& attempt,
                       common::Cost cost);
// Service that one share (weight 1) receives in `period` at the measured rate.
double ServicePerWeight(const AgentState& state, common::Duration period);

// Slots.cpp: which workspace gets the next free slot.

// Assigns free slots to queued attempts and, by grants, to requests that wait
// at routers.
void FillSlots(Context& context);
void Start(Context& context, Attempt attempt, std::string_view cause);
// Slots without a running request, a queued request with a grant, an
// outstanding grant or a back-off. Negative if more are committed than the
// limit.
int FreeSlots(const AgentState& state);
// Whether a request that holds a grant may start.
bool MayStartGranted(const AgentState& state);
void ExpireGrants(Context& context);
void OnGrantReturn(Context& context, const common::ProcessName& router,
                   common::GrantId grant);
// Releases the grants of one router, or all grants if `router` is empty.
void ReleaseGrants(Context& context, const common::ProcessName& router);

// Upstreams.cpp
void OnResponded(Context& context, const UpstreamResponded& event);
// Cancels a running attempt whose caller has disconnected.
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
// Whether the configuration has the pool of this agent.
bool IsConfigured(const AgentState& state);
// Whether the agent is draining or the host list names it as leaving.
bool IsLeaving(const AgentState& state);
// Whether a router was heard from recently. Otherwise this agent can't know
// whether the host list names it as leaving.
bool HasRouterContact(const AgentState& state);
void SendToRouters(Context& context, const protocol::Body& body);

void Log(Context& context, const Attempt& attempt, std::string_view decision,
         std::string_view cause);

}  // namespace shallotbeam::admission::internal

#endif  // SHALLOTBEAM_CORE_ADMISSION_INTERNAL_H_
