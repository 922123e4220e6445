#include <algorithm>

#include "Routing/Internal.h"

namespace shallotbeam::routing::internal {

namespace {

using common::Reason;
using common::Refusal;
using common::Verdict;

struct Caller {
  const config::WorkspaceConfig* workspace = nullptr;
  const config::KindConfig* kind = nullptr;
};

// Checks what every call names. Sets `reason` and returns nothing on failure.
std::optional<Caller> CheckCaller(const RouterState& state,
                                  const common::WorkspaceName& workspace,
                                  const common::KindName& kind,
                                  const std::string& credential,
                                  Reason* reason) {
  if (state.config.version == common::ConfigVersion::kNone) {
    *reason = Reason::kNoConfiguration;
    return std::nullopt;
  }
  const auto owner = state.config.workspaces.find(workspace);
  if (owner == state.config.workspaces.end()) {
    // As for a wrong credential, so that names can't be found by trying.
    *reason = Reason::kBadCredential;
    return std::nullopt;
  }
  const std::string& expected = owner->second.credential_sha256;
  if (!expected.empty() && expected != credential) {
    *reason = Reason::kBadCredential;
    return std::nullopt;
  }
  const auto work = state.config.kinds.find(kind);
  if (work == state.config.kinds.end() ||
      owner->second.kinds.count(kind) == 0) {
    *reason = Reason::kUnknownKind;
    return std::nullopt;
  }
  return Caller{.workspace = &owner->second, .kind = &work->second};
}

// Checks the request itself; kNone if it may be served.
Reason CheckRequest(const RouterState& state, const config::KindConfig& kind,
                    const RequestArrived& event) {
  if (event.body_bytes > kind.max_body_bytes) return Reason::kBodyTooLarge;
  if (event.time_allowed && (event.time_allowed->count() <= 0 ||
                             *event.time_allowed > kind.max_deadline)) {
    return Reason::kBadRequest;
  }
  if (!kind.idempotent && event.idempotency_key.empty()) {
    return Reason::kMissingKey;
  }
  const bool malformed_ticket = HasTicketPrefix(event.idempotency_key) &&
                                !ParseTicket(event.idempotency_key);
  if (!kind.idempotent && malformed_ticket) return Reason::kBadTicket;
  if (state.draining) return Reason::kDraining;
  return Reason::kNone;
}

Request MakeRequest(Context& context, const config::KindConfig& kind,
                    const RequestArrived& event) {
  const common::Duration allowed =
      event.time_allowed.value_or(kind.default_deadline);
  Request request;
  request.id = event.id;
  request.workspace = event.workspace;
  request.kind = event.kind;
  request.pool = kind.pool;
  request.urgency = kind.urgency;
  request.idempotent = kind.idempotent;
  request.fingerprint = event.fingerprint;
  request.arrived = context.now;
  request.deadline = context.now + allowed;
  request.bytes = event.body_bytes;
  if (kind.idempotent) return request;

  request.key = event.idempotency_key;
  request.store_revision = context.state.store_revision;
  if (const auto ticket = ParseTicket(request.key)) {
    request.owner = ticket->owner;
  } else {
    request.store_key = BindingStoreKey(request.workspace, request.key);
  }
  return request;
}

// Refuses a call without a confirmation. An earlier send of the key may have
// run through another router, or under an earlier configuration.
void RefuseUnknown(Context& context, common::RequestId id, Reason reason,
                   const std::string& key = "") {
  const bool vouched = key.empty() || reason == Reason::kBadTicket;
  Refusal refusal{.verdict = vouched ? Verdict::kNotRun : Verdict::kMayHaveRun,
                  .reason = reason};
  const bool temporary =
      reason == Reason::kNoConfiguration || reason == Reason::kDraining;
  if (temporary) {
    refusal.retry_after = RetryAfter(context, std::chrono::seconds(1));
  }
  context.Do(RefuseRequest{.id = id, .refusal = refusal});
}

}  // namespace

void OnArrival(Context& context, const RequestArrived& event) {
  RouterState& state = context.state;
  Reason reason = Reason::kNone;
  const auto caller = CheckCaller(state, event.workspace, event.kind,
                                  event.credential_sha256, &reason);
  if (!caller) {
    return RefuseUnknown(context, event.id, reason, event.idempotency_key);
  }
  reason = CheckRequest(state, *caller->kind, event);
  if (reason != Reason::kNone && reason != Reason::kDraining) {
    return RefuseUnknown(context, event.id, reason, event.idempotency_key);
  }

  const auto [it, inserted] = state.requests.emplace(
      event.id, MakeRequest(context, *caller->kind, event));
  if (!inserted) return;
  Request& request = it->second;
  Arm(context, request, request.deadline);
  if (reason == Reason::kDraining) {
    return GiveUp(
        context, request,
        {.verdict = Verdict::kNotRun,
         .reason = reason,
         .retry_after = RetryAfter(context, std::chrono::seconds(1))});
  }
  if (suspects::IsBanned(state.suspects, request.fingerprint, context.now)) {
    // A banned request has run and crashed upstreams under some key.
    return GiveUp(context, request,
                  {.verdict = request.idempotent ? Verdict::kNotRun
                                                 : Verdict::kMayHaveRun,
                   .reason = Reason::kPoisonous});
  }
  if (request.idempotent) return Place(context, request);
  if (request.owner) return DispatchToOwner(context, request);
  request.phase = Phase::kReadingBinding;
  context.Do(ReadBinding{.id = request.id, .store_key = request.store_key});
}

void OnTicketRequest(Context& context, const TicketRequested& event) {
  RouterState& state = context.state;
  Reason reason = Reason::kNone;
  const auto caller = CheckCaller(state, event.workspace, event.kind,
                                  event.credential_sha256, &reason);
  if (!caller) return RefuseUnknown(context, event.id, reason);
  if (state.draining) {
    return RefuseUnknown(context, event.id, Reason::kDraining);
  }
  const common::ProcessName* agent = ChooseForTicket(
      state.agents, caller->kind->pool, context.now, state.random);
  if (agent == nullptr) {
    return context.Do(RefuseRequest{
        .id = event.id,
        .refusal = {
            .verdict = Verdict::kNotRun,
            .reason = Reason::kNoUpstream,
            .retry_after = RetryAfter(context, std::chrono::seconds(1))}});
  }
  const Ticket ticket{
      .owner = {.agent = *agent,
                .incarnation = state.agents.agents.at(*agent).incarnation},
      .random = state.random()};
  context.Do(GiveTicket{.id = event.id, .ticket = FormatTicket(ticket)});
}

void OnBindingRead(Context& context, const BindingRead& event) {
  NoteStoreRevision(context.state, event.revision);
  const auto it = context.state.requests.find(event.id);
  if (it == context.state.requests.end()) return;
  Request& request = it->second;
  if (request.phase != Phase::kReadingBinding) return;
  if (context.now >= request.deadline) {
    return Abandon(context, request, Reason::kDeadlineExceeded);
  }
  if (event.outcome == StoreOutcome::kUnavailable) {
    return GiveUp(
        context, request,
        {.verdict = Verdict::kMayHaveRun,
         .reason = Reason::kStoreUnavailable,
         .retry_after = RetryAfter(context, std::chrono::seconds(2))});
  }
  request.binding_revision = event.revision;
  const auto binding = ParseBinding(event.value);
  if (event.revision != 0 && !binding) {
    return GiveUp(
        context, request,
        {.verdict = Verdict::kMayHaveRun, .reason = Reason::kStoreUnavailable});
  }
  // The read may have taken effect after a later send was told "not run", and
  // then this one must not run. Only what the store held before the arrival is
  // certain; a resend through this router is.
  const bool refused_meanwhile =
      binding && binding->epoch > 0 && event.revision > request.store_revision;
  if (refused_meanwhile) {
    return Refuse(
        context, request,
        {.verdict = Verdict::kMayHaveRun,
         .reason = Reason::kKeyInProgress,
         .retry_after = RetryAfter(context, std::chrono::milliseconds(100))});
  }
  if (binding) request.binding_epoch = binding->epoch;
  if (binding && !binding->tombstone) {
    request.owner = binding->owner;
    return DispatchToOwner(context, request);
  }
  Place(context, request);
}

}  // namespace shallotbeam::routing::internal
