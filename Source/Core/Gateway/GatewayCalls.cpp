#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "Common/Logging.h"
#include "Forwarding/Framing.h"
#include "Gateway/Answers.h"
#include "Gateway/Gateway.h"

// The part of Gateway that carries calls: where each goes, what becomes of an
// attempt, and what its caller is told.
namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;
using std::chrono::milliseconds;

// Callers abandon a stream that sends nothing for the longest of these.
constexpr common::Duration kShortestStreamPatience = milliseconds(1'900);
constexpr int kPatienceTargets = 4;  // times the latency target
constexpr int kPatiencePauses = 8;   // times the longest pause on time
// Advised delays are spread over this range around the expected wait, so that
// callers do not come back together.
constexpr double kLeastRetrySpread = 0.5;
constexpr double kMostRetrySpread = 1.5;
// A caller is advised to wait for this part of its time left at most, so that
// it has time for further tries.
constexpr int kRetryPartOfTimeLeft = 3;
// Processor time of a request without events, in events relayed.
constexpr double kRequestCost = 8;
// An attempt that ends without a byte of its answer counts against its upstream
// after this many times the route's latency target.
constexpr int kUnansweredTargets = 3;

// Whether the call may run again, from where its caller's stream stands.
bool IsRepeatable(const Call& call) {
  return call.route->repetition == catalogue::Repetition::kAnyNumber &&
         (!call.Begun() || call.route->resumable);
}

// Whether failures of the call's upstream may eject it. An engine's scheduler
// decides what it starts, and a part of its answers is worth more than none
// while callers are refused.
bool IsEjectable(const Call& call) { return !call.facts.prompt.has_value(); }

}  // namespace

bool Gateway::IsShed(const Call& call) {
  double events = 0;
  const auto& prompt = call.facts.prompt;
  const auto pool = call.table->Source().pools.find(call.pool);
  if (prompt && pool != call.table->Source().pools.end() &&
      pool->second.engine) {
    events = static_cast<double>(prompt->expected_output_tokens) /
             std::max(pool->second.engine->tokens_per_event, 1);
  }
  std::uniform_real_distribution<double> uniform(0, 1);
  return overload::ShouldShed(shedder_,
                              call.workspace == nullptr
                                  ? common::WorkspaceName()
                                  : call.workspace->name,
                              kRequestCost + events, uniform(random_));
}

std::vector<const common::UpstreamName*> Gateway::UpstreamsOf(
    const common::PoolName& pool) const {
  std::vector<const common::UpstreamName*> names;
  for (const auto& [name, it] : upstreams_.upstreams) {
    if (it.entry.pool == pool && balancing::TakesWork(it)) {
      names.push_back(&name);
    }
  }
  return names;
}

std::vector<const common::UpstreamName*> Gateway::Candidates(
    const Call& call) const {
  auto names = UpstreamsOf(call.pool);
  std::erase_if(names,
                [&call](const auto* it) { return call.tried.count(*it) != 0; });
  return balancing::WithoutEjected(
      ejections_, environment_.clock.Now(), std::move(names),
      [this](const common::UpstreamName& name) {
        const auto it = in_flight_.find(name);
        return it == in_flight_.end() ? 0 : it->second;
      });
}

void Gateway::NoteFailedUpstream(const Call& call) {
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto ejection =
      balancing::NoteFailed(ejections_, environment_.clock.Now(), call.upstream,
                            UpstreamsOf(call.pool), uniform(random_));
  if (!ejection) return;
  metrics_.CountEjection();
  Log(Subsystem::kMembership, LogLevel::kWarning,
      "event=upstream_ejected upstream={} id={} failed={:.1f} answered={:.1f} "
      "others_failing={:.2f} for_ms={}",
      call.upstream.value, call.facts.request_id, ejection->failed,
      ejection->answered, ejection->others_part,
      ejection->length / milliseconds(1));
}

void Gateway::NoteOutcome(const Call& call, AttemptEnd end) {
  if (end == AttemptEnd::kRefused || !IsEjectable(call)) return;
  if (end != AttemptEnd::kAnswered) return NoteFailedUpstream(call);
  const bool readmitted = balancing::NoteAnswered(
      ejections_, environment_.clock.Now(), call.upstream);
  if (!readmitted) return;
  Log(Subsystem::kMembership, LogLevel::kInfo,
      "event=upstream_readmitted upstream={} id={}", call.upstream.value,
      call.facts.request_id);
}

const common::UpstreamName* Gateway::LeastUsed(
    const std::vector<const common::UpstreamName*>& candidates) {
  // Any of several, or all gateways would agree on the same one.
  std::vector<const common::UpstreamName*> least;
  int least_used = std::numeric_limits<int>::max();
  for (const auto* it : candidates) {
    const int used = in_flight_[*it];
    if (used > least_used) continue;
    if (used < least_used) least.clear();
    least_used = used;
    least.push_back(it);
  }
  return least[std::uniform_int_distribution<std::size_t>(
      0, least.size() - 1)(random_)];
}

// Long prompts go to the engines of the lane, all others elsewhere while some
// engine there answers.
std::vector<const common::UpstreamName*> Gateway::ByLane(
    const Call& call, const std::vector<const common::UpstreamName*>& ranked,
    const balancing::LaneSplit& split) const {
  const auto pace = starts_.ReadingPace();
  if (!pace) return ranked;
  const bool is_long = balancing::IsLongPrompt({}, *call.facts.prompt, *pace,
                                               call.route->pause_target);
  const auto& wanted = is_long ? split.lane : split.others;
  const bool answers =
      std::any_of(wanted.begin(), wanted.end(),
                  [this](const auto* it) { return starts_.IsAnswering(*it); });
  return answers ? wanted : ranked;
}

void Gateway::Dispatch(Call& call) {
  const auto candidates = Candidates(call);
  if (candidates.empty()) {
    return Answer(call, kUnavailable, "no_upstream", kShortRetryAfter);
  }
  if (!call.facts.prompt) return SendTo(call, *LeastUsed(candidates), {});
  const auto ranked = balancing::RankBySubject(
      common::SubjectOf(*call.facts.prompt), candidates);
  const balancing::LaneSplit split = balancing::SplitLane({}, ranked);
  // Caches what the subject's prompts share.
  call.home =
      split.others.empty() ? common::UpstreamName() : *split.others.front();
  SeekStart(call, ByLane(call, ranked, split));
}

// A workspace that asks for more than its share has as many of its requests, of
// any size, within it as the share allows, and all of them while others beyond
// theirs receive much more.
bool Gateway::IsWithinShare(const Call& call) {
  if (call.workspace == nullptr) return true;
  std::uniform_real_distribution<double> uniform(0, 1);
  const common::WorkspaceName& name = call.workspace->name;
  return uniform(random_) < starts_.PartWithinShare(name) ||
         starts_.IsBehind(name);
}

void Gateway::SeekStart(
    Call& call, const std::vector<const common::UpstreamName*>& candidates) {
  const auto id = static_cast<balancing::SearchId>(++last_search_);
  // Callers abandon a stream without events after this time.
  const common::Duration abandoned =
      std::max({common::Duration(kShortestStreamPatience),
                kPatienceTargets * call.route->latency_target,
                kPatiencePauses * call.route->pause_target});
  call.within_share = IsWithinShare(call);
  const common::TimePoint target =
      call.request.arrived + call.route->latency_target;
  const common::TimePoint patience =
      std::min(call.deadline, call.request.arrived + abandoned);
  balancing::SearchRequest request{
      .id = id,
      .request_id = call.facts.request_id,
      .workspace = call.workspace == nullptr ? common::WorkspaceName()
                                             : call.workspace->name,
      .prompt = *call.facts.prompt,
      .rank = call.route->rank,
      .within_share = call.within_share,
      .target = target,
      // Beyond its workspace's share, a request does better to come back later
      // than to wait for what others leave.
      .patience = call.within_share ? patience : std::min(patience, target)};
  for (const auto* it : candidates) request.candidates.push_back(*it);
  request.home = call.home;
  call.search = id;
  searches_[id] = &call;
  starts_.Seek(std::move(request));
}

void Gateway::OnStartOutcome(const StartOutcome& outcome) {
  const auto found = searches_.find(outcome.search);
  if (found == searches_.end()) return;
  Call& call = *found->second;
  searches_.erase(found);
  call.search.reset();
  switch (outcome.kind) {
    case StartOutcome::Kind::kStart:
      return SendTo(call, outcome.ticket.upstream, outcome.ticket);
    case StartOutcome::Kind::kDeclined:
      call.declined_wait = outcome.wait;
      if (!outcome.offered) {
        starts_.NoteNotOffered(call.workspace->name, *call.facts.prompt);
      }
      return Answer(call, kUnavailable, "overloaded",
                    RetryAfter(call, outcome.wait));
    case StartOutcome::Kind::kNoScheduler: {
      const auto candidates = Candidates(call);
      if (candidates.empty()) {
        return Answer(call, kUnavailable, "no_upstream", kShortRetryAfter);
      }
      return SendWithoutScheduler(call, candidates);
    }
  }
}

void Gateway::SendWithoutScheduler(
    Call& call, const std::vector<const common::UpstreamName*>& candidates) {
  const auto ranked = balancing::RankBySubject(
      common::SubjectOf(*call.facts.prompt), candidates);
  const auto wanted = ByLane(call, ranked, balancing::SplitLane({}, ranked));
  std::vector<int> loads;
  loads.reserve(wanted.size());
  for (const auto* it : wanted) loads.push_back(in_flight_[*it]);
  const auto* name = balancing::PickWithBoundedLoad(wanted, loads);
  SendTo(call, *name,
         {.cache_source =
              call.home == *name ? common::UpstreamName() : call.home});
}

common::Duration Gateway::RetryAfter(const Call& call, common::Duration wait) {
  const common::Duration left = call.deadline - environment_.clock.Now();
  std::uniform_real_distribution<double> spread(kLeastRetrySpread,
                                                kMostRetrySpread);
  const auto delay = std::chrono::duration_cast<common::Duration>(
      std::max(wait, kShortRetryAfter) * spread(random_));
  return std::min(delay, left / kRetryPartOfTimeLeft);
}

void Gateway::SendTo(Call& call, const common::UpstreamName& name,
                     StartTicket ticket) {
  const auto it = upstreams_.upstreams.find(name);
  if (it == upstreams_.upstreams.end() || !balancing::TakesWork(it->second)) {
    starts_.Report(ticket, protocol::StartStage::kWithdrawn);
    return Dispatch(call);
  }
  call.cached_tokens = ticket.cached_tokens;
  call.ticket = std::move(ticket);
  call.cache_source.clear();
  const auto source = upstreams_.upstreams.find(call.ticket.cache_source);
  if (source != upstreams_.upstreams.end()) {
    call.cache_source = common::ToString(source->second.entry.endpoint);
  }
  ++in_flight_[name];
  call.StartAttempt(name, it->second.entry.endpoint, connections_.Take(name),
                    environment_.clock.Now());
}

void Gateway::OnConnectionFree(
    const common::UpstreamName& upstream,
    const std::shared_ptr<forwarding::UpstreamConnection>& connection) {
  connections_.Return(upstream, connection);
}

void Gateway::NotePause(Call& call, common::Duration pause) {
  const common::Duration target = call.route->pause_target;
  const bool too_long = target > common::Duration(0) && pause > target;
  const bool first = call.longest_pause <= target;
  call.longest_pause = std::max(call.longest_pause, pause);
  // A process without time sees pauses that are its own.
  const bool punctual = shedder_.lateness <= shedder_.options.lateness_limit;
  if (too_long && first && punctual) {
    starts_.Report(call.ticket, protocol::StartStage::kPaused);
  }
}

void Gateway::OnProgress(Call& call) {
  const common::TimePoint now = environment_.clock.Now();
  const bool first = call.first_event == common::TimePoint();
  if (!first) {
    NotePause(call, now - call.last_event);
  }
  call.last_event = now;
  if (!first) return;
  call.first_event = now;
  starts_.Report(call.ticket, protocol::StartStage::kFirstEvent);
}

void Gateway::OnAttemptEnd(Call& call, AttemptEnd end,
                           const forwarding::UpstreamResponse& response) {
  --in_flight_[call.upstream];
  starts_.Report(std::exchange(call.ticket, {}), protocol::StartStage::kDone);
  NoteOutcome(call, end);
  if (end != AttemptEnd::kAnswered) {
    metrics_.CountFailedAttempt(ToString(end));
    Log(Subsystem::kRouting, LogLevel::kInfo,
        "event=attempt_failed id={} upstream={} attempt={} end={} status={} "
        "attempt_ms={} begun={}",
        call.facts.request_id, call.upstream.value, call.attempts,
        ToString(end), response.status,
        (environment_.clock.Now() - call.attempt_started) / milliseconds(1),
        call.Begun());
  }
  if (response.facts.other_incarnation) {
    Log(Subsystem::kMembership, LogLevel::kInfo,
        "event=upstream_replaced upstream={} id={}", call.upstream.value,
        call.facts.request_id);
    balancing::NoteReplaced(upstreams_, call.upstream);
    connections_.Forget(call.upstream);
    starts_.RemoveEngine(call.upstream);
  }
  const bool has_answer =
      end == AttemptEnd::kAnswered || end == AttemptEnd::kFailed;
  if (!has_answer) return AfterFailure(call, end);
  if (end == AttemptEnd::kFailed && MayRepeatFailed(call) &&
      TakeRetry(call, end)) {
    call.verdict = common::Verdict::kMayHaveRun;
    return Dispatch(call);
  }
  call.DeliverBuffered();
  LogServed(call, response.status);
  EndCall(call);
}

void Gateway::LogServed(const Call& call, int status) {
  const auto since_arrival = [&call](common::TimePoint time) {
    return (time - call.request.arrived) / milliseconds(1);
  };
  const common::TimePoint now = environment_.clock.Now();
  const bool streamed = call.first_event != common::TimePoint();
  const common::TimePoint first = streamed ? call.first_event : now;
  metrics_.CountServed(call.route->name, first - call.request.arrived,
                       now - call.request.arrived);
  Log(Subsystem::kRouting, LogLevel::kInfo,
      "event=served id={} status={} route={} workspace={} upstream={} "
      "attempts={} sent_ms={} first_ms={} done_ms={} pause_ms={} home={} "
      "tokens={} shared={} subject={:x} cached={} source={} output={} "
      "target_ms={} within_share={}",
      call.facts.request_id, status, call.route->name,
      call.workspace == nullptr ? "" : call.workspace->name.value,
      call.upstream.value, call.attempts, since_arrival(call.attempt_started),
      since_arrival(first), since_arrival(now),
      call.longest_pause / milliseconds(1), call.home == call.upstream,
      call.facts.prompt ? call.facts.prompt->prompt_tokens : 0,
      call.facts.prompt ? common::SharedTokens(*call.facts.prompt) : 0,
      call.facts.prompt ? common::SubjectOf(*call.facts.prompt) : 0,
      call.cached_tokens, call.cache_source,
      call.facts.prompt ? call.facts.prompt->expected_output_tokens : 0,
      call.route->latency_target / milliseconds(1), call.within_share);
}

// Whether the budget lets the call be sent once more. Connections that were not
// made reach no upstream and are free.
bool Gateway::TakeRetry(const Call& call, AttemptEnd end) {
  if (end == AttemptEnd::kNotConnected) return true;
  const bool taken = common::TryRetry(retries_[call.pool], kRetryOptions,
                                      environment_.clock.Now());
  if (!taken) {
    Log(Subsystem::kRouting, LogLevel::kInfo,
        "event=retry_denied id={} pool={} cause=budget", call.facts.request_id,
        call.pool.value);
  }
  return taken;
}

// Whether another upstream should be asked instead of delivering the error that
// one has answered with.
bool Gateway::MayRepeatFailed(const Call& call) const {
  return IsRepeatable(call) && call.attempts < call.route->attempts &&
         !Candidates(call).empty();
}

void Gateway::AfterFailure(Call& call, AttemptEnd end) {
  const bool ran = end == AttemptEnd::kBroken || end == AttemptEnd::kInvalid;
  if (ran) call.verdict = common::Verdict::kMayHaveRun;
  const bool may_retry = !ran || IsRepeatable(call);
  const bool attempts_left =
      call.attempts < std::max(call.route->attempts, ran ? 1 : 2);
  // A retry without an upstream left would be lost to the budget.
  if (may_retry && attempts_left && !Candidates(call).empty() &&
      TakeRetry(call, end)) {
    return Dispatch(call);
  }
  if (call.verdict == common::Verdict::kNotRun) {
    return Answer(call, kUnavailable, "refused_by_upstream", kShortRetryAfter);
  }
  Answer(call, kBadGateway, "upstream_failed");
}

void Gateway::Answer(Call& call, int status, std::string_view reason,
                     std::optional<common::Duration> retry_after) {
  const bool claims_not_run = status == kUnavailable;
  if (claims_not_run && call.verdict != common::Verdict::kNotRun) {
    status = kBadGateway;
    retry_after = std::nullopt;
  }
  const common::Duration delay = retry_after.value_or(milliseconds(-1));
  metrics_.CountAnswer(status, reason);
  const auto age = StoreAge();
  Log(Subsystem::kRouting, LogLevel::kInfo,
      "event=answer id={} status={} reason={} route={} workspace={} "
      "attempts={} upstream={} elapsed_ms={} wait_ms={} retry_ms={} "
      "config_version={} store_age_ms={} passing_share={:.2f} tokens={} "
      "output={} within_share={}",
      call.facts.request_id, status, reason,
      call.route == nullptr ? "" : call.route->name,
      call.workspace == nullptr ? "" : call.workspace->name.value,
      call.attempts, call.upstream.value,
      (environment_.clock.Now() - call.request.arrived) / milliseconds(1),
      call.declined_wait / milliseconds(1), delay / milliseconds(1),
      VersionOf(call.table.get()),
      age.value_or(milliseconds(-1)) / milliseconds(1), shedder_.share,
      call.facts.prompt ? call.facts.prompt->prompt_tokens : 0,
      call.facts.prompt ? call.facts.prompt->expected_output_tokens : 0,
      call.within_share);
  if (call.Begun()) {
    call.caller->Abort();
    return EndCall(call);
  }
  std::string headers;
  if (!call.facts.request_id.empty()) {
    forwarding::AppendHeader(environment_.dialect.request_id_name,
                             call.facts.request_id, &headers);
  }
  if (retry_after) {
    const double seconds = std::chrono::duration<double>(delay).count();
    forwarding::AppendHeader("Retry-After", fmt::format("{:.3f}", seconds),
                             &headers);
  }
  call.caller->Send(status, headers, "");
  EndCall(call);
}

void Gateway::OnCallerLeft(Call& call) {
  metrics_.CountCallerLeft();
  const common::TimePoint now = environment_.clock.Now();
  Log(Subsystem::kRouting, LogLevel::kInfo,
      "event=caller_left id={} route={} phase={} elapsed_ms={} upstream={} "
      "attempt_ms={} begun={} tokens={} output={} workspace={} "
      "within_share={}",
      call.facts.request_id, call.route == nullptr ? "" : call.route->name,
      call.search ? "waiting" : "sent",
      (now - call.request.arrived) / milliseconds(1), call.upstream.value,
      call.InAttempt() ? (now - call.attempt_started) / milliseconds(1) : -1,
      call.Begun(), call.facts.prompt ? call.facts.prompt->prompt_tokens : 0,
      call.facts.prompt ? call.facts.prompt->expected_output_tokens : 0,
      call.workspace == nullptr ? "" : call.workspace->name.value,
      call.within_share);
  EndCall(call);
}

void Gateway::EndAttempt(Call& call) {
  if (!call.InAttempt()) return;
  const common::Duration waited =
      environment_.clock.Now() - call.attempt_started;
  const common::Duration target = call.route->latency_target;
  const bool unanswered = IsEjectable(call) && !call.Begun() &&
                          target > common::Duration(0) &&
                          waited > kUnansweredTargets * target;
  if (unanswered) NoteFailedUpstream(call);
  call.StopAttempt();
  call.verdict = common::Verdict::kMayHaveRun;
  --in_flight_[call.upstream];
  starts_.Report(std::exchange(call.ticket, {}), protocol::StartStage::kDone);
}

void Gateway::EndCall(Call& call) {
  const auto it = calls_.find(&call);
  if (it == calls_.end()) return;
  EndAttempt(call);
  if (call.search) {
    searches_.erase(*call.search);
    starts_.Cancel(*call.search);
  }
  ended_.push_back(std::move(it->second));
  calls_.erase(it);
}

}  // namespace shallotbeam::gateway
