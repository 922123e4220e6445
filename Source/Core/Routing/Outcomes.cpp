#include "Routing/Internal.h"

namespace shallotbeam::routing::internal {

namespace {

using common::Reason;
using common::Refusal;
using common::Verdict;

// Crashes after which a request is not retried, proven or not.
constexpr int kMostCrashes = 2;

Request* Find(Context& context, common::RequestId id) {
  const auto it = context.state.requests.find(id);
  return it == context.state.requests.end() ? nullptr : &it->second;
}

// The agent never began the request and another one may.
bool IsPassedOn(Reason reason) {
  return reason == Reason::kBusy || reason == Reason::kDraining ||
         reason == Reason::kNoConfiguration ||
         reason == Reason::kSuspectIsolated || reason == Reason::kBarred;
}

// The agent could not read the offer, so its key table was not asked.
bool IsUnread(Reason reason) {
  return reason == Reason::kNone || reason == Reason::kBadRequest ||
         reason == Reason::kBodyTooLarge;
}

// Another attempt may end differently.
bool IsWorthRetrying(Reason reason) {
  return !IsUnread(reason) && reason != Reason::kPoisonous &&
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

// A refusal is news of the agent's state before its next heartbeat.
void NoteRefusal(Context& context, const Request& request, Reason reason) {
  AgentTable& agents = context.state.agents;
  switch (reason) {
    case Reason::kBusy:
      return NoteBusy(agents, request.agent);
    case Reason::kDraining:
      return NoteState(agents, request.agent, protocol::AgentState::kDraining);
    case Reason::kNoConfiguration:
      return NoteState(agents, request.agent,
                       protocol::AgentState::kNoConfiguration);
    default:
      return;
  }
}

// The agent vouches that the key did not run and bars it at our revision, so
// that it may be bound anew over that revision.
void PlaceAgain(Context& context, Request& request, Reason reason) {
  request.owner.reset();
  Log(context, request, "requeue", common::ToString(reason));
  request.isolate = request.isolate || reason == Reason::kSuspectIsolated;
  // Only one agent takes a suspect, and has no room for it now.
  if (request.isolate || request.suspect) return Delay(context, request);
  Enqueue(context, request);
}

void Truncate(Context& context, const Request& request,
              const Refusal& refusal) {
  context.Do(TruncateResponse{.id = request.id, .refusal = refusal});
  Forget(context, request.id);
}

void OnNotRun(Context& context, Request& request, const Refusal& refusal) {
  const bool ticket = !request.idempotent && request.store_key.empty();
  if (ticket && !IsUnread(refusal.reason)) {
    // Barred for good: the caller needs a new ticket.
    const Reason reason =
        IsPassedOn(refusal.reason) ? Reason::kBarred : refusal.reason;
    return Refuse(context, request,
                  {.verdict = Verdict::kNotRun, .reason = reason});
  }
  const bool again =
      IsPassedOn(refusal.reason) ||
      (IsWorthRetrying(refusal.reason) && MayRetry(context, request));
  if (again) return PlaceAgain(context, request, refusal.reason);
  // Another attempt with this key may hold the same binding and bind anew over
  // it, so the agent's word alone does not settle a caller's own key.
  GiveUp(context, request, refusal);
}

void OnRefused(Context& context, Request& request, const Refusal& refusal) {
  NoteRefusal(context, request, refusal.reason);
  if (request.response_started) return Truncate(context, request, refusal);
  if (refusal.verdict == Verdict::kNotRun) {
    return OnNotRun(context, request, refusal);
  }
  request.may_have_run = true;
  if (refusal.reason == Reason::kUpstreamCrashed) {
    // The agent's report may arrive later than its answer or get lost.
    ++request.crashes;
    request.crashed_at.insert(request.agent);
    request.isolate = true;
  }
  const bool retry = request.idempotent && request.crashes < kMostCrashes &&
                     IsWorthRetrying(refusal.reason) &&
                     MayRetry(context, request);
  if (!retry) return Refuse(context, request, refusal);
  request.failed_at.insert(request.agent);
  request.failed = context.now;
  Log(context, request, "requeue", "retry");
  request.grant = common::GrantId::kNone;
  Resume(context, request);
}

// No complete answer: the connection failed or broke, or the agent is silent.
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
  // The owner runs it, waits for the run in progress, or replays the result.
  if (MayRetry(context, request)) {
    if (was_sent) return DispatchToOwner(context, request);
    return Delay(context, request);
  }
  GiveUp(context, request,
         {.verdict = Verdict::kNotRun, .reason = Reason::kConnectionLost});
}

// Forgets a request that holds no agent and needs no answer.
void Drop(Context& context, Request& request) {
  Dequeue(context, request);
  if (request.phase == Phase::kWritingBinding) ReturnGrant(context, request);
  Forget(context, request.id);
}

void EndAttempt(Context& context, const Request& request) {
  NoteEnded(context.state.agents, request.agent, request.id, request.suspect);
}

}  // namespace

void OnDispatchEnded(Context& context, const DispatchEnded& event) {
  Request* request = Find(context, event.id);
  const bool current = request != nullptr && request->attempt == event.attempt;
  if (!current) return;
  if (request->phase != Phase::kDispatched) {
    // The whole response reached the caller just before the attempt was given
    // up, and no other attempt has begun.
    if (event.outcome == DispatchOutcome::kCompleted) Drop(context, *request);
    return;
  }
  EndAttempt(context, *request);
  switch (event.outcome) {
    case DispatchOutcome::kCompleted:
      suspects::NoteCompleted(context.state.suspects, request->fingerprint,
                              context.now);
      return Forget(context, event.id);
    case DispatchOutcome::kRefused:
      return OnRefused(context, *request, event.refusal);
    case DispatchOutcome::kNotSent:
    case DispatchOutcome::kLost:
      NoteBusy(context.state.agents, request->agent);
      return OnNoAnswer(context, *request,
                        event.outcome == DispatchOutcome::kLost);
  }
}

void OnOrphaned(Context& context, common::RequestId id) {
  Request* request = Find(context, id);
  if (request == nullptr || request->phase != Phase::kDispatched) return;
  context.Do(CancelDispatch{.id = id, .attempt = request->attempt});
  OnNoAnswer(context, *request, /*was_sent=*/true);
}

void OnResponseStarted(Context& context, const ResponseStarted& event) {
  Request* request = Find(context, event.id);
  if (request == nullptr || request->attempt != event.attempt) return;
  request->response_started = true;
  if (request->phase == Phase::kDispatched) return;
  // The attempt was given up while its first byte was on its way.
  context.Do(TruncateResponse{.id = event.id,
                              .refusal = {.verdict = Verdict::kMayHaveRun,
                                          .reason = Reason::kConnectionLost}});
  Drop(context, *request);
}

void OnCallerLeft(Context& context, const CallerLeft& event) {
  Request* request = Find(context, event.id);
  if (request == nullptr) return;
  if (request->phase == Phase::kDispatched) {
    EndAttempt(context, *request);
    context.Do(CancelDispatch{.id = event.id, .attempt = request->attempt});
  }
  Log(context, *request, "drop", "caller_left");
  Drop(context, *request);
}

void Abandon(Context& context, Request& request, Reason reason) {
  if (IsConfirming(request)) return;
  const Refusal unknown{.verdict = Verdict::kMayHaveRun, .reason = reason};
  if (request.phase == Phase::kDispatched) {
    context.Do(CancelDispatch{.id = request.id, .attempt = request.attempt});
    EndAttempt(context, request);
    if (request.response_started) return Truncate(context, request, unknown);
    if (request.idempotent) return Refuse(context, request, unknown);
  }
  // The write may still take effect and another router dispatch by it, so
  // nothing can be confirmed.
  if (request.phase == Phase::kWritingBinding) {
    ReturnGrant(context, request);
    return Refuse(context, request, unknown);
  }
  GiveUp(context, request, {.verdict = Verdict::kNotRun, .reason = reason});
}

void OnTimer(Context& context, Request& request) {
  if (IsConfirming(request)) {
    Refusal refusal = request.pending;
    refusal.verdict = Verdict::kMayHaveRun;
    return Refuse(context, request, refusal);
  }
  if (context.now < request.deadline) return Resume(context, request);
  Abandon(context, request, Reason::kDeadlineExceeded);
}

}  // namespace shallotbeam::routing::internal
