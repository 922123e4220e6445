#include <algorithm>

#include "Admission/Internal.h"

namespace shallotbeam::admission::internal {

namespace {

using common::Reason;
using common::Refusal;
using common::Verdict;

constexpr double kPromptTokensPerCost = 8;
constexpr double kEstimateSmoothing = 0.2;

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
  AgentState& state = context.state;
  Charge(context, attempt.workspace, cost - attempt.charged);
  attempt.charged = cost;
  state.rate.largest_request = std::max(state.rate.largest_request, cost);
  auto [it, first] = state.estimates.try_emplace(attempt.workspace, cost);
  if (!first) it->second += kEstimateSmoothing * (cost - it->second);
}

void HoldSlot(Context& context) {
  AgentState& state = context.state;
  state.held_slots.insert(context.now + state.error_backoff);
  state.error_backoff =
      std::min(2 * state.error_backoff, state.options.max_error_backoff);
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
  SendToRouters(context,
                suspects::NoteCrash(state.suspects, in_flight, context.now));
  SendHeartbeats(context);
}

void Answer(Context& context, const Attempt& attempt, const Refusal& refusal) {
  Log(context, attempt, "reject", common::ToString(refusal.reason));
  context.Do(RejectOffer{.id = attempt.id, .refusal = refusal});
}

void OnCompleted(Context& context, const Attempt& attempt,
                 const UpstreamEnded& event, int running) {
  AgentState& state = context.state;
  state.error_backoff = state.options.first_error_backoff;
  suspects::NoteCompleted(state.suspects, attempt.fingerprint, context.now);
  NoteSuccess(state.limit, running, context.now - attempt.started,
              event.generated_tokens, context.now);
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

void OnProgress(Context& context, const UpstreamProgressed& event) {
  const auto it = context.state.running.find(event.id);
  if (it == context.state.running.end()) return;
  const common::Cost cost = CostOf(context.state, 0, event.generated_tokens);
  if (cost <= it->second.charged) return;
  Charge(context, it->second.workspace, cost - it->second.charged);
  it->second.charged = cost;
}

void OnUpstreamEnded(Context& context, const UpstreamEnded& event) {
  AgentState& state = context.state;
  const auto it = state.running.find(event.id);
  if (it == state.running.end()) return;
  const int running = static_cast<int>(state.running.size());
  if (event.outcome == UpstreamOutcome::kBroken) NoteUpstreamLost(context);
  Attempt attempt = std::move(it->second);
  state.running.erase(it);
  const bool ran = event.outcome == UpstreamOutcome::kCompleted;
  Settle(context, attempt,
         ran ? CostOf(state, event.prompt_tokens, event.generated_tokens)
             : CostOf(state, 0, event.generated_tokens));
  const Refusal failed{.verdict = Verdict::kMayHaveRun,
                       .reason = Reason::kUpstreamFailed};
  switch (event.outcome) {
    case UpstreamOutcome::kCompleted:
      OnCompleted(context, attempt, event, running);
      break;
    case UpstreamOutcome::kRefused:
      NoteOverload(state.limit, context.now);
      HoldSlot(context);
      OnNotRun(context, attempt, Reason::kUpstreamRefused);
      break;
    case UpstreamOutcome::kNotSent:
      NoteUpstreamLost(context);
      OnNotRun(context, attempt, Reason::kUpstreamFailed);
      break;
    case UpstreamOutcome::kError:
      HoldSlot(context);
      Answer(context, attempt, failed);
      break;
    case UpstreamOutcome::kBroken:
    case UpstreamOutcome::kTimedOut:
      Answer(context, attempt, failed);
      break;
  }
  FillSlots(context);
}

void OnProbed(Context& context, const UpstreamProbed& event) {
  AgentState& state = context.state;
  if (state.upstream_up || !event.reachable) return;
  state.upstream_up = true;
  SendHeartbeats(context);
  FillSlots(context);
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
    RejectNotRun(context, *it, Reason::kDeadlineExceeded);
    it = state.waiting.erase(it);
  }
  std::vector<AttemptId> late;
  for (const auto& [id, attempt] : state.running) {
    if (attempt.deadline <= context.now) late.push_back(id);
  }
  for (const AttemptId& id : late) {
    context.Do(CancelUpstream{.id = id});
    OnUpstreamEnded(context, {.id = id, .outcome = UpstreamOutcome::kTimedOut});
  }
}

}  // namespace shallotbeam::admission::internal
