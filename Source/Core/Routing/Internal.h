#ifndef SHALLOTBEAM_CORE_ROUTING_INTERNAL_H_
#define SHALLOTBEAM_CORE_ROUTING_INTERNAL_H_

#include <string_view>
#include <utility>

#include "Routing/Router.h"

// Functions shared by the event handlers of the router; not part of the
// interface for embedders.
namespace shallotbeam::routing::internal {

struct Context {
  RouterState& state;
  common::TimePoint now;
  RouterActions& actions;

  template <typename Action>
  void Emit(Action action) {
    actions.emplace_back(std::move(action));
  }
};

// Arrivals.cpp
void OnArrival(Context& context, const RequestArrived& event);
void OnTicketRequest(Context& context, const TicketRequested& event);
void OnBindingRead(Context& context, const BindingRead& event);

// Records the highest store revision seen. Revisions increase across all keys
// of the store.
void RecordStoreRevision(RouterState& state, std::uint64_t revision);

// Dispatching.cpp: queues requests and dispatches them to agents.

// Dispatches at once if an agent has a free slot, otherwise queues the request.
void DispatchOrEnqueue(Context& context, Request& request);
void Enqueue(Context& context, Request& request);
// Dispatches the request again after an exponential backoff.
void Delay(Context& context, Request& request);
void Redispatch(Context& context, Request& request);
// Refuses the queued requests of pools that no agent has served for
// `no_upstream_grace`.
void RefuseQueuedWithoutUpstream(Context& context);
// Dispatches queued requests to known free slots. Workspaces with the smallest
// virtual time come first.
void DispatchQueued(Context& context);
// Removes the request from the queue, if it is queued.
void Dequeue(Context& context, const Request& request);
void DispatchToOwner(Context& context, Request& request);
void OnBindingWritten(Context& context, const BindingWritten& event);
void ReturnGrant(Context& context, Request& request);
void OnGrant(Context& context, const common::ProcessName& agent,
             const protocol::Grant& grant);

// Outcomes.cpp: handles the ends of attempts and requests.
void OnDispatchEnded(Context& context, const DispatchEnded& event);
void OnResponseStarted(Context& context, const ResponseStarted& event);
void OnCallerDisconnected(Context& context, const CallerDisconnected& event);
// Handles the loss of an attempt that was in flight at a dead or restarted
// agent.
void OnOrphaned(Context& context, common::RequestId id);
// Ends a request in any phase because of its deadline or a drain.
void CancelRequest(Context& context, Request& request, common::Reason reason);
void OnTimer(Context& context, Request& request);

// Confirming.cpp: sends final answers.

// Refuses the request. If the request has a key, first confirms that the key
// did not run.
void ConfirmAndRefuse(Context& context, Request& request,
                      common::Refusal refusal);
// Refuses the request without a confirmation and removes it.
void Refuse(Context& context, Request& request, common::Refusal refusal);
bool IsConfirming(const Request& request);
void OnRevokeReply(Context& context, const protocol::Envelope& envelope,
                   const protocol::RevokeReply& reply);
void OnTombstoneWritten(Context& context, Request& request,
                        const BindingWritten& event);

// Timers.cpp: every request has exactly one timer.
void ArmTimer(Context& context, Request& request, common::TimePoint at);
void EraseRequest(Context& context, common::RequestId id);
void FireTimers(Context& context);

// Control.cpp
void OnMessage(Context& context, const protocol::Envelope& envelope);
void OnConfig(Context& context, const config::FleetConfig& config);
void OnTick(Context& context);
// Sends the demand of the queues that changed, at most once per
// `demand_interval`.
void SendDemand(Context& context);

void Log(Context& context, const Request& request, std::string_view decision,
         std::string_view cause, std::string inputs = {});
// Whether the agent is alive and still the incarnation that the request is
// bound to.
bool IsReachable(const Context& context, const Owner& owner);
std::string NextBinding(Request& request, Binding binding);
// Returns `estimate` with jitter, bounded to at least 100 ms and at most
// `max_retry_after` before the jitter is applied.
common::Duration RetryAfter(Context& context, common::Duration estimate);

}  // namespace shallotbeam::routing::internal

#endif  // SHALLOTBEAM_CORE_ROUTING_INTERNAL_H_
