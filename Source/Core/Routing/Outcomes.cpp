#include "Routing/Internal.h"

namespace shallotbeam::routing::internal {

namespace {

using common::Reason;
using common::Refusal;
using common::Verdict;

// A request is not retried after this number of crashes, even if it is not
// proven that the request caused them.
constexpr int kMaxCrashes = 2;

Request* Find(Context& context, common::RequestId id) {
  const auto it = context.state.requests.find(id);
  return it == context.state.requests.end() ? nullptr : &it->second;
}

// Whether the agent did not start the request and another agent may run it.
bool CanRunElsewhere(Reason reason) {
  return reason == Reason::kBusy || reason == Reason::kDraining ||
         reason == Reason::kNoConfiguration ||
         reason == Reason::kSuspectIsolated || reason == Reason::kKeyRevoked;
}

// Whether the agent could not read the request, so that it did not look up the
// key in its key table.
bool IsOfferUnread(Reason reason) {
  return reason == Reason::kNone || reason == Reason::kBadRequest ||
         reason == Reason::kBodyTooLarge;
}

// Whether another attempt may have a different outcome.
bool IsRetryable(Reason reason) {
  return !IsOfferUnread(reason) && reason != Reason::kCrashesUpstreams &&
         reason != Reason::kDeadlineExceeded;
}

bool MayRetry(Context& context, Request& request) {
  const common::RetryOptions& options = context.state.options.retries;
  if (request.response_started || request.retries >= options.max_retries) {
    return false;
  }
  if (context.now >= request.deadline) return false;
  common::RetryBudget& budget = context.state.retry_budgets[request.pool];
  if (!TryRetry(budget, options, context.now)) return false;
  ++request.retries;
  return true;
}

// A refusal tells the agent's state earlier than its next heartbeat.
void RecordRefusal(Context& context, const Request& request, Reason reason) {
  AgentTable& agents = context.state.agents;
  switch (reason) {
    case Reason::kBusy:
      return RecordBusy(agents, request.agent);
    case Reason::kDraining:
      return RecordState(agents, request.agent,
                         protocol::AgentState::kDraining);
    case Reason::kNoConfiguration:
      return RecordState(agents, request.agent,
                         protocol::AgentState::kNoConfiguration);
    default:
      return;
  }
}

// Queues the request again. The agent guarantees that the key did not run and
// revokes the key, that is, refuses all attempts up to the binding revision of
// this attempt. The key may therefore be bound again; the new binding replaces
// the one with that revision.
void Requeue(Context& context, Request& request, Reason reason) {
  request.owner.reset();
  Log(context, request, "requeue", common::ToString(reason));
  request.known_suspect =
      request.known_suspect || reason == Reason::kSuspectIsolated;
  // Only one agent runs a suspect, and it has no room for the suspect now.
  if (request.known_suspect || request.suspect) return Delay(context, request);
  Enqueue(context, request);
}

void Truncate(Context& context, const Request& request,
              const Refusal& refusal) {
  context.Emit(TruncateResponse{.id = request.id, .refusal = refusal});
  EraseRequest(context, request.id);
}

void OnNotRun(Context& context, Request& request, const Refusal& refusal) {
  const bool ticket = !request.idempotent && request.store_key.empty();
  if (ticket && !IsOfferUnread(refusal.reason)) {
    // The ticket is revoked permanently: the caller needs a new one.
    const Reason reason =
        CanRunElsewhere(refusal.reason) ? Reason::kKeyRevoked : refusal.reason;
    return Refuse(context, request,
                  {.verdict = Verdict::kNotRun, .reason = reason});
  }
  const bool again =
      CanRunElsewhere(refusal.reason) ||
      (IsRetryable(refusal.reason) && MayRetry(context, request));
  if (again) return Requeue(context, request, refusal.reason);
  // Another attempt with this key may hold the same binding and replace it by a
  // new one, so the agent's refusal alone does not prove that a caller's own
  // key will not run.
  ConfirmAndRefuse(context, request, refusal);
}

void OnRefused(Context& context, Request& request, const Refusal& refusal) {
  RecordRefusal(context, request, refusal.reason);
  if (request.response_started) return Truncate(context, request, refusal);
  if (refusal.verdict == Verdict::kNotRun) {
    return OnNotRun(context, request, refusal);
  }
  request.may_have_run = true;
  if (refusal.reason == Reason::kUpstreamCrashed) {
    // The agent's report of the crash may arrive later than its answer, or get
    // lost.
    ++request.crashes;
    request.crashed_agents.insert(request.agent);
    request.known_suspect = true;
  }
  const bool retry = request.idempotent && request.crashes < kMaxCrashes &&
                     IsRetryable(refusal.reason) && MayRetry(context, request);
  if (!retry) return Refuse(context, request, refusal);
  request.failed_agents.insert(request.agent);
  request.last_failure = context.now;
  Log(context, request, "requeue", "retry");
  request.grant = common::GrantId::kNone;
  Redispatch(context, request);
}

// Handles an attempt without a complete response: the connection failed or
// broke, or the agent is silent.
void OnNoAnswer(Context& context, Request& request, bool was_sent) {
  const Refusal lost{.verdict = Verdict::kMayHaveRun,
                     .reason = Reason::kConnectionLost};
  if (request.response_started) return Truncate(context, request, lost);
  request.may_have_run = request.may_have_run || was_sent;
  if (request.idempotent) {
    if (was_sent && !MayRetry(context, request)) {
      return Refuse(context, request, lost);
    }
    Log(context, request, "requeue", was_sent ? "retry" : "not_sent");
    return Enqueue(context, request);
  }
  // The owner runs the request, waits for the run in progress, or replays the
  // result.
  if (MayRetry(context, request)) {
    if (was_sent) return DispatchToOwner(context, request);
    return Delay(context, request);
  }
  ConfirmAndRefuse(
      context, request,
      {.verdict = Verdict::kNotRun, .reason = Reason::kConnectionLost});
}

// Removes a request that is not in flight at an agent and needs no answer.
void Drop(Context& context, Request& request) {
  Dequeue(context, request);
  if (request.phase == Phase::kWritingBinding) ReturnGrant(context, request);
  EraseRequest(context, request.id);
}

void EndAttempt(Context& context, const Request& request) {
  RecordAttemptEnd(context.state.agents, request.agent, request.id,
                   request.suspect);
}

}  // namespace

void OnDispatchEnded(Context& context, const DispatchEnded& event) {
  Request* request = Find(context, event.id);
  const bool current = request != nullptr && request->attempt == event.attempt;
  if (!current) return;
  if (request->phase != Phase::kDispatched) {
    // The whole response reached the caller just before the router gave up the
    // attempt, and no other attempt has started.
    if (event.outcome == DispatchOutcome::kCompleted) Drop(context, *request);
    return;
  }
  EndAttempt(context, *request);
  switch (event.outcome) {
    case DispatchOutcome::kCompleted:
      suspects::RecordCompletion(context.state.suspects, request->fingerprint,
                                 context.now);
      return EraseRequest(context, event.id);
    case DispatchOutcome::kRefused:
      return OnRefused(context, *request, event.refusal);
    case DispatchOutcome::kNotSent:
    case DispatchOutcome::kLost:
      RecordBusy(context.state.agents, request->agent);
      return OnNoAnswer(context, *request,
                        event.outcome == DispatchOutcome::kLost);
  }
}

void OnOrphaned(Context& context, common::RequestId id) {
  Request* request = Find(context, id);
  if (request == nullptr || request->phase != Phase::kDispatched) return;
  context.Emit(CancelDispatch{.id = id, .attempt = request->attempt});
  OnNoAnswer(context, *request, /*was_sent=*/true);
}

void OnResponseStarted(Context& context, const ResponseStarted& event) {
  Request* request = Find(context, event.id);
  if (request == nullptr || request->attempt != event.attempt) return;
  request->response_started = true;
  if (request->phase == Phase::kDispatched) return;
  // The router gave up the attempt while the first byte of the response was in
  // transit.
  context.Emit(
      TruncateResponse{.id = event.id,
                       .refusal = {.verdict = Verdict::kMayHaveRun,
                                   .reason = Reason::kConnectionLost}});
  Drop(context, *request);
}

void OnCallerDisconnected(Context& context, const CallerDisconnected& event) {
  Request* request = Find(context, event.id);
  if (request == nullptr) return;
  if (request->phase == Phase::kDispatched) {
    EndAttempt(context, *request);
    context.Emit(CancelDispatch{.id = event.id, .attempt = request->attempt});
  }
  Log(context, *request, "drop", "caller_left");
  Drop(context, *request);
}

void CancelRequest(Context& context, Request& request, Reason reason) {
  if (IsConfirming(request)) return;
  const Refusal unknown{.verdict = Verdict::kMayHaveRun, .reason = reason};
  if (request.phase == Phase::kDispatched) {
    context.Emit(CancelDispatch{.id = request.id, .attempt = request.attempt});
    EndAttempt(context, request);
    if (request.response_started) return Truncate(context, request, unknown);
    if (request.idempotent) return Refuse(context, request, unknown);
  }
  // The write may still take effect and another router may dispatch the key
  // according to it, so nothing can be confirmed.
  if (request.phase == Phase::kWritingBinding) {
    ReturnGrant(context, request);
    return Refuse(context, request, unknown);
  }
  ConfirmAndRefuse(context, request,
                   {.verdict = Verdict::kNotRun, .reason = reason});
}

void OnTimer(Context& context, Request& request) {
  if (IsConfirming(request)) {
    Refusal refusal = request.pending_refusal;
    refusal.verdict = Verdict::kMayHaveRun;
    return Refuse(context, request, refusal);
  }
  if (context.now < request.deadline) return Redispatch(context, request);
  CancelRequest(context, request, Reason::kDeadlineExceeded);
}

}  // namespace shallotbeam::routing::internal
