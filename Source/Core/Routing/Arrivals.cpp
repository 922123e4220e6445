#include <algorithm>

#include "Routing/Internal.h"

namespace shallotbeam::routing::internal {

namespace {

using common::Reason;
using common::Refusal;
using common::Verdict;

struct CallerConfig {
  const config::WorkspaceConfig* workspace = nullptr;
  const config::KindConfig* kind = nullptr;
};

// Looks up the workspace and the kind and checks the credential. On failure
// sets `reason` and returns nothing.
std::optional<CallerConfig> FindCallerConfig(
    const RouterState& state, const common::WorkspaceName& workspace,
    const common::KindName& kind, const std::string& credential,
    Reason* reason) {
  if (state.config.version == common::ConfigVersion::kNone) {
    *reason = Reason::kNoConfiguration;
    return std::nullopt;
  }
  const auto workspace_entry = state.config.workspaces.find(workspace);
  if (workspace_entry == state.config.workspaces.end()) {
    // Same reason as for a wrong credential, so that workspace names can't be
    // guessed by trying.
    *reason = Reason::kBadCredential;
    return std::nullopt;
  }
  const config::WorkspaceConfig& caller = workspace_entry->second;
  const bool accepted = caller.credential_sha256.empty()
                            ? caller.open
                            : caller.credential_sha256 == credential;
  if (!accepted) {
    *reason = Reason::kBadCredential;
    return std::nullopt;
  }
  const auto kind_entry = state.config.kinds.find(kind);
  if (kind_entry == state.config.kinds.end() ||
      workspace_entry->second.kinds.count(kind) == 0) {
    *reason = Reason::kUnknownKind;
    return std::nullopt;
  }
  return CallerConfig{.workspace = &workspace_entry->second,
                      .kind = &kind_entry->second};
}

// Checks the request itself; returns kNone if it may be served.
Reason CheckRequest(const RouterState& state, const config::KindConfig& kind,
                    const RequestArrived& event) {
  if (event.body_bytes > kind.max_body_bytes) return Reason::kBodyTooLarge;
  if (event.timeout &&
      (event.timeout->count() <= 0 || *event.timeout > kind.max_deadline)) {
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
      event.timeout.value_or(kind.default_deadline);
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

// Refuses a call without confirming that its key did not run. An earlier send
// of the key may have run through another router or under an earlier
// configuration, so a call with a key gets "may have run". A malformed ticket
// can't have run.
void RefuseUnconfirmed(Context& context, common::RequestId id, Reason reason,
                       const std::string& key = "") {
  const bool proven_not_run = key.empty() || reason == Reason::kBadTicket;
  Refusal refusal{
      .verdict = proven_not_run ? Verdict::kNotRun : Verdict::kMayHaveRun,
      .reason = reason};
  const bool temporary =
      reason == Reason::kNoConfiguration || reason == Reason::kDraining;
  if (temporary) {
    refusal.retry_after = RetryAfter(context, std::chrono::seconds(1));
  }
  context.Emit(RefuseRequest{.id = id, .refusal = refusal});
}

}  // namespace

void OnArrival(Context& context, const RequestArrived& event) {
  RouterState& state = context.state;
  Reason reason = Reason::kNone;
  const auto caller = FindCallerConfig(state, event.workspace, event.kind,
                                       event.credential_sha256, &reason);
  if (!caller) {
    return RefuseUnconfirmed(context, event.id, reason, event.idempotency_key);
  }
  reason = CheckRequest(state, *caller->kind, event);
  if (reason != Reason::kNone && reason != Reason::kDraining) {
    return RefuseUnconfirmed(context, event.id, reason, event.idempotency_key);
  }

  const auto [it, inserted] = state.requests.emplace(
      event.id, MakeRequest(context, *caller->kind, event));
  if (!inserted) return;
  Request& request = it->second;
  ArmTimer(context, request, request.deadline);
  if (reason == Reason::kDraining) {
    return ConfirmAndRefuse(
        context, request,
        {.verdict = Verdict::kNotRun,
         .reason = reason,
         .retry_after = RetryAfter(context, std::chrono::seconds(1))});
  }
  if (suspects::IsBanned(state.suspects, request.fingerprint, context.now)) {
    // A banned request has already run and crashed upstreams, possibly under
    // another key.
    return ConfirmAndRefuse(
        context, request,
        {.verdict =
             request.idempotent ? Verdict::kNotRun : Verdict::kMayHaveRun,
         .reason = Reason::kCrashesUpstreams});
  }
  if (request.idempotent) return DispatchOrEnqueue(context, request);
  if (request.owner) return DispatchToOwner(context, request);
  request.phase = Phase::kReadingBinding;
  context.Emit(ReadBinding{.id = request.id, .store_key = request.store_key});
}

void OnTicketRequest(Context& context, const TicketRequested& event) {
  RouterState& state = context.state;
  Reason reason = Reason::kNone;
  const auto caller = FindCallerConfig(state, event.workspace, event.kind,
                                       event.credential_sha256, &reason);
  if (!caller) return RefuseUnconfirmed(context, event.id, reason);
  if (state.draining) {
    return RefuseUnconfirmed(context, event.id, Reason::kDraining);
  }
  const common::ProcessName* agent = ChooseForTicket(
      state.agents, caller->kind->pool, context.now, state.random);
  if (agent == nullptr) {
    return context.Emit(RefuseRequest{
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
  context.Emit(IssueTicket{.id = event.id, .ticket = FormatTicket(ticket)});
}

void OnBindingRead(Context& context, const BindingRead& event) {
  RecordStoreRevision(context.state, event.revision);
  const auto it = context.state.requests.find(event.id);
  if (it == context.state.requests.end()) return;
  Request& request = it->second;
  if (request.phase != Phase::kReadingBinding) return;
  if (context.now >= request.deadline) {
    return CancelRequest(context, request, Reason::kDeadlineExceeded);
  }
  if (event.outcome == StoreOutcome::kUnavailable) {
    return ConfirmAndRefuse(
        context, request,
        {.verdict = Verdict::kMayHaveRun,
         .reason = Reason::kStoreUnavailable,
         .retry_after = RetryAfter(context, std::chrono::seconds(2))});
  }
  request.binding_revision = event.revision;
  const auto binding = ParseBinding(event.value);
  if (event.revision != 0 && !binding) {
    return ConfirmAndRefuse(
        context, request,
        {.verdict = Verdict::kMayHaveRun, .reason = Reason::kStoreUnavailable});
  }
  // The key may have been sent again and refused as not run after this request
  // arrived but before the store executed the read. This request must then not
  // run. Only what the store held before this request arrived is known to be
  // older than the request. A resend through this router passes this check,
  // because the router then knows the new revision.
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
  DispatchOrEnqueue(context, request);
}

}  // namespace shallotbeam::routing::internal
