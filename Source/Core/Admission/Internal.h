#ifndef SHALLOTBEAM_CORE_ADMISSION_INTERNAL_H_
#define SHALLOTBEAM_CORE_ADMISSION_INTERNAL_H_

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
// Rejects an attempt that was not begun and bars its key.
void RejectNotRun(Context& context, const Attempt& attempt,
                  common::Reason reason);

// Slots.cpp: which workspace gets the next free slot.

// Gives free slots to waiting attempts and to demand of routers.
void FillSlots(Context& context);
void Start(Context& context, Attempt attempt, std::string_view cause);
// Slots that neither run, wait nor are promised.
int FreeSlots(const AgentState& state);
bool HasDemand(const AgentState& state);
common::Cost EstimateCost(const AgentState& state,
                          const common::WorkspaceName& workspace);
void Charge(Context& context, const common::WorkspaceName& workspace,
            common::Cost cost);
void NoteDemand(Context& context, const common::WorkspaceName& workspace);
void ExpireGrants(Context& context);
void OnGrantReturn(Context& context, common::GrantId grant);
void MeasureShareRate(Context& context);

// Upstreams.cpp
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
void SendToRouters(Context& context, const protocol::Body& body);

void Log(Context& context, const Attempt& attempt, std::string_view decision,
         std::string_view cause);

}  // namespace shallotbeam::admission::internal

#endif  // SHALLOTBEAM_CORE_ADMISSION_INTERNAL_H_
