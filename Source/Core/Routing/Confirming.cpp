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
  return TryTake(state.confirmations, rate, rate, context.now);
}

void WriteTombstone(Context& context, Request& request) {
  request.phase = Phase::kWritingTombstone;
  context.Do(WriteBinding{.id = request.id,
                          .store_key = request.store_key,
                          .expected_revision = request.binding_revision,
                          .value = NextBinding(request, {.tombstone = true})});
}

// A ticket is barred by its agent. A caller's own key is barred there first and
// then in the store: the agent's bar alone would let another router that was
// refused by the agent too bind the key anew.
void Confirm(Context& context, Request& request, const Refusal& refusal) {
  request.pending = refusal;
  Arm(context, request, context.now + context.state.options.confirm_timeout);
  if (!request.owner) return WriteTombstone(context, request);
  request.phase = Phase::kRevoking;
  context.Do(SendMessage{
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

void GiveUp(Context& context, Request& request, Refusal refusal) {
  Dequeue(context, request);
  const bool needs_proof =
      !request.idempotent && refusal.verdict == Verdict::kNotRun;
  if (!needs_proof) return Refuse(context, request, refusal);
  if (MayConfirm(context, request)) return Confirm(context, request, refusal);
  refusal.verdict = Verdict::kMayHaveRun;
  Refuse(context, request, refusal);
}

void Refuse(Context& context, Request& request, Refusal refusal) {
  // A key's verdict is confirmed; without a key every attempt counts.
  if (request.idempotent && request.may_have_run) {
    refusal.verdict = Verdict::kMayHaveRun;
  }
  Log(context, request, "refuse", common::ToString(refusal.reason));
  context.Do(RefuseRequest{.id = request.id, .refusal = refusal});
  Forget(context, request.id);
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
  if (!reply.begun && !IsTicket(request)) {
    return WriteTombstone(context, request);
  }
  Refusal refusal = request.pending;
  if (reply.begun) refusal.verdict = Verdict::kMayHaveRun;
  Refuse(context, request, refusal);
}

void OnTombstoneWritten(Context& context, Request& request,
                        const BindingWritten& event) {
  const auto binding = ParseBinding(event.value);
  const bool older_tombstone = event.outcome == StoreOutcome::kConflict &&
                               binding && binding->tombstone &&
                               event.revision > request.binding_revision;
  const double rate = context.state.options.confirmations_per_second;
  if (older_tombstone &&
      TryTake(context.state.confirmations, rate, rate, context.now)) {
    // An attempt that read the other tombstone could still bind over it.
    request.binding_revision = event.revision;
    request.binding_epoch = binding->epoch;
    return WriteTombstone(context, request);
  }
  Refusal refusal = request.pending;
  if (event.outcome != StoreOutcome::kOk) {
    refusal.verdict = Verdict::kMayHaveRun;
  }
  Refuse(context, request, refusal);
}

}  // namespace shallotbeam::routing::internal
