#include <algorithm>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

using common::Reason;
using common::Refusal;
using common::Verdict;

// Number of prompt tokens that cost as much as one generated token.
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

// Replaces the charged estimate by the actual cost.
void ChargeActualCost(Context& context, Attempt& attempt, common::Cost cost) {
  Charge(context, attempt.workspace, cost - attempt.charged);
  attempt.charged = cost;
}

// Keeps one slot empty for the current back-off time, which doubles with each
// error.
void BackOffSlot(Context& context) {
  AgentState& state = context.state;
  state.backoff_slots.insert(context.now + state.error_backoff);
  state.error_backoff =
      std::min(2 * state.error_backoff, state.options.max_error_backoff);
}

void ExpireCancelled(Context& context) {
  auto& cancelled = context.state.cancelled;
  const common::Duration grace = context.state.options.cancel_grace;
  while (!cancelled.empty() && context.now - cancelled.front().first >= grace) {
    cancelled.pop_front();
  }
}

void Cancel(Context& context, const Attempt& attempt) {
  context.state.cancelled.emplace_back(context.now, attempt.fingerprint);
  context.Emit(CancelUpstream{.id = attempt.id});
}

// The upstream crashed or is unreachable: all requests in flight there become
// suspects.
void OnUpstreamLost(Context& context) {
  AgentState& state = context.state;
  if (!state.upstream_up) return;
  state.upstream_up = false;
  std::vector<common::Fingerprint> in_flight;
  for (const auto& [id, attempt] : state.running) {
    in_flight.push_back(attempt.fingerprint);
  }
  ExpireCancelled(context);
  for (const auto& [at, fingerprint] : state.cancelled) {
    in_flight.push_back(fingerprint);
  }
  SendToRouters(context,
                suspects::RecordCrash(state.suspects, in_flight, context.now,
                                      state.options.name));
  // Routers can dispatch these requests to other agents.
  RejectAllWaiting(context, Reason::kUpstreamFailed);
  ReleaseGrants(context, {});
  SendHeartbeats(context);
}

void Reject(Context& context, const Attempt& attempt, const Refusal& refusal) {
  Log(context, attempt, "reject", common::ToString(refusal.reason));
  context.Emit(RejectOffer{.id = attempt.id, .refusal = refusal});
}

common::Cost FinalCost(const AgentState& state, const Attempt& attempt,
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

void RecordLatency(AgentState& state, const Attempt& attempt,
                   const UpstreamEnded& event, int running,
                   common::TimePoint now) {
  if (!IsModelPool(state)) {
    return RecordUnitTime(state.limit,
                          {.running = running, .period_start = attempt.started},
                          0, now);
  }
  // A response that arrived in one chunk shows neither the time to first token
  // nor the time between tokens.
  const common::Duration streamed = now - attempt.started - attempt.first_token;
  if (attempt.first_token == common::Duration() ||
      streamed * 10 < attempt.first_token) {
    return;
  }
  const std::uint64_t tokens =
      event.generated_tokens -
      std::min(event.generated_tokens, attempt.generated_tokens);
  RecordUnitTime(state.limit,
                 {.running = running, .period_start = attempt.last_progress},
                 tokens, now);
  RecordFirstToken(state.limit,
                   {.running = running, .period_start = attempt.started},
                   event.prompt_tokens, attempt.first_token, now);
}

void OnCompleted(Context& context, const Attempt& attempt,
                 const UpstreamEnded& event, int running) {
  AgentState& state = context.state;
  state.error_backoff = state.options.initial_error_backoff;
  const protocol::Suspects cleared = suspects::RecordCompletion(
      state.suspects, attempt.fingerprint, context.now);
  if (!cleared.rows.empty()) SendToRouters(context, cleared);
  RecordCost(state, attempt, attempt.charged);
  RecordLatency(state, attempt, event, running, context.now);
  if (attempt.key.empty()) return;
  for (const std::string& key :
       RecordDone(state.keys, attempt.key, event.response_bytes, context.now)) {
    context.Emit(DiscardResult{.key = key});
  }
}

void OnUpstreamDidNotRun(Context& context, const Attempt& attempt,
                         Reason reason) {
  if (!attempt.key.empty()) {
    RecordNotRun(context.state.keys, attempt.key, context.now);
  }
  Reject(context, attempt, {.verdict = Verdict::kNotRun, .reason = reason});
}

}  // namespace

void OnResponded(Context& context, const UpstreamResponded& event) {
  const auto it = context.state.running.find(event.id);
  if (it == context.state.running.end()) return;
  // In plain pools, the measured time of a call includes the wait for the first
  // byte.
  if (!IsModelPool(context.state)) return;
  Attempt& attempt = it->second;
  attempt.first_token = context.now - attempt.started;
  attempt.last_progress = context.now;
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
    RecordUnitTime(state.limit,
                   {.running = static_cast<int>(state.running.size()),
                    .period_start = attempt.last_progress},
                   tokens, context.now);
  }
  attempt.last_progress = context.now;
  attempt.generated_tokens = event.generated_tokens;
  const common::Cost cost = CostOf(state, 0, event.generated_tokens);
  if (cost <= attempt.charged) return;
  RecordPartialCost(state, attempt, cost);
  Charge(context, attempt.workspace, cost - attempt.charged);
  attempt.charged = cost;
}

void CancelRunning(Context& context, const AttemptId& id) {
  AgentState& state = context.state;
  const auto it = state.running.find(id);
  Attempt attempt = std::move(it->second);
  state.running.erase(it);
  // The generated tokens are charged; the rest of the estimate is refunded.
  ChargeActualCost(context, attempt,
                   CostOf(state, 0, attempt.generated_tokens));
  // A partial cost is better than none for a workspace whose callers always
  // disconnect early. Once there is an estimate, partial costs are not
  // recorded, because they would lower the mean of complete requests.
  if (attempt.generated_tokens > 0 &&
      !state.estimates.contains({attempt.workspace, {}})) {
    RecordCost(state, attempt, attempt.charged);
  }
  Cancel(context, attempt);
}

void OnUpstreamEnded(Context& context, const UpstreamEnded& event) {
  AgentState& state = context.state;
  const auto it = state.running.find(event.id);
  if (it == state.running.end()) return;
  const int running = static_cast<int>(state.running.size());
  if (event.outcome == UpstreamOutcome::kBroken) OnUpstreamLost(context);
  Attempt attempt = std::move(it->second);
  state.running.erase(it);
  ChargeActualCost(context, attempt, FinalCost(state, attempt, event));
  Refusal failed{.verdict = Verdict::kMayHaveRun,
                 .reason = Reason::kUpstreamFailed};
  switch (event.outcome) {
    case UpstreamOutcome::kCompleted:
      return OnCompleted(context, attempt, event, running);
    case UpstreamOutcome::kRefused:
      RecordOverload(state.limit, running, context.now);
      BackOffSlot(context);
      return OnUpstreamDidNotRun(context, attempt, Reason::kUpstreamRefused);
    case UpstreamOutcome::kNotSent:
      OnUpstreamLost(context);
      return OnUpstreamDidNotRun(context, attempt, Reason::kUpstreamFailed);
    case UpstreamOutcome::kTimedOut:
      // An upstream that accepts requests but never answers causes such
      // timeouts.
      if (attempt.generated_tokens == 0) {
        RecordOverload(state.limit, running, context.now);
      }
      [[fallthrough]];
    case UpstreamOutcome::kError:
      BackOffSlot(context);
      break;
    case UpstreamOutcome::kBroken:
      failed.reason = Reason::kUpstreamCrashed;
      break;
  }
  if (!attempt.key.empty()) RecordUnknown(state.keys, attempt.key, context.now);
  Reject(context, attempt, failed);
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
  context.Emit(ProbeUpstream{});
}

void ExpireAttempts(Context& context) {
  AgentState& state = context.state;
  std::erase_if(state.backoff_slots,
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
  ExpireCancelled(context);
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
