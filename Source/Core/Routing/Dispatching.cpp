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
  return request.isolate ||
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
  // Before the slot is taken, or the chosen agent may count as busy.
  Log(context, request, "dispatch", cause);
  NoteDispatched(state.agents, name, request.id, request.suspect);
  NoteDispatch(state.retry_budgets[request.pool], state.options.retries);
  context.Do(DispatchRequest{.id = request.id,
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
      .owner = {
          .agent = name,
          .incarnation = context.state.agents.agents.at(name).incarnation}};
  context.Do(WriteBinding{.id = request.id,
                          .store_key = request.store_key,
                          .expected_revision = request.binding_revision,
                          .value = NextBinding(request, binding)});
}

WaitEstimate WaitOf(Context& context, const Request& request) {
  return EstimateWait(PoolOf(context, request).queue, request.workspace,
                      request.kind, request.urgency, context.now);
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

// An agent serves the pool, or did so a short while ago.
bool HasUpstream(const Context& context, const PoolState& pool) {
  const RouterState& state = context.state;
  const common::TimePoint served = std::max(pool.served, state.started);
  return context.now - served < state.options.outage_bridge;
}

void RefuseNoUpstream(Context& context, Request& request) {
  constexpr common::Duration kRetryAfter = std::chrono::seconds(2);
  GiveUp(context, request,
         {.verdict = Verdict::kNotRun,
          .reason = Reason::kNoUpstream,
          .retry_after = RetryAfter(context, kRetryAfter)});
}

// The request failed at some agents, and the pool has others.
bool MustAvoidFailed(const Context& context, const Request& request) {
  const common::Duration limit = context.state.options.avoid_failed;
  return !request.failed_at.empty() && context.now - request.failed < limit &&
         HasOther(context.state.agents, request.pool, request.failed_at,
                  context.now);
}

const common::ProcessName* FindFree(Context& context, const Request& request) {
  RouterState& state = context.state;
  if (PoolOf(context, request).queue.waiting > 0) return nullptr;
  const common::ProcessName* free = ChooseFree(
      state.agents, request.pool, context.now, {.agents = request.failed_at});
  if (free != nullptr || MustAvoidFailed(context, request)) return free;
  return ChooseFree(state.agents, request.pool, context.now);
}

const common::ProcessName* FindForSuspect(const Context& context,
                                          const Request& request) {
  const RouterState& state = context.state;
  std::set<common::ProcessName> crashed_at =
      suspects::CrashedAt(state.suspects, request.fingerprint);
  crashed_at.insert(request.crashed_at.begin(), request.crashed_at.end());
  return ChooseForSuspect(state.agents, request.pool, request.fingerprint,
                          crashed_at, context.now);
}

// Sends a suspect to the agent that runs all its copies, where it may wait for
// a slot. One that this router can't send yet is held back, because it would
// only be refused there.
void PlaceSuspect(Context& context, Request& request,
                  const common::ProcessName& agent) {
  if (context.state.agents.agents.at(agent).suspects_in_flight > 0) {
    return Delay(context, request);
  }
  DispatchTo(context, request, agent, common::GrantId::kNone);
}

// Ends, delays or sends elsewhere a queued request that may not go to `agent`.
bool HoldBack(Context& context, Request& request,
              const common::ProcessName& agent) {
  RouterState& state = context.state;
  if (context.now >= request.deadline) {
    Abandon(context, request, Reason::kDeadlineExceeded);
    return true;
  }
  const common::Fingerprint fingerprint = request.fingerprint;
  if (suspects::IsBanned(state.suspects, fingerprint, context.now)) {
    GiveUp(context, request,
           {.verdict =
                request.idempotent ? Verdict::kNotRun : Verdict::kMayHaveRun,
            .reason = Reason::kPoisonous});
    return true;
  }
  if (!IsSuspect(context, request)) return false;
  const common::ProcessName* chosen = FindForSuspect(context, request);
  if (chosen == nullptr) {
    Delay(context, request);
    return true;
  }
  const bool here =
      *chosen == agent && state.agents.agents.at(agent).suspects_in_flight == 0;
  if (!here) PlaceSuspect(context, request, *chosen);
  return !here;
}

// A lost attempt may have crashed its upstream. The agent's report must arrive
// before the next attempt, or that one ignores what is suspected.
bool PauseAfterLoss(Context& context, Request& request) {
  if (!request.may_have_run || request.paused_attempt == request.attempt) {
    return false;
  }
  request.paused_attempt = request.attempt;
  Delay(context, request);
  return true;
}

// The workspace with the smallest virtual time among those with requests
// queued.
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
  context.Do(
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
  binding.write = ++request.writes;
  binding.epoch = request.binding_epoch + (binding.tombstone ? 1 : 0);
  request.written = FormatBinding(binding);
  return request.written;
}

void Place(Context& context, Request& request) {
  if (IsSuspect(context, request)) {
    if (const common::ProcessName* agent = FindForSuspect(context, request)) {
      return PlaceSuspect(context, request, *agent);
    }
  }
  if (const common::ProcessName* free = FindFree(context, request)) {
    return DispatchTo(context, request, *free, common::GrantId::kNone);
  }
  if (!HasUpstream(context, PoolOf(context, request))) {
    return RefuseNoUpstream(context, request);
  }
  if (const auto reason = CheckQueue(context, request)) {
    return GiveUp(
        context, request,
        {.verdict = Verdict::kNotRun,
         .reason = *reason,
         .retry_after = RetryAfter(context, WaitOf(context, request).wait)});
  }
  Enqueue(context, request);
}

void Delay(Context& context, Request& request) {
  const RouterOptions& options = context.state.options;
  request.last_pause = std::clamp(request.last_pause * 2, options.first_delay,
                                  options.last_delay);
  request.phase = Phase::kDelayed;
  request.grant = common::GrantId::kNone;
  Arm(context, request,
      std::min(request.deadline, context.now + request.last_pause));
}

void Resume(Context& context, Request& request) {
  Arm(context, request, request.deadline);
  if (request.owner) return DispatchToOwner(context, request);
  if (IsSuspect(context, request)) {
    const common::ProcessName* agent = FindForSuspect(context, request);
    if (agent == nullptr) return Enqueue(context, request);
    return PlaceSuspect(context, request, *agent);
  }
  const common::ProcessName* free = FindFree(context, request);
  if (free == nullptr) return Enqueue(context, request);
  DispatchTo(context, request, *free, common::GrantId::kNone);
}

void RefuseStranded(Context& context) {
  std::vector<common::RequestId> stranded;
  for (const auto& [name, pool] : context.state.pools) {
    if (pool.queue.waiting == 0 || HasUpstream(context, pool)) continue;
    for (const auto& [workspace, queue] : pool.queue.workspaces) {
      for (const auto& [kind, requests] : queue.kinds) {
        for (const QueuedRequest& it : requests.requests) {
          stranded.push_back(it.id);
        }
      }
    }
  }
  for (const common::RequestId id : stranded) {
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
  std::vector<common::RequestId> kept;
  for (auto& [name, pool] : state.pools) {
    while (pool.queue.waiting > 0) {
      const common::ProcessName* free =
          ChooseFree(state.agents, name, context.now, {.contended = true});
      if (free == nullptr) break;
      const auto next =
          Pop(pool.queue, NextWorkspace(state, name, pool.queue), context.now);
      pool.demand_changed = true;
      Request& request = state.requests.at(next->id);
      if (HoldBack(context, request, *free)) continue;
      if (MustAvoidFailed(context, request)) {
        free = ChooseFree(state.agents, name, context.now,
                          {.agents = request.failed_at, .contended = true});
      }
      if (free == nullptr) {
        kept.push_back(request.id);
        continue;
      }
      if (PauseAfterLoss(context, request)) continue;
      DispatchTo(context, request, *free, common::GrantId::kNone);
    }
  }
  // They wait for a slot at an agent that has not failed them.
  for (const common::RequestId id : kept) {
    Enqueue(context, state.requests.at(id));
  }
}

void DispatchToOwner(Context& context, Request& request) {
  // Another router may have read the binding, even one that this request wrote
  // a moment ago, and dispatched by it: only the owner could tell.
  if (!IsReachable(context, *request.owner)) {
    return GiveUp(
        context, request,
        {.verdict = Verdict::kMayHaveRun, .reason = Reason::kBoundElsewhere});
  }
  const common::ProcessName agent = request.owner->agent;
  SendDispatch(context, request, agent, "bound");
}

void OnBindingWritten(Context& context, const BindingWritten& event) {
  NoteStoreRevision(context.state, event.revision);
  const auto it = context.state.requests.find(event.id);
  if (it == context.state.requests.end()) return;
  Request& request = it->second;
  const bool of_other_write =
      event.outcome == StoreOutcome::kOk && event.value != request.written;
  if (of_other_write) return;
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
    // Another attempt was refused as not run, which rules this one out too.
    return GiveUp(context, request,
                  {.verdict = Verdict::kNotRun, .reason = Reason::kBarred});
  }
  if (refused_meanwhile) {
    // The key was refused as not run, then bound for a later send.
    return Refuse(
        context, request,
        {.verdict = Verdict::kMayHaveRun,
         .reason = Reason::kKeyInProgress,
         .retry_after = RetryAfter(context, std::chrono::seconds(1))});
  }
  request.owner = binding->owner;
  if (context.now >= request.deadline) {
    ReturnGrant(context, request);
    return GiveUp(
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
  std::vector<common::RequestId> kept;
  bool dispatched = false;
  while (usable && !dispatched) {
    const auto next = Pop(pool->second.queue, grant.workspace, context.now);
    pool->second.demand_changed = true;
    if (!next) break;
    Request& request = state.requests.at(next->id);
    if (request.failed_at.contains(agent) &&
        MustAvoidFailed(context, request)) {
      kept.push_back(request.id);
      continue;
    }
    if (HoldBack(context, request, agent)) continue;
    DispatchTo(context, request, agent, grant.grant);
    dispatched = true;
  }
  // They wait for a grant of another agent.
  for (const common::RequestId id : kept) {
    Enqueue(context, state.requests.at(id));
  }
  if (dispatched) return;
  context.Do(SendMessage{.to = agent,
                         .body = protocol::GrantReturn{.grant = grant.grant}});
}

}  // namespace shallotbeam::routing::internal
