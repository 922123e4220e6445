#include <algorithm>

#include "Routing/Internal.h"

namespace shallotbeam::routing::internal {

namespace {

using common::Reason;
using common::Verdict;

PoolState& PoolOf(Context& context, const Request& request) {
  return context.state.pools[request.pool];
}

QueuedRequest ToQueued(const Request& request) {
  return {.id = request.id,
          .arrived = request.arrived,
          .deadline = request.deadline,
          .bytes = request.bytes};
}

void SendDispatch(Context& context, Request& request,
                  const common::ProcessName& name, std::string_view cause) {
  RouterState& state = context.state;
  const Agent& agent = state.agents.agents.at(name);
  ++request.attempt;
  request.agent = name;
  request.phase = Phase::kDispatched;
  NoteDispatched(state.agents, name, request.id);
  NoteDispatch(state.retry_budgets[request.pool], state.options.retries);
  Log(context, request, "dispatch", cause);
  context.Do(DispatchRequest{
      .id = request.id,
      .attempt = request.attempt,
      .agent = name,
      .endpoint = agent.data,
      .grant = request.grant,
      .bound_to = request.owner ? request.owner->incarnation
                                : common::Incarnation::kNone,
      .binding_revision = request.binding_revision,
      .suspect =
          suspects::IsSuspect(state.suspects, request.fingerprint, context.now),
      .time_left = request.deadline - context.now});
}

// Hands the request to an agent with a slot for it. A caller's own key is bound
// to the agent first.
void DispatchTo(Context& context, Request& request,
                const common::ProcessName& name, common::GrantId grant) {
  request.grant = grant;
  const bool needs_binding = !request.idempotent && !request.owner;
  if (!needs_binding) {
    return SendDispatch(context, request, name,
                        grant == common::GrantId::kNone ? "direct" : "granted");
  }
  request.agent = name;
  request.phase = Phase::kWritingBinding;
  const Binding binding{
      .owner = {.agent = name,
                .incarnation =
                    context.state.agents.agents.at(name).incarnation},
      .written_by = request.id};
  context.Do(WriteBinding{.id = request.id,
                          .store_key = request.store_key,
                          .expected_revision = request.binding_revision,
                          .value = FormatBinding(binding)});
}

void ReturnGrant(Context& context, Request& request) {
  if (request.grant == common::GrantId::kNone) return;
  context.Do(
      SendMessage{.to = request.agent,
                  .body = protocol::GrantReturn{.grant = request.grant}});
  request.grant = common::GrantId::kNone;
}

// Refusal of a request for which the queue has no room or no time.
std::optional<Reason> CheckQueue(Context& context, const Request& request) {
  const auto kind = context.state.config.kinds.find(request.kind);
  if (kind == context.state.config.kinds.end()) return Reason::kUnknownKind;
  const WorkQueue& queue = PoolOf(context, request).queue;
  const QueueSize size = SizeOf(queue, request.workspace, request.kind);
  if (size.requests >= kind->second.max_queued ||
      size.bytes + request.bytes > kind->second.max_queued_bytes) {
    return Reason::kQueueFull;
  }
  if (context.now + EstimateWait(queue, request.workspace) > request.deadline) {
    return Reason::kDeadlineTooShort;
  }
  return std::nullopt;
}

}  // namespace

void Place(Context& context, Request& request) {
  PoolState& pool = PoolOf(context, request);
  const common::ProcessName* free =
      pool.queue.waiting > 0
          ? nullptr
          : ChooseFree(context.state.agents, request.pool, context.now);
  if (free != nullptr) {
    return DispatchTo(context, request, *free, common::GrantId::kNone);
  }
  if (const auto reason = CheckQueue(context, request)) {
    const common::Duration wait = EstimateWait(pool.queue, request.workspace);
    return GiveUp(context, request,
                  {.verdict = Verdict::kNotRun,
                   .reason = *reason,
                   .retry_after = RetryAfter(context, wait)});
  }
  Enqueue(context, request);
}

void Enqueue(Context& context, Request& request) {
  PoolState& pool = PoolOf(context, request);
  request.phase = Phase::kQueued;
  request.grant = common::GrantId::kNone;
  request.agent = common::ProcessName();
  PushBack(pool.queue, request.workspace, request.kind, request.urgency,
           ToQueued(request));
  pool.demand_changed = true;
}

void Dequeue(Context& context, const Request& request) {
  if (request.phase != Phase::kQueued) return;
  PoolState& pool = PoolOf(context, request);
  if (Remove(pool.queue, request.workspace, request.kind, request.id)) {
    pool.demand_changed = true;
  }
}

void DispatchToOwner(Context& context, Request& request) {
  const auto it = context.state.agents.agents.find(request.owner->agent);
  const bool reachable = it != context.state.agents.agents.end() &&
                         it->second.alive &&
                         it->second.incarnation == request.owner->incarnation;
  if (!reachable) {
    return GiveUp(
        context, request,
        {.verdict = Verdict::kMayHaveRun, .reason = Reason::kBoundElsewhere});
  }
  SendDispatch(context, request, it->first, "bound");
}

void OnBindingWritten(Context& context, const BindingWritten& event) {
  const auto it = context.state.requests.find(event.id);
  if (it == context.state.requests.end()) return;
  Request& request = it->second;
  const auto binding = ParseBinding(event.value);
  if (request.phase == Phase::kConfirming) {
    common::Refusal refusal = request.pending;
    if (event.outcome != StoreOutcome::kOk) {
      refusal.verdict = Verdict::kMayHaveRun;
    }
    return Refuse(context, request, refusal);
  }
  if (request.phase != Phase::kWritingBinding) return;
  if (event.outcome == StoreOutcome::kUnavailable) {
    ReturnGrant(context, request);
    return GiveUp(
        context, request,
        {.verdict = Verdict::kMayHaveRun,
         .reason = Reason::kStoreUnavailable,
         .retry_after = RetryAfter(context, std::chrono::seconds(2))});
  }
  request.binding_revision = event.revision;
  if (event.outcome == StoreOutcome::kOk) {
    const common::ProcessName agent = request.agent;
    request.owner = Owner{.agent = agent,
                          .incarnation = binding ? binding->owner.incarnation
                                                 : common::Incarnation::kNone};
    return DispatchToOwner(context, request);
  }
  // Another attempt of the same key came first.
  ReturnGrant(context, request);
  if (!binding || binding->tombstone) {
    return Refuse(context, request,
                  {.verdict = Verdict::kNotRun, .reason = Reason::kBarred});
  }
  request.owner = binding->owner;
  DispatchToOwner(context, request);
}

void OnGrant(Context& context, const common::ProcessName& agent,
             const protocol::Grant& grant) {
  RouterState& state = context.state;
  PoolState& pool = state.pools[grant.pool];
  const auto known = state.agents.agents.find(agent);
  const bool usable = known != state.agents.agents.end() &&
                      IsEligible(state.agents, known->second, context.now);
  const auto next =
      usable ? Pop(pool.queue, grant.workspace, context.now) : std::nullopt;
  pool.demand_changed = true;
  if (!next) {
    return context.Do(SendMessage{
        .to = agent, .body = protocol::GrantReturn{.grant = grant.grant}});
  }
  DispatchTo(context, state.requests.at(next->id), agent, grant.grant);
}

}  // namespace shallotbeam::routing::internal
