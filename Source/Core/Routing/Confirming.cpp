#include "Routing/Internal.h"

namespace shallotbeam::routing::internal {

namespace {

using common::Refusal;
using common::Verdict;

bool IsTicket(const Request& request) { return request.store_key.empty(); }

bool MayConfirm(Context& context, const Request& request) {
  if (request.owner && !IsReachable(context, *request.owner)) return false;
  if (IsTicket(request)) return true;
  RouterState& state = context.state;
  const double rate = state.options.confirmations_per_second;
  return TryTake(state.confirmation_budget, rate, rate, context.now);
}

void WriteTombstone(Context& context, Request& request) {
  request.phase = Phase::kWritingTombstone;
  context.Emit(
      WriteBinding{.id = request.id,
                   .store_key = request.store_key,
                   .expected_revision = request.binding_revision,
                   .value = NextBinding(request, {.tombstone = true})});
}

// Confirms that a key did not run. An agent that has revoked a key refuses all
// attempts with the key up to the given binding revision. Revoking the key at
// its agent is enough for a ticket. A caller's own key is first revoked at the
// agent and then replaced by a tombstone in the store: without the tombstone,
// another router that the agent also refused could bind the key to another
// agent.
void Confirm(Context& context, Request& request, const Refusal& refusal) {
  request.pending_refusal = refusal;
  ArmTimer(context, request,
           context.now + context.state.options.confirm_timeout);
  if (!request.owner) return WriteTombstone(context, request);
  request.phase = Phase::kRevoking;
  context.Emit(SendMessage{
      .to = request.owner->agent,
      .body = protocol::Revoke{.request = request.id,
                               .bound_to = request.owner->incarnation,
                               .workspace = request.workspace,
                               .key = request.key,
                               .binding_revision = request.binding_revision}});
}

}  // namespace

bool IsConfirming(const Request& request) {
  return request.phase == Phase::kRevoking ||
         request.phase == Phase::kWritingTombstone;
}

void ConfirmAndRefuse(Context& context, Request& request, Refusal refusal) {
  Dequeue(context, request);
  const bool needs_confirmation =
      !request.idempotent && refusal.verdict == Verdict::kNotRun;
  if (!needs_confirmation) return Refuse(context, request, refusal);
  if (MayConfirm(context, request)) return Confirm(context, request, refusal);
  refusal.verdict = Verdict::kMayHaveRun;
  Refuse(context, request, refusal);
}

void Refuse(Context& context, Request& request, Refusal refusal) {
  // For a request with a key the verdict has been confirmed. For one without a
  // key, any earlier attempt may have run.
  if (request.idempotent && request.may_have_run) {
    refusal.verdict = Verdict::kMayHaveRun;
  }
  Log(context, request, "refuse", common::ToString(refusal.reason));
  context.Emit(RefuseRequest{.id = request.id, .refusal = refusal});
  EraseRequest(context, request.id);
}

void OnRevokeReply(Context& context, const protocol::Envelope& envelope,
                   const protocol::RevokeReply& reply) {
  const auto it = context.state.requests.find(reply.request);
  if (it == context.state.requests.end()) return;
  Request& request = it->second;
  if (request.phase != Phase::kRevoking) return;
  const Owner sender{.agent = envelope.sender,
                     .incarnation = envelope.incarnation};
  if (sender != *request.owner) return;
  if (!reply.started && !IsTicket(request)) {
    return WriteTombstone(context, request);
  }
  Refusal refusal = request.pending_refusal;
  if (reply.started) refusal.verdict = Verdict::kMayHaveRun;
  Refuse(context, request, refusal);
}

void OnTombstoneWritten(Context& context, Request& request,
                        const BindingWritten& event) {
  const auto binding = ParseBinding(event.value);
  const bool other_tombstone = event.outcome == StoreOutcome::kConflict &&
                               binding && binding->tombstone &&
                               event.revision > request.binding_revision;
  const double rate = context.state.options.confirmations_per_second;
  if (other_tombstone &&
      TryTake(context.state.confirmation_budget, rate, rate, context.now)) {
    // Another request wrote a tombstone first. An attempt that has read that
    // tombstone could still replace it by a binding, so this request writes a
    // newer tombstone over it.
    request.binding_revision = event.revision;
    request.binding_epoch = binding->epoch;
    return WriteTombstone(context, request);
  }
  Refusal refusal = request.pending_refusal;
  if (event.outcome != StoreOutcome::kOk) {
    refusal.verdict = Verdict::kMayHaveRun;
  }
  Refuse(context, request, refusal);
}

}  // namespace shallotbeam::routing::internal
