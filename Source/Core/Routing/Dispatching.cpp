#include <fmt/format.h>

#include <algorithm>

#include "Routing/Internal.h"

namespace shallotbeam::routing::internal {

namespace {

using common::Reason;
using common::Verdict;
using std::chrono::milliseconds;

PoolState& PoolOf(Context& context, const Request& request) {
  return context.state.pools[request.pool];
}

QueuedRequest ToQueued(const Request& request) {
  return {.id = request.id,
          .arrived = request.arrived,
          .deadline = request.deadline,
          .bytes = request.bytes};
}

bool IsSuspect(const Context& context, const Request& request) {
  return request.known_suspect ||
         suspects::IsSuspect(context.state.suspects, request.fingerprint,
                             context.now);
}

void SendDispatch(Context& context, Request& request,
                  const common::ProcessName& name, std::string_view cause) {
  RouterState& state = context.state;
  const Agent& agent = state.agents.agents.at(name);
  ++request.attempt;
  request.agent = name;
  request.phase = Phase::kDispatched;
  request.suspect = IsSuspect(context, request);
  // Logged before the slot is taken; otherwise the chosen agent might be
  // counted as busy.
  Log(context, request, "dispatch", cause);
  RecordAttempt(state.agents, name, request.id, request.suspect);
  RecordDispatch(state.retry_budgets[request.pool], state.options.retries);
  context.Emit(DispatchRequest{.id = request.id,
                               .attempt = request.attempt,
                               .agent = name,
                               .endpoint = agent.data,
                               .grant = request.grant,
                               .bound_to = request.owner
                                               ? request.owner->incarnation
                                               : common::Incarnation::kNone,
                               .binding_revision = request.binding_revision,
                               .suspect = request.suspect,
                               .time_left = request.deadline - context.now});
}

// Dispatches the request to an agent that has a slot for it. A caller's own key
// is first bound to the agent.
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
      .owner = {
          .agent = name,
          .incarnation = context.state.agents.agents.at(name).incarnation}};
  context.Emit(WriteBinding{.id = request.id,
                            .store_key = request.store_key,
                            .expected_revision = request.binding_revision,
                            .value = NextBinding(request, binding)});
}

WaitEstimate WaitOf(Context& context, const Request& request) {
  return EstimateWait(PoolOf(context, request).queue, request.workspace,
                      request.kind, request.urgency, context.now);
}

// Returns the reason to refuse the request if the queue has no room for it or
// the estimated wait exceeds its deadline.
std::optional<Reason> CheckQueue(Context& context, const Request& request) {
  const auto kind = context.state.config.kinds.find(request.kind);
  if (kind == context.state.config.kinds.end()) return Reason::kUnknownKind;
  const WorkQueue& queue = PoolOf(context, request).queue;
  const QueueSize size = SizeOf(queue, request.workspace, request.kind);
  if (size.requests >= kind->second.max_queued ||
      size.bytes + request.bytes > kind->second.max_queued_bytes) {
    return Reason::kQueueFull;
  }
  const WaitEstimate estimate = WaitOf(context, request);
  if (context.now + estimate.wait > request.deadline) {
    Log(context, request, "wait_estimate",
        common::ToString(Reason::kDeadlineTooShort),
        fmt::format(" wait_ms={} time_left_ms={} dispatches={} interval_ms={} "
                    "stall_ms={}",
                    estimate.wait / milliseconds(1),
                    (request.deadline - context.now) / milliseconds(1),
                    estimate.dispatches, estimate.interval / milliseconds(1),
                    estimate.stall / milliseconds(1)));
    return Reason::kDeadlineTooShort;
  }
  return std::nullopt;
}

// Whether an agent serves the pool or did so within `no_upstream_grace`.
bool HasRecentUpstream(const Context& context, const PoolState& pool) {
  const RouterState& state = context.state;
  const common::TimePoint last_served =
      std::max(pool.last_served, state.started);
  return context.now - last_served < state.options.no_upstream_grace;
}

void RefuseNoUpstream(Context& context, Request& request) {
  constexpr common::Duration kRetryAfter = std::chrono::seconds(2);
  ConfirmAndRefuse(context, request,
                   {.verdict = Verdict::kNotRun,
                    .reason = Reason::kNoUpstream,
                    .retry_after = RetryAfter(context, kRetryAfter)});
}

// Whether the request failed at some agents a short while ago and the pool has
// other eligible agents.
bool MustAvoidFailed(const Context& context, const Request& request) {
  const common::Duration limit = context.state.options.failed_agent_avoidance;
  return !request.failed_agents.empty() &&
         context.now - request.last_failure < limit &&
         HasEligibleExcept(context.state.agents, request.pool,
                           request.failed_agents, context.now);
}

const common::ProcessName* FindFree(Context& context, const Request& request) {
  RouterState& state = context.state;
  if (PoolOf(context, request).queue.waiting > 0) return nullptr;
  const common::ProcessName* free =
      ChooseFree(state.agents, request.pool, context.now,
                 {.agents = request.failed_agents});
  if (free != nullptr || MustAvoidFailed(context, request)) return free;
  return ChooseFree(state.agents, request.pool, context.now);
}

const common::ProcessName* FindForSuspect(const Context& context,
                                          const Request& request) {
  const RouterState& state = context.state;
  std::set<common::ProcessName> crashed_agents =
      suspects::CrashedAgents(state.suspects, request.fingerprint);
  crashed_agents.insert(request.crashed_agents.begin(),
                        request.crashed_agents.end());
  return ChooseForSuspect(state.agents, request.pool, request.fingerprint,
                          crashed_agents, context.now);
}

// Sends a suspect, that is, a request that may have crashed an upstream, to the
// agent that runs all copies of it, where it may wait for a slot. If this
// router already has a suspect in flight there, the request is delayed, because
// the agent would only refuse it.
void DispatchOrDelaySuspect(Context& context, Request& request,
                            const common::ProcessName& agent) {
  if (context.state.agents.agents.at(agent).suspects_in_flight > 0) {
    return Delay(context, request);
  }
  DispatchTo(context, request, agent, common::GrantId::kNone);
}

// Handles a queued request that may not go to `agent`: refuses it, delays it or
// sends it to another agent. Returns false if the request may go to `agent`.
bool DivertIfIneligible(Context& context, Request& request,
                        const common::ProcessName& agent) {
  RouterState& state = context.state;
  if (context.now >= request.deadline) {
    CancelRequest(context, request, Reason::kDeadlineExceeded);
    return true;
  }
  const common::Fingerprint fingerprint = request.fingerprint;
  if (suspects::IsBanned(state.suspects, fingerprint, context.now)) {
    ConfirmAndRefuse(context, request,
                     {.verdict = request.idempotent ? Verdict::kNotRun
                                                    : Verdict::kMayHaveRun,
                      .reason = Reason::kCrashesUpstreams});
    return true;
  }
  if (!IsSuspect(context, request)) return false;
  const common::ProcessName* chosen = FindForSuspect(context, request);
  if (chosen == nullptr) {
    Delay(context, request);
    return true;
  }
  const bool may_run_here =
      *chosen == agent && state.agents.agents.at(agent).suspects_in_flight == 0;
  if (!may_run_here) DispatchOrDelaySuspect(context, request, *chosen);
  return !may_run_here;
}

// Delays a request after a lost attempt, once for each attempt. The lost
// attempt may have crashed its upstream. The agent's report of the crash must
// arrive before the next attempt; otherwise that attempt would not be treated
// as a suspect.
bool DelayAfterLostAttempt(Context& context, Request& request) {
  if (!request.may_have_run || request.delayed_attempt == request.attempt) {
    return false;
  }
  request.delayed_attempt = request.attempt;
  Delay(context, request);
  return true;
}

// Returns the workspace with the smallest virtual time among those with queued
// requests.
common::WorkspaceName NextWorkspace(const RouterState& state,
                                    const common::PoolName& name,
                                    const WorkQueue& queue) {
  const common::WorkspaceName* best = nullptr;
  double best_time = 0;
  for (const auto& [workspace, it] : queue.workspaces) {
    if (it.waiting == 0) continue;
    const double time = fairness::VirtualTime(state.ledger, {name, workspace});
    if (best != nullptr && time >= best_time) continue;
    best = &workspace;
    best_time = time;
  }
  return *best;
}

}  // namespace

void ReturnGrant(Context& context, Request& request) {
  if (request.grant == common::GrantId::kNone) return;
  context.Emit(
      SendMessage{.to = request.agent,
                  .body = protocol::GrantReturn{.grant = request.grant}});
  request.grant = common::GrantId::kNone;
}

bool IsReachable(const Context& context, const Owner& owner) {
  const auto it = context.state.agents.agents.find(owner.agent);
  return it != context.state.agents.agents.end() && it->second.alive &&
         it->second.incarnation == owner.incarnation;
}

std::string NextBinding(Request& request, Binding binding) {
  binding.written_by = request.id;
  binding.write = ++request.write_count;
  binding.epoch = request.binding_epoch + (binding.tombstone ? 1 : 0);
  request.last_written = FormatBinding(binding);
  return request.last_written;
}

void DispatchOrEnqueue(Context& context, Request& request) {
  if (IsSuspect(context, request)) {
    if (const common::ProcessName* agent = FindForSuspect(context, request)) {
      return DispatchOrDelaySuspect(context, request, *agent);
    }
  }
  if (const common::ProcessName* free = FindFree(context, request)) {
    return DispatchTo(context, request, *free, common::GrantId::kNone);
  }
  if (!HasRecentUpstream(context, PoolOf(context, request))) {
    return RefuseNoUpstream(context, request);
  }
  if (const auto reason = CheckQueue(context, request)) {
    return ConfirmAndRefuse(
        context, request,
        {.verdict = Verdict::kNotRun,
         .reason = *reason,
         .retry_after = RetryAfter(context, WaitOf(context, request).wait)});
  }
  Enqueue(context, request);
}

void Delay(Context& context, Request& request) {
  const RouterOptions& options = context.state.options;
  request.backoff = std::clamp(request.backoff * 2, options.initial_backoff,
                               options.max_backoff);
  request.phase = Phase::kDelayed;
  request.grant = common::GrantId::kNone;
  ArmTimer(context, request,
           std::min(request.deadline, context.now + request.backoff));
}

void Redispatch(Context& context, Request& request) {
  ArmTimer(context, request, request.deadline);
  if (request.owner) return DispatchToOwner(context, request);
  if (IsSuspect(context, request)) {
    const common::ProcessName* agent = FindForSuspect(context, request);
    if (agent == nullptr) return Enqueue(context, request);
    return DispatchOrDelaySuspect(context, request, *agent);
  }
  const common::ProcessName* free = FindFree(context, request);
  if (free == nullptr) return Enqueue(context, request);
  DispatchTo(context, request, *free, common::GrantId::kNone);
}

void RefuseQueuedWithoutUpstream(Context& context) {
  std::vector<common::RequestId> to_refuse;
  for (const auto& [name, pool] : context.state.pools) {
    if (pool.queue.waiting == 0 || HasRecentUpstream(context, pool)) continue;
    for (const auto& [workspace, queue] : pool.queue.workspaces) {
      for (const auto& [kind, requests] : queue.kinds) {
        for (const QueuedRequest& it : requests.requests) {
          to_refuse.push_back(it.id);
        }
      }
    }
  }
  for (const common::RequestId id : to_refuse) {
    RefuseNoUpstream(context, context.state.requests.at(id));
  }
}

void Enqueue(Context& context, Request& request) {
  PoolState& pool = PoolOf(context, request);
  request.phase = Phase::kQueued;
  request.grant = common::GrantId::kNone;
  request.agent = common::ProcessName();
  Push(pool.queue, request.workspace, request.kind, request.urgency,
       ToQueued(request), context.now);
  pool.demand_changed = true;
}

void Dequeue(Context& context, const Request& request) {
  if (request.phase != Phase::kQueued) return;
  PoolState& pool = PoolOf(context, request);
  if (Remove(pool.queue, request.workspace, request.kind, request.id)) {
    pool.demand_changed = true;
  }
}

void DispatchQueued(Context& context) {
  RouterState& state = context.state;
  std::vector<common::RequestId> requeued;
  for (auto& [name, pool] : state.pools) {
    while (pool.queue.waiting > 0) {
      const common::ProcessName* free =
          ChooseFree(state.agents, name, context.now, {.contended = true});
      if (free == nullptr) break;
      const auto next =
          Pop(pool.queue, NextWorkspace(state, name, pool.queue), context.now);
      pool.demand_changed = true;
      Request& request = state.requests.at(next->id);
      if (DivertIfIneligible(context, request, *free)) continue;
      if (MustAvoidFailed(context, request)) {
        free = ChooseFree(state.agents, name, context.now,
                          {.agents = request.failed_agents, .contended = true});
      }
      if (free == nullptr) {
        requeued.push_back(request.id);
        continue;
      }
      if (DelayAfterLostAttempt(context, request)) continue;
      DispatchTo(context, request, *free, common::GrantId::kNone);
    }
  }
  // These requests wait for a slot at an agent where they have not failed.
  for (const common::RequestId id : requeued) {
    Enqueue(context, state.requests.at(id));
  }
}

void DispatchToOwner(Context& context, Request& request) {
  // Another router may have read the binding, even one that this request wrote
  // a moment ago, and dispatched the key according to it. Only the owner knows
  // whether the key ran.
  if (!IsReachable(context, *request.owner)) {
    return ConfirmAndRefuse(
        context, request,
        {.verdict = Verdict::kMayHaveRun, .reason = Reason::kBoundElsewhere});
  }
  const common::ProcessName agent = request.owner->agent;
  SendDispatch(context, request, agent, "bound");
}

void OnBindingWritten(Context& context, const BindingWritten& event) {
  RecordStoreRevision(context.state, event.revision);
  const auto it = context.state.requests.find(event.id);
  if (it == context.state.requests.end()) return;
  Request& request = it->second;
  const bool is_reply_to_earlier_write =
      event.outcome == StoreOutcome::kOk && event.value != request.last_written;
  if (is_reply_to_earlier_write) return;
  if (request.phase == Phase::kWritingTombstone) {
    return OnTombstoneWritten(context, request, event);
  }
  if (request.phase != Phase::kWritingBinding) return;
  const auto binding = ParseBinding(event.value);
  const bool known = event.outcome != StoreOutcome::kUnavailable && binding;
  if (!known) {
    ReturnGrant(context, request);
    return Refuse(
        context, request,
        {.verdict = Verdict::kMayHaveRun,
         .reason = Reason::kStoreUnavailable,
         .retry_after = RetryAfter(context, std::chrono::seconds(2))});
  }
  request.binding_revision = event.revision;
  if (event.outcome == StoreOutcome::kConflict) ReturnGrant(context, request);
  const bool refused_meanwhile = binding->epoch > request.binding_epoch;
  request.binding_epoch = binding->epoch;
  if (binding->tombstone) {
    // Another attempt was refused as not run, so this attempt must not run
    // either.
    return ConfirmAndRefuse(
        context, request,
        {.verdict = Verdict::kNotRun, .reason = Reason::kKeyRevoked});
  }
  if (refused_meanwhile) {
    // The key was refused as not run and then bound again for a later send.
    return Refuse(
        context, request,
        {.verdict = Verdict::kMayHaveRun,
         .reason = Reason::kKeyInProgress,
         .retry_after = RetryAfter(context, std::chrono::seconds(1))});
  }
  request.owner = binding->owner;
  if (context.now >= request.deadline) {
    ReturnGrant(context, request);
    return ConfirmAndRefuse(
        context, request,
        {.verdict = Verdict::kNotRun, .reason = Reason::kDeadlineExceeded});
  }
  DispatchToOwner(context, request);
}

void OnGrant(Context& context, const common::ProcessName& agent,
             const protocol::Grant& grant) {
  RouterState& state = context.state;
  const auto pool = state.pools.find(grant.pool);
  const auto known = state.agents.agents.find(agent);
  const bool usable = pool != state.pools.end() &&
                      known != state.agents.agents.end() &&
                      IsEligible(state.agents, known->second, context.now);
  std::vector<common::RequestId> requeued;
  bool dispatched = false;
  while (usable && !dispatched) {
    const auto next = Pop(pool->second.queue, grant.workspace, context.now);
    pool->second.demand_changed = true;
    if (!next) break;
    Request& request = state.requests.at(next->id);
    if (request.failed_agents.contains(agent) &&
        MustAvoidFailed(context, request)) {
      requeued.push_back(request.id);
      continue;
    }
    if (DivertIfIneligible(context, request, agent)) continue;
    DispatchTo(context, request, agent, grant.grant);
    dispatched = true;
  }
  // These requests wait for a grant from another agent.
  for (const common::RequestId id : requeued) {
    Enqueue(context, state.requests.at(id));
  }
  if (dispatched) return;
  context.Emit(SendMessage{
      .to = agent, .body = protocol::GrantReturn{.grant = grant.grant}});
}

}  // namespace shallotbeam::routing::internal
