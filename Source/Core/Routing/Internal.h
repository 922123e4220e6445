#ifndef SHALLOTBEAM_CORE_ROUTING_INTERNAL_H_
#define SHALLOTBEAM_CORE_ROUTING_INTERNAL_H_

#include <string_view>
#include <utility>

#include "Routing/Router.h"

// Shared by the event handlers of the router; not for embedders.
namespace shallotbeam::routing::internal {

struct Context {
  RouterState& state;
  common::TimePoint now;
  RouterActions& actions;

  template <typename Action>
  void Do(Action action) {
    actions.emplace_back(std::move(action));
  }
};

// Arrivals.cpp
void OnArrival(Context& context, const RequestArrived& event);
void OnTicketRequest(Context& context, const TicketRequested& event);
void OnBindingRead(Context& context, const BindingRead& event);

// Revisions grow over all keys of the store.
void NoteStoreRevision(RouterState& state, std::uint64_t revision);

// Dispatching.cpp: moves a request towards an agent.

// Dispatches at once if an agent has a free slot, else queues.
void Place(Context& context, Request& request);
void Enqueue(Context& context, Request& request);
// Places the request again after a pause.
void Delay(Context& context, Request& request);
void Resume(Context& context, Request& request);
// Gives up the requests of pools that no agent serves for too long.
void RefuseStranded(Context& context);
// Sends queued requests to known free slots, workspaces with the smallest
// virtual time first.
void DispatchQueued(Context& context);
// Takes the request out of the queue, if it is queued.
void Dequeue(Context& context, const Request& request);
void DispatchToOwner(Context& context, Request& request);
void OnBindingWritten(Context& context, const BindingWritten& event);
void ReturnGrant(Context& context, Request& request);
void OnGrant(Context& context, const common::ProcessName& agent,
             const protocol::Grant& grant);

// Outcomes.cpp: ends attempts and requests.
void OnDispatchEnded(Context& context, const DispatchEnded& event);
void OnResponseStarted(Context& context, const ResponseStarted& event);
void OnCallerLeft(Context& context, const CallerLeft& event);
// The attempt in flight at a dead or restarted agent got no answer.
void OnOrphaned(Context& context, common::RequestId id);
// Ends the request in any phase for a reason of the router's own.
void Abandon(Context& context, Request& request, common::Reason reason);
void OnTimer(Context& context, Request& request);

// Confirming.cpp: final answers.

// Ends the request. For a keyed request "not run" is confirmed first.
void GiveUp(Context& context, Request& request, common::Refusal refusal);
// Answers without a confirmation and forgets the request.
void Refuse(Context& context, Request& request, common::Refusal refusal);
bool IsConfirming(const Request& request);
void OnRevokeReply(Context& context, const protocol::Envelope& envelope,
                   const protocol::RevokeReply& reply);
void OnTombstoneWritten(Context& context, Request& request,
                        const BindingWritten& event);

// Timers.cpp: every request has exactly one timer.
void Arm(Context& context, Request& request, common::TimePoint at);
void Forget(Context& context, common::RequestId id);
void FireTimers(Context& context);

// Control.cpp
void OnMessage(Context& context, const protocol::Envelope& envelope);
void OnConfig(Context& context, const config::FleetConfig& config);
void OnTick(Context& context);
// Reports the queues that changed, at most once per `demand_interval`.
void SendDemand(Context& context);

void Log(Context& context, const Request& request, std::string_view decision,
         std::string_view cause, std::string inputs = {});
// The agent runs and is the incarnation that the request is bound to.
bool IsReachable(const Context& context, const Owner& owner);
std::string NextBinding(Request& request, Binding binding);
// `estimate` with jitter, from 100 ms to `max_retry_after`.
common::Duration RetryAfter(Context& context, common::Duration estimate);

}  // namespace shallotbeam::routing::internal

#endif  // SHALLOTBEAM_CORE_ROUTING_INTERNAL_H_
