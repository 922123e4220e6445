#include <algorithm>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

using common::Reason;
using common::Refusal;
using common::Verdict;

// Workspaces choose keys independently of each other. A key is the value of an
// HTTP header and contains no line break, so different pairs give different
// strings.
std::string ScopedKey(const common::WorkspaceName& workspace,
                      const std::string& key) {
  return workspace.value + "\n" + key;
}

Attempt MakeAttempt(Context& context, const RequestOffered& event) {
  Attempt attempt;
  attempt.id = event.id;
  attempt.router = event.router;
  attempt.workspace = event.workspace;
  attempt.kind = event.kind;
  attempt.fingerprint = event.fingerprint;
  attempt.suspect = event.suspect;
  attempt.router_may_reassign = event.key.empty() || event.binding_revision > 0;
  if (!event.key.empty()) attempt.key = ScopedKey(event.workspace, event.key);
  attempt.deadline = context.now + event.time_left;
  return attempt;
}

void Reject(Context& context, const Attempt& attempt, const Refusal& refusal) {
  Log(context, attempt, "reject", common::ToString(refusal.reason));
  context.Emit(RejectOffer{.id = attempt.id, .refusal = refusal});
}

// Consumes the grant of an offer. Returns false if the grant is unknown or
// expired.
bool ConsumeGrant(Context& context, const RequestOffered& event,
                  Attempt& attempt) {
  const auto it = context.state.grants.find(event.grant);
  if (it == context.state.grants.end()) return false;
  if (it->second.router != event.router) return false;
  attempt.granted = true;
  attempt.charged = it->second.charged;
  // The request may belong to another workspace than the grant.
  if (it->second.workspace != attempt.workspace) {
    Charge(context, it->second.workspace, -it->second.charged);
    Charge(context, attempt.workspace, it->second.charged);
  }
  context.state.grants.erase(it);
  return true;
}

// Looks up the key of an offer. Returns true if the offer has been answered,
// false if the request may run.
bool AnswerFromKeyTable(Context& context, const RequestOffered& event,
                        const Attempt& attempt) {
  AgentState& state = context.state;
  if (event.bound_to != state.options.incarnation) {
    Reject(
        context, attempt,
        {.verdict = Verdict::kMayHaveRun, .reason = Reason::kBoundElsewhere});
    return true;
  }
  const KeyOffer offer{.key = attempt.key,
                       .fingerprint = attempt.fingerprint,
                       .revision = event.binding_revision};
  switch (Accept(state.keys, offer, context.now)) {
    case KeyAnswer::kRun:
      return false;
    case KeyAnswer::kReplay:
      Log(context, attempt, "replay", "key_known");
      context.Emit(ReplayResult{.id = attempt.id, .key = attempt.key});
      return true;
    case KeyAnswer::kInProgress:
      Reject(context, attempt,
             {.verdict = Verdict::kMayHaveRun,
              .reason = Reason::kKeyInProgress,
              .retry_after = std::chrono::seconds(1)});
      return true;
    case KeyAnswer::kUnknown:
      Reject(
          context, attempt,
          {.verdict = Verdict::kMayHaveRun, .reason = Reason::kUpstreamFailed});
      return true;
    case KeyAnswer::kReused:
      Reject(context, attempt,
             {.verdict = Verdict::kMayHaveRun, .reason = Reason::kKeyReused});
      return true;
    case KeyAnswer::kExpired:
      Reject(
          context, attempt,
          {.verdict = Verdict::kMayHaveRun, .reason = Reason::kResultExpired});
      return true;
    case KeyAnswer::kRevoked:
      Reject(context, attempt,
             {.verdict = Verdict::kNotRun, .reason = Reason::kKeyRevoked});
      return true;
    case KeyAnswer::kFullRevoked:
      Reject(context, attempt,
             {.verdict = Verdict::kNotRun,
              .reason = Reason::kKeyTableFull,
              .retry_after = std::chrono::seconds(60)});
      return true;
    case KeyAnswer::kFullNotRevoked:
      // The key is not in the table, so a later attempt could run and "not run"
      // can't be guaranteed.
      Reject(context, attempt,
             {.verdict = Verdict::kMayHaveRun,
              .reason = Reason::kKeyTableFull,
              .retry_after = std::chrono::seconds(60)});
      return true;
  }
  return true;
}

bool IsKnown(const AgentState& state, const AttemptId& id) {
  return state.running.contains(id) ||
         std::any_of(state.waiting.begin(), state.waiting.end(),
                     [&](const Attempt& it) { return it.id == id; });
}

}  // namespace

std::optional<Reason> CheckOffer(const Context& context,
                                 const Attempt& attempt) {
  const AgentState& state = context.state;
  if (!IsConfigured(state)) {
    return Reason::kNoConfiguration;
  }
  if (IsLeaving(state)) return Reason::kDraining;
  if (!HasRouterContact(state)) return Reason::kBusy;
  if (suspects::IsBanned(state.suspects, attempt.fingerprint, context.now)) {
    return Reason::kCrashesUpstreams;
  }
  if (!state.upstream_up) return Reason::kBusy;
  const auto is_suspect = [&](const Attempt& it) {
    return it.suspect ||
           suspects::IsSuspect(state.suspects, it.fingerprint, context.now);
  };
  if (!is_suspect(attempt)) return std::nullopt;
  // The router did not know that the request is a suspect; otherwise it would
  // have chosen the agent that runs all copies of the suspect.
  if (!attempt.suspect && attempt.router_may_reassign) {
    return Reason::kSuspectIsolated;
  }
  const bool other_suspect =
      std::any_of(state.running.begin(), state.running.end(),
                  [&](const auto& it) { return is_suspect(it.second); });
  // The upstream may still be working on a cancelled suspect. After a crash,
  // both suspects would have been in flight and neither could be identified as
  // the cause.
  const bool cancelled_suspect = std::any_of(
      state.cancelled.begin(), state.cancelled.end(), [&](const auto& it) {
        const auto& [at, fingerprint] = it;
        return fingerprint != attempt.fingerprint &&
               context.now - at < state.options.cancel_grace &&
               suspects::IsSuspect(state.suspects, fingerprint, context.now);
      });
  if (other_suspect || cancelled_suspect) return Reason::kSuspectIsolated;
  return std::nullopt;
}

void OnOffer(Context& context, const RequestOffered& event) {
  AgentState& state = context.state;
  Attempt attempt = MakeAttempt(context, event);
  if (IsKnown(state, event.id)) {
    return Reject(
        context, attempt,
        {.verdict = Verdict::kMayHaveRun, .reason = Reason::kKeyInProgress});
  }
  const bool granted = ConsumeGrant(context, event, attempt);
  const bool keyed = !attempt.key.empty();
  if (keyed && AnswerFromKeyTable(context, event, attempt)) {
    return Charge(context, attempt.workspace, -attempt.charged);
  }
  if (const auto reason = CheckOffer(context, attempt)) {
    return RejectNotRun(context, attempt, *reason);
  }
  if (granted && MayStartGranted(state)) {
    return Start(context, std::move(attempt), "granted");
  }
  if (!granted && FreeSlots(state) > 0 && !HasDemand(state)) {
    RaiseVirtualTimeIfIdle(context, attempt.workspace);
    RaiseSystemVirtualTime(
        state, fairness::VirtualTime(state.ledger,
                                     {state.options.pool, attempt.workspace}));
    return Start(context, std::move(attempt), "free_slot");
  }
  const int ungranted =
      static_cast<int>(state.waiting.size()) - state.waiting_granted;
  // All routers send the copies of a suspect to the same agent, so no other
  // agent could run it.
  const bool only_here = keyed || attempt.suspect;
  const bool may_wait =
      granted || (only_here && ungranted < state.options.max_waiting);
  if (!may_wait) {
    state.reported_full = true;
    return RejectNotRun(context, attempt, Reason::kBusy);
  }
  AddWaiting(context, std::move(attempt));
}

void OnWithdrawn(Context& context, const OfferWithdrawn& event) {
  AgentState& state = context.state;
  const auto waiting =
      std::find_if(state.waiting.begin(), state.waiting.end(),
                   [&](const Attempt& it) { return it.id == event.id; });
  if (waiting != state.waiting.end()) {
    const Attempt attempt = TakeWaiting(context, waiting);
    Charge(context, attempt.workspace, -attempt.charged);
    if (!attempt.key.empty()) {
      RecordNotRun(state.keys, attempt.key, context.now);
    }
    return;
  }
  const auto running = state.running.find(event.id);
  if (running == state.running.end()) return;
  // A non-idempotent request continues to run, so that its result can be
  // replayed.
  if (!running->second.key.empty()) return;
  CancelRunning(context, event.id);
}

void OnRevoke(Context& context, const common::ProcessName& router,
              const protocol::Revoke& revoke) {
  AgentState& state = context.state;
  // A key bound to another incarnation may have run there.
  const bool ours = revoke.bound_to == state.options.incarnation;
  const std::string key = ScopedKey(revoke.workspace, revoke.key);
  const bool started =
      !ours ||
      !RevokeKey(state.keys, key, revoke.binding_revision, context.now);
  if (!started) {
    const auto waiting =
        std::find_if(state.waiting.begin(), state.waiting.end(),
                     [&](const Attempt& it) { return it.key == key; });
    if (waiting != state.waiting.end()) {
      const Attempt attempt = TakeWaiting(context, waiting);
      Charge(context, attempt.workspace, -attempt.charged);
      Reject(context, attempt,
             {.verdict = Verdict::kNotRun, .reason = Reason::kKeyRevoked});
    }
  }
  context.Emit(SendMessage{.to = router,
                           .body = protocol::RevokeReply{
                               .request = revoke.request, .started = started}});
}

void RejectAllWaiting(Context& context, Reason reason) {
  AgentState& state = context.state;
  while (!state.waiting.empty()) {
    RejectNotRun(context, TakeWaiting(context, state.waiting.begin()), reason);
  }
}

void RejectNotRun(Context& context, const Attempt& attempt, Reason reason) {
  if (!attempt.key.empty()) {
    RecordNotRun(context.state.keys, attempt.key, context.now);
  }
  Charge(context, attempt.workspace, -attempt.charged);
  Reject(context, attempt, {.verdict = Verdict::kNotRun, .reason = reason});
}

}  // namespace shallotbeam::admission::internal
