#include "Routing/Internal.h"

namespace shallotbeam::routing::internal {

namespace {

using common::Reason;
using common::Refusal;
using common::Verdict;

Request* Find(Context& context, common::RequestId id) {
  const auto it = context.state.requests.find(id);
  return it == context.state.requests.end() ? nullptr : &it->second;
}

// Reasons for which an agent never began the request and another one may.
bool IsPassedOn(Reason reason) {
  return reason == Reason::kBusy || reason == Reason::kDraining ||
         reason == Reason::kNoConfiguration ||
         reason == Reason::kSuspectIsolated || reason == Reason::kBarred;
}

bool MayRetry(Context& context, Request& request) {
  const RetryOptions& options = context.state.options.retries;
  if (request.response_started || request.retries >= options.max_retries) {
    return false;
  }
  if (context.now >= request.deadline) return false;
  RetryBudget& budget = context.state.retry_budgets[request.pool];
  if (!TryRetry(budget, options, context.now)) return false;
  ++request.retries;
  return true;
}

// The agent vouches that the key did not run and bars it at our revision.
void PlaceAgain(Context& context, Request& request) {
  const bool ticket = !request.idempotent && request.store_key.empty();
  if (ticket) {
    return Refuse(context, request,
                  {.verdict = Verdict::kNotRun, .reason = Reason::kBarred});
  }
  request.owner.reset();
  Log(context, request, "requeue", "not_begun");
  Enqueue(context, request);
}

void OnRefused(Context& context, Request& request, const Refusal& refusal) {
  if (refusal.reason == Reason::kBusy) {
    NoteBusy(context.state.agents, request.agent);
  }
  if (refusal.verdict == Verdict::kNotRun) {
    if (IsPassedOn(refusal.reason)) return PlaceAgain(context, request);
    if (MayRetry(context, request)) return PlaceAgain(context, request);
    return Refuse(context, request, refusal);
  }
  request.may_have_run = true;
  if (request.idempotent && MayRetry(context, request)) {
    Log(context, request, "requeue", "retry");
    return Enqueue(context, request);
  }
  Refuse(context, request, refusal);
}

// No complete answer: the connection failed or broke, or the agent is silent.
void OnNoAnswer(Context& context, Request& request, bool was_sent) {
  const Refusal lost{.verdict = Verdict::kMayHaveRun,
                     .reason = Reason::kConnectionLost};
  if (request.response_started) {
    context.Do(TruncateResponse{.id = request.id, .refusal = lost});
    return Forget(context, request.id);
  }
  if (was_sent) request.may_have_run = true;
  if (request.idempotent) {
    if (!was_sent || MayRetry(context, request)) {
      NoteBusy(context.state.agents, request.agent);
      Log(context, request, "requeue", was_sent ? "retry" : "not_sent");
      return Enqueue(context, request);
    }
    return Refuse(context, request, lost);
  }
  // The owner runs it, waits for the run in progress, or replays the result.
  if (MayRetry(context, request)) return DispatchToOwner(context, request);
  GiveUp(context, request,
         {.verdict = Verdict::kNotRun, .reason = Reason::kConnectionLost});
}

void Confirm(Context& context, Request& request, const Refusal& refusal) {
  RouterState& state = context.state;
  request.phase = Phase::kConfirming;
  request.pending = refusal;
  request.phase_deadline = context.now + state.options.confirm_timeout;
  state.deadlines.emplace(request.phase_deadline, request.id);
  if (request.owner) {
    return context.Do(SendMessage{
        .to = request.owner->agent,
        .body =
            protocol::Revoke{.request = request.id,
                             .bound_to = request.owner->incarnation,
                             .workspace = request.workspace,
                             .key = request.key,
                             .binding_revision = request.binding_revision}});
  }
  const Binding tombstone{.tombstone = true, .written_by = request.id};
  context.Do(WriteBinding{.id = request.id,
                          .store_key = request.store_key,
                          .expected_revision = request.binding_revision,
                          .value = FormatBinding(tombstone)});
}

bool MayConfirm(Context& context, const Request& request) {
  RouterState& state = context.state;
  if (request.owner) {
    const auto it = state.agents.agents.find(request.owner->agent);
    return it != state.agents.agents.end() && it->second.alive &&
           it->second.incarnation == request.owner->incarnation;
  }
  const double rate = state.options.confirmations_per_second;
  return TryTake(state.confirmations, rate, rate, context.now);
}

void ExpireRequest(Context& context, Request& request) {
  if (request.phase == Phase::kConfirming) {
    if (context.now < request.phase_deadline) return;
    Refusal refusal = request.pending;
    refusal.verdict = Verdict::kMayHaveRun;
    return Refuse(context, request, refusal);
  }
  const Refusal expired{.verdict = Verdict::kMayHaveRun,
                        .reason = Reason::kDeadlineExceeded};
  if (request.phase == Phase::kDispatched) {
    context.Do(CancelDispatch{.id = request.id, .attempt = request.attempt});
    NoteEnded(context.state.agents, request.agent, request.id);
    if (request.response_started) {
      context.Do(TruncateResponse{.id = request.id, .refusal = expired});
      return Forget(context, request.id);
    }
    if (request.idempotent) return Refuse(context, request, expired);
  }
  Dequeue(context, request);
  // A write of the binding may still take effect, so nothing is confirmed.
  if (request.phase == Phase::kWritingBinding) {
    return Refuse(context, request, expired);
  }
  GiveUp(context, request,
         {.verdict = Verdict::kNotRun, .reason = Reason::kDeadlineExceeded});
}

}  // namespace

void OnDispatchEnded(Context& context, const DispatchEnded& event) {
  Request* request = Find(context, event.id);
  const bool current = request != nullptr &&
                       request->phase == Phase::kDispatched &&
                       request->attempt == event.attempt;
  if (!current) return;
  NoteEnded(context.state.agents, request->agent, request->id);
  switch (event.outcome) {
    case DispatchOutcome::kCompleted:
      suspects::NoteCompleted(context.state.suspects, request->fingerprint);
      return Forget(context, event.id);
    case DispatchOutcome::kRefused:
      return OnRefused(context, *request, event.refusal);
    case DispatchOutcome::kNotSent:
      return OnNoAnswer(context, *request, /*was_sent=*/false);
    case DispatchOutcome::kLost:
      return OnNoAnswer(context, *request, /*was_sent=*/true);
  }
}

void OnOrphaned(Context& context, common::RequestId id) {
  Request* request = Find(context, id);
  if (request == nullptr || request->phase != Phase::kDispatched) return;
  context.Do(CancelDispatch{.id = id, .attempt = request->attempt});
  OnNoAnswer(context, *request, /*was_sent=*/true);
}

void OnCallerLeft(Context& context, const CallerLeft& event) {
  Request* request = Find(context, event.id);
  if (request == nullptr) return;
  Dequeue(context, *request);
  if (request->phase == Phase::kDispatched) {
    NoteEnded(context.state.agents, request->agent, request->id);
    context.Do(CancelDispatch{.id = event.id, .attempt = request->attempt});
  }
  Log(context, *request, "drop", "caller_left");
  Forget(context, event.id);
}

void OnRevokeReply(Context& context, const protocol::RevokeReply& reply) {
  Request* request = Find(context, reply.request);
  if (request == nullptr || request->phase != Phase::kConfirming) return;
  Refusal refusal = request->pending;
  if (reply.begun) refusal.verdict = Verdict::kMayHaveRun;
  Refuse(context, *request, refusal);
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
  if (request.idempotent && request.may_have_run) {
    refusal.verdict = Verdict::kMayHaveRun;
  }
  Log(context, request, "refuse", common::ToString(refusal.reason));
  context.Do(RefuseRequest{.id = request.id, .refusal = refusal});
  Forget(context, request.id);
}

void Forget(Context& context, common::RequestId id) {
  RouterState& state = context.state;
  const auto it = state.requests.find(id);
  if (it == state.requests.end()) return;
  state.deadlines.erase({it->second.deadline, id});
  state.deadlines.erase({it->second.phase_deadline, id});
  state.requests.erase(it);
}

void ExpireRequests(Context& context) {
  auto& deadlines = context.state.deadlines;
  while (!deadlines.empty() && deadlines.begin()->first <= context.now) {
    const common::RequestId id = deadlines.begin()->second;
    deadlines.erase(deadlines.begin());
    if (Request* request = Find(context, id)) ExpireRequest(context, *request);
  }
}

}  // namespace shallotbeam::routing::internal
