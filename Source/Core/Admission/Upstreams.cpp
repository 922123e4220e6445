#include <algorithm>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

using common::Reason;
using common::Refusal;
using common::Verdict;

constexpr double kPromptTokensPerCost = 8;

bool IsModelPool(const AgentState& state) {
  const auto it = state.config.pools.find(state.options.pool);
  return it == state.config.pools.end() ||
         it->second.type == config::PoolType::kModel;
}

common::Cost CostOf(const AgentState& state, std::uint64_t prompt_tokens,
                    std::uint64_t generated_tokens) {
  if (!IsModelPool(state)) return 1;
  return static_cast<double>(prompt_tokens) / kPromptTokensPerCost +
         static_cast<double>(generated_tokens);
}

// Replaces the estimate that was charged by the true cost.
void Settle(Context& context, Attempt& attempt, common::Cost cost) {
  Charge(context, attempt.workspace, cost - attempt.charged);
  attempt.charged = cost;
}

void HoldSlot(Context& context) {
  AgentState& state = context.state;
  state.held_slots.insert(context.now + state.error_backoff);
  state.error_backoff =
      std::min(2 * state.error_backoff, state.options.max_error_backoff);
}

void ForgetCancelled(Context& context) {
  auto& cancelled = context.state.cancelled;
  const common::Duration grace = context.state.options.cancel_grace;
  while (!cancelled.empty() && context.now - cancelled.front().first >= grace) {
    cancelled.pop_front();
  }
}

void Cancel(Context& context, const Attempt& attempt) {
  context.state.cancelled.emplace_back(context.now, attempt.fingerprint);
  context.Do(CancelUpstream{.id = attempt.id});
}

// The upstream is gone: everything in flight there is a suspect.
void NoteUpstreamLost(Context& context) {
  AgentState& state = context.state;
  if (!state.upstream_up) return;
  state.upstream_up = false;
  std::vector<common::Fingerprint> in_flight;
  for (const auto& [id, attempt] : state.running) {
    in_flight.push_back(attempt.fingerprint);
  }
  ForgetCancelled(context);
  for (const auto& [at, fingerprint] : state.cancelled) {
    in_flight.push_back(fingerprint);
  }
  SendToRouters(context,
                suspects::RecordCrash(state.suspects, in_flight, context.now,
                                      state.options.name));
  // Routers can place these elsewhere.
  ReturnWaiting(context, Reason::kUpstreamFailed);
  DropGrants(context, {});
  SendHeartbeats(context);
}

void Answer(Context& context, const Attempt& attempt, const Refusal& refusal) {
  Log(context, attempt, "reject", common::ToString(refusal.reason));
  context.Do(RejectOffer{.id = attempt.id, .refusal = refusal});
}

common::Cost CostOfEnd(const AgentState& state, const Attempt& attempt,
                       const UpstreamEnded& event) {
  const std::uint64_t generated =
      std::max(event.generated_tokens, attempt.generated_tokens);
  switch (event.outcome) {
    case UpstreamOutcome::kRefused:
    case UpstreamOutcome::kNotSent:
      return 0;
    default:
      return CostOf(state, event.prompt_tokens, generated);
  }
}

void Measure(AgentState& state, const Attempt& attempt,
             const UpstreamEnded& event, int running, common::TimePoint now) {
  if (!IsModelPool(state)) {
    return NotePace(state.limit, {.running = running, .begun = attempt.started},
                    0, now);
  }
  // A response that came in one piece tells neither its time to first token nor
  // the time between tokens.
  const common::Duration streamed = now - attempt.started - attempt.first_token;
  if (attempt.first_token == common::Duration() ||
      streamed * 10 < attempt.first_token) {
    return;
  }
  const std::uint64_t tokens =
      event.generated_tokens -
      std::min(event.generated_tokens, attempt.generated_tokens);
  NotePace(state.limit, {.running = running, .begun = attempt.progressed},
           tokens, now);
  NoteFirstToken(state.limit, {.running = running, .begun = attempt.started},
                 event.prompt_tokens, attempt.first_token, now);
}

void OnCompleted(Context& context, const Attempt& attempt,
                 const UpstreamEnded& event, int running) {
  AgentState& state = context.state;
  state.error_backoff = state.options.first_error_backoff;
  const protocol::Suspects cleared =
      suspects::NoteCompleted(state.suspects, attempt.fingerprint, context.now);
  if (!cleared.rows.empty()) SendToRouters(context, cleared);
  NoteCost(state, attempt, attempt.charged);
  Measure(state, attempt, event, running, context.now);
  if (attempt.key.empty()) return;
  for (const std::string& key :
       NoteDone(state.keys, attempt.key, event.response_bytes, context.now)) {
    context.Do(ForgetResult{.key = key});
  }
}

void OnNotRun(Context& context, const Attempt& attempt, Reason reason) {
  if (!attempt.key.empty()) {
    NoteNotRun(context.state.keys, attempt.key, context.now);
  }
  Answer(context, attempt, {.verdict = Verdict::kNotRun, .reason = reason});
}

}  // namespace

void OnResponded(Context& context, const UpstreamResponded& event) {
  const auto it = context.state.running.find(event.id);
  if (it == context.state.running.end()) return;
  // The time of a plain call includes the wait for its first byte.
  if (!IsModelPool(context.state)) return;
  Attempt& attempt = it->second;
  attempt.first_token = context.now - attempt.started;
  attempt.progressed = context.now;
}

void OnProgress(Context& context, const UpstreamProgressed& event) {
  AgentState& state = context.state;
  const auto it = state.running.find(event.id);
  if (it == state.running.end()) return;
  Attempt& attempt = it->second;
  if (event.generated_tokens <= attempt.generated_tokens) return;
  const std::uint64_t tokens =
      event.generated_tokens - attempt.generated_tokens;
  if (attempt.first_token > common::Duration()) {
    NotePace(state.limit,
             {.running = static_cast<int>(state.running.size()),
              .begun = attempt.progressed},
             tokens, context.now);
  }
  attempt.progressed = context.now;
  attempt.generated_tokens = event.generated_tokens;
  const common::Cost cost = CostOf(state, 0, event.generated_tokens);
  if (cost <= attempt.charged) return;
  NoteCostSoFar(state, attempt, cost);
  Charge(context, attempt.workspace, cost - attempt.charged);
  attempt.charged = cost;
}

void CancelRunning(Context& context, const AttemptId& id) {
  AgentState& state = context.state;
  const auto it = state.running.find(id);
  Attempt attempt = std::move(it->second);
  state.running.erase(it);
  // What was generated is paid for, the rest of the estimate is returned.
  Settle(context, attempt, CostOf(state, 0, attempt.generated_tokens));
  // The cost of a part is better than none, for a workspace whose callers
  // always leave early. Later parts would pull the mean of whole requests down.
  if (attempt.generated_tokens > 0 &&
      !state.estimates.contains({attempt.workspace, {}})) {
    NoteCost(state, attempt, attempt.charged);
  }
  Cancel(context, attempt);
}

void OnUpstreamEnded(Context& context, const UpstreamEnded& event) {
  AgentState& state = context.state;
  const auto it = state.running.find(event.id);
  if (it == state.running.end()) return;
  const int running = static_cast<int>(state.running.size());
  if (event.outcome == UpstreamOutcome::kBroken) NoteUpstreamLost(context);
  Attempt attempt = std::move(it->second);
  state.running.erase(it);
  Settle(context, attempt, CostOfEnd(state, attempt, event));
  Refusal failed{.verdict = Verdict::kMayHaveRun,
                 .reason = Reason::kUpstreamFailed};
  switch (event.outcome) {
    case UpstreamOutcome::kCompleted:
      return OnCompleted(context, attempt, event, running);
    case UpstreamOutcome::kRefused:
      NoteOverload(state.limit, running, context.now);
      HoldSlot(context);
      return OnNotRun(context, attempt, Reason::kUpstreamRefused);
    case UpstreamOutcome::kNotSent:
      NoteUpstreamLost(context);
      return OnNotRun(context, attempt, Reason::kUpstreamFailed);
    case UpstreamOutcome::kTimedOut:
      // An upstream that accepts requests and never answers looks like this.
      if (attempt.generated_tokens == 0) {
        NoteOverload(state.limit, running, context.now);
      }
      [[fallthrough]];
    case UpstreamOutcome::kError:
      HoldSlot(context);
      break;
    case UpstreamOutcome::kBroken:
      failed.reason = Reason::kUpstreamCrashed;
      break;
  }
  if (!attempt.key.empty()) NoteUnknown(state.keys, attempt.key, context.now);
  Answer(context, attempt, failed);
}

void OnProbed(Context& context, const UpstreamProbed& event) {
  AgentState& state = context.state;
  if (state.upstream_up || !event.reachable) return;
  state.upstream_up = true;
  SendHeartbeats(context);
}

void ProbeIfDown(Context& context) {
  AgentState& state = context.state;
  if (state.upstream_up) return;
  if (context.now - state.probed < state.options.probe_interval) return;
  state.probed = context.now;
  context.Do(ProbeUpstream{});
}

void ExpireAttempts(Context& context) {
  AgentState& state = context.state;
  std::erase_if(state.held_slots,
                [&](common::TimePoint end) { return end <= context.now; });
  for (auto it = state.waiting.begin(); it != state.waiting.end();) {
    if (it->deadline > context.now) {
      ++it;
      continue;
    }
    const auto late = it++;
    RejectNotRun(context, TakeWaiting(context, late),
                 Reason::kDeadlineExceeded);
  }
  ForgetCancelled(context);
  std::vector<AttemptId> late;
  for (const auto& [id, attempt] : state.running) {
    if (attempt.deadline <= context.now) late.push_back(id);
  }
  for (const AttemptId& id : late) {
    Cancel(context, state.running.at(id));
    OnUpstreamEnded(context, {.id = id, .outcome = UpstreamOutcome::kTimedOut});
  }
}

}  // namespace shallotbeam::admission::internal
