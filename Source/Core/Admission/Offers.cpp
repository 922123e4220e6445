#include <algorithm>
#include <optional>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

using common::Reason;
using common::Refusal;
using common::Verdict;

// Workspaces choose keys independently of each other.
std::string ScopedKey(const common::WorkspaceName& workspace,
                      const std::string& key) {
  return workspace.value + "/" + key;
}

Attempt MakeAttempt(Context& context, const RequestOffered& event) {
  Attempt attempt;
  attempt.id = event.id;
  attempt.router = event.router;
  attempt.workspace = event.workspace;
  attempt.fingerprint = event.fingerprint;
  attempt.suspect =
      event.suspect || suspects::IsSuspect(context.state.suspects,
                                           event.fingerprint, context.now);
  if (!event.key.empty()) attempt.key = ScopedKey(event.workspace, event.key);
  attempt.deadline = context.now + event.time_left;
  return attempt;
}

void Reject(Context& context, const Attempt& attempt, const Refusal& refusal) {
  Log(context, attempt, "reject", common::ToString(refusal.reason));
  context.Do(RejectOffer{.id = attempt.id, .refusal = refusal});
}

// Takes the grant of an offer; returns false if it is unknown or expired.
bool TakeGrant(Context& context, const RequestOffered& event,
               Attempt& attempt) {
  const auto it = context.state.grants.find(event.grant);
  if (it == context.state.grants.end()) return false;
  if (it->second.router != event.router) return false;
  attempt.granted = true;
  attempt.charged = it->second.charged;
  // The request may be of another workspace than the grant was for.
  if (it->second.workspace != attempt.workspace) {
    Charge(context, it->second.workspace, -it->second.charged);
    Charge(context, attempt.workspace, it->second.charged);
  }
  context.state.grants.erase(it);
  return true;
}

// Answers a keyed offer from the table. Returns true if that settles it.
bool AnswerFromKeyTable(Context& context, const RequestOffered& event,
                        const Attempt& attempt) {
  AgentState& state = context.state;
  if (event.bound_to != state.options.incarnation) {
    Reject(
        context, attempt,
        {.verdict = Verdict::kMayHaveRun, .reason = Reason::kBoundElsewhere});
    return true;
  }
  switch (
      Accept(state.keys, attempt.key, event.binding_revision, context.now)) {
    case KeyAnswer::kRun:
      return false;
    case KeyAnswer::kReplay:
      Log(context, attempt, "replay", "key_known");
      context.Do(ReplayResult{.id = attempt.id, .key = attempt.key});
      return true;
    case KeyAnswer::kInProgress:
      Reject(context, attempt,
             {.verdict = Verdict::kMayHaveRun,
              .reason = Reason::kKeyInProgress,
              .retry_after = std::chrono::seconds(1)});
      return true;
    case KeyAnswer::kForgotten:
      Reject(context, attempt,
             {.verdict = Verdict::kMayHaveRun,
              .reason = Reason::kResultForgotten});
      return true;
    case KeyAnswer::kBarred:
      Reject(context, attempt,
             {.verdict = Verdict::kNotRun, .reason = Reason::kBarred});
      return true;
    case KeyAnswer::kFull:
      // Without room for the key, nothing can vouch for "not run" later.
      Reject(context, attempt,
             {.verdict = Verdict::kMayHaveRun,
              .reason = Reason::kKeyTableFull,
              .retry_after = std::chrono::seconds(60)});
      return true;
  }
  return true;
}

// Reason not to run a request here and now; the key stays barred.
std::optional<Reason> CheckOffer(Context& context, const Attempt& attempt) {
  AgentState& state = context.state;
  if (state.config.version == common::ConfigVersion::kNone) {
    return Reason::kNoConfiguration;
  }
  if (state.draining) return Reason::kDraining;
  if (suspects::IsBanned(state.suspects, attempt.fingerprint, context.now)) {
    return Reason::kPoisonous;
  }
  if (!state.upstream_up) return Reason::kBusy;
  if (attempt.suspect) {
    const bool other_suspect =
        std::any_of(state.running.begin(), state.running.end(),
                    [](const auto& it) { return it.second.suspect; });
    if (other_suspect) return Reason::kSuspectIsolated;
  }
  return std::nullopt;
}

}  // namespace

void OnOffer(Context& context, const RequestOffered& event) {
  AgentState& state = context.state;
  Attempt attempt = MakeAttempt(context, event);
  const bool granted = TakeGrant(context, event, attempt);
  const bool keyed = !attempt.key.empty();
  if (keyed && AnswerFromKeyTable(context, event, attempt)) {
    Charge(context, attempt.workspace, -attempt.charged);
    return FillSlots(context);
  }
  if (const auto reason = CheckOffer(context, attempt)) {
    RejectNotRun(context, attempt, *reason);
    return FillSlots(context);
  }
  const int running = static_cast<int>(state.running.size());
  const bool has_slot =
      running + static_cast<int>(state.held_slots.size()) < Slots(state.limit);
  if (granted && has_slot) return Start(context, attempt, "granted");
  if (!granted && FreeSlots(state) > 0 && !HasDemand(state)) {
    return Start(context, attempt, "free_slot");
  }
  const bool may_wait =
      granted || (keyed && static_cast<int>(state.waiting.size()) <
                               state.options.max_waiting);
  if (!may_wait) return RejectNotRun(context, attempt, Reason::kBusy);
  NoteDemand(context, attempt.workspace);
  state.waiting.push_back(attempt);
}

void OnWithdrawn(Context& context, const OfferWithdrawn& event) {
  AgentState& state = context.state;
  const auto waiting =
      std::find_if(state.waiting.begin(), state.waiting.end(),
                   [&](const Attempt& it) { return it.id == event.id; });
  if (waiting != state.waiting.end()) {
    Charge(context, waiting->workspace, -waiting->charged);
    if (!waiting->key.empty()) {
      NoteNotRun(state.keys, waiting->key, context.now);
    }
    state.waiting.erase(waiting);
    return FillSlots(context);
  }
  const auto running = state.running.find(event.id);
  if (running == state.running.end()) return;
  // A non-idempotent request runs on, so that its result can be replayed.
  if (!running->second.key.empty()) return;
  context.Do(CancelUpstream{.id = event.id});
  state.running.erase(running);
  FillSlots(context);
}

void OnRevoke(Context& context, const common::ProcessName& router,
              const protocol::Revoke& revoke) {
  AgentState& state = context.state;
  // Keys of another incarnation may have begun there.
  const bool ours = revoke.bound_to == state.options.incarnation;
  const std::string key = ScopedKey(revoke.workspace, revoke.key);
  const bool begun =
      !ours || !Bar(state.keys, key, revoke.binding_revision, context.now);
  if (!begun) {
    const auto waiting =
        std::find_if(state.waiting.begin(), state.waiting.end(),
                     [&](const Attempt& it) { return it.key == key; });
    if (waiting != state.waiting.end()) {
      Reject(context, *waiting,
             {.verdict = Verdict::kNotRun, .reason = Reason::kBarred});
      Charge(context, waiting->workspace, -waiting->charged);
      state.waiting.erase(waiting);
    }
  }
  context.Do(SendMessage{.to = router,
                         .body = protocol::RevokeReply{
                             .request = revoke.request, .begun = begun}});
}

void RejectNotRun(Context& context, const Attempt& attempt, Reason reason) {
  if (!attempt.key.empty()) {
    NoteNotRun(context.state.keys, attempt.key, context.now);
  }
  Charge(context, attempt.workspace, -attempt.charged);
  Reject(context, attempt, {.verdict = Verdict::kNotRun, .reason = reason});
}

}  // namespace shallotbeam::admission::internal
