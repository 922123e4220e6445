#include <algorithm>
#include <limits>
#include <utility>

#include "Common/Logging.h"
#include "Gateway/Gateway.h"
#include "Gateway/GatewayResponses.h"

// The part of Gateway that dispatches calls to upstreams and handles the
// outcomes of attempts.
namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;
using std::chrono::milliseconds;

// Callers abandon a stream that sends nothing for the longest of the following
// three times.
constexpr common::Duration kMinAbandonTime = milliseconds(1'900);
// Multiple of the route's latency target.
constexpr int kAbandonLatencyTargets = 4;
// Multiple of the route's event gap target.
constexpr int kAbandonEventGapTargets = 8;
// Retry-After values are spread over this range around the expected wait, so
// that callers do not retry at the same time.
constexpr double kMinRetrySpread = 0.5;
constexpr double kMaxRetrySpread = 1.5;
// Retry-After is at most the caller's time left divided by this, so that the
// caller has time for further retries.
constexpr int kRetryTimeLeftDivisor = 3;
// Processor time of a request apart from its events, as a number of relayed
// events.
constexpr double kRequestCost = 8;
// An attempt that is abandoned before any byte of its response counts as a
// failure of its upstream after this many times the route's latency target.
constexpr int kUnansweredLatencyTargets = 3;

// Whether the call may run again at another upstream. A stream that has started
// must also be resumable.
bool IsRetryable(const Call& call) {
  return call.route->repetition == catalogue::Repetition::kRepeatable &&
         (!call.HasResponseStarted() || call.route->resumable);
}

// Whether failures of the call's upstream may eject it. Engines are exempt: the
// scheduler of an engine decides what the engine starts, and while callers are
// being rejected, an engine that serves only part of its requests is still
// better than none.
bool IsEjectable(const Call& call) { return !call.metadata.prompt.has_value(); }

}  // namespace

bool Gateway::ShouldShedCall(const Call& call) {
  double events = 0;
  const auto& prompt = call.metadata.prompt;
  const auto pool = call.table->Source().pools.find(call.pool);
  if (prompt && pool != call.table->Source().pools.end() &&
      pool->second.engine) {
    events = static_cast<double>(prompt->expected_output_tokens) /
             std::max(pool->second.engine->tokens_per_event, 1);
  }
  std::uniform_real_distribution<double> uniform(0, 1);
  return overload::ShouldShed(load_shedder_,
                              call.workspace == nullptr
                                  ? common::WorkspaceName()
                                  : call.workspace->name,
                              kRequestCost + events, uniform(random_));
}

std::vector<const common::UpstreamName*> Gateway::AvailableUpstreams(
    const common::PoolName& pool) const {
  std::vector<const common::UpstreamName*> names;
  for (const auto& [name, it] : upstreams_.upstreams) {
    if (it.entry.pool == pool && balancing::AcceptsWork(it)) {
      names.push_back(&name);
    }
  }
  return names;
}

std::vector<const common::UpstreamName*> Gateway::Candidates(
    const Call& call) const {
  auto names = AvailableUpstreams(call.pool);
  std::erase_if(names, [&](const auto* it) {
    return call.tried_upstreams.count(*it) != 0 ||
           balancing::PausedUntil(upstreams_, *it, Now());
  });
  return balancing::ExcludeEjected(
      ejections_, environment_.clock.Now(), std::move(names),
      [this](const common::UpstreamName& name) {
        const auto it = in_flight_.find(name);
        return it == in_flight_.end() ? 0 : it->second;
      });
}

void Gateway::RecordUpstreamFailure(const Call& call) {
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto ejection = balancing::RecordFailure(
      ejections_, environment_.clock.Now(), call.upstream,
      AvailableUpstreams(call.pool), uniform(random_));
  if (!ejection) return;
  metrics_.CountEjection();
  Log(Subsystem::kMembership, LogLevel::kWarning,
      "event=upstream_ejected upstream={} id={} failed={:.1f} answered={:.1f} "
      "others_failing={:.2f} for_ms={}",
      call.upstream.value, call.metadata.request_id, ejection->failed,
      ejection->answered, ejection->others_failure_rate,
      ejection->ejection_time / milliseconds(1));
}

void Gateway::RecordOutcome(const Call& call, AttemptEnd end) {
  if (end == AttemptEnd::kRefused || !IsEjectable(call)) return;
  if (end != AttemptEnd::kAnswered) return RecordUpstreamFailure(call);
  const bool readmitted = balancing::RecordSuccess(
      ejections_, environment_.clock.Now(), call.upstream);
  if (!readmitted) return;
  Log(Subsystem::kMembership, LogLevel::kInfo,
      "event=upstream_readmitted upstream={} id={}", call.upstream.value,
      call.metadata.request_id);
}

const common::UpstreamName* Gateway::LeastLoaded(
    const std::vector<const common::UpstreamName*>& candidates) {
  // Ties are broken at random, because otherwise all gateways would choose the
  // same upstream.
  std::vector<const common::UpstreamName*> least_loaded;
  int min_in_flight = std::numeric_limits<int>::max();
  for (const auto* it : candidates) {
    const int in_flight = in_flight_[*it];
    if (in_flight > min_in_flight) continue;
    if (in_flight < min_in_flight) least_loaded.clear();
    min_in_flight = in_flight;
    least_loaded.push_back(it);
  }
  return least_loaded[std::uniform_int_distribution<std::size_t>(
      0, least_loaded.size() - 1)(random_)];
}

// Returns the time until an upstream of the call's pool takes requests again;
// zero if one takes them now or none will.
common::Duration Gateway::ShortestPause(const Call& call) const {
  std::optional<common::Duration> shortest;
  for (const auto* it : AvailableUpstreams(call.pool)) {
    const auto until = balancing::PausedUntil(upstreams_, *it, Now());
    const common::Duration pause = until ? *until - Now() : common::Duration(0);
    shortest = shortest ? std::min(*shortest, pause) : pause;
  }
  return shortest.value_or(common::Duration(0));
}

void Gateway::RespondNoUpstream(Call& call) {
  const common::Duration pause = ShortestPause(call);
  if (pause == common::Duration(0)) {
    return Respond(call, kUnavailable, "no_upstream", kDefaultRetryAfter);
  }
  Respond(call, kUnavailable, "upstreams_paused", pause);
}

void Gateway::Dispatch(Call& call) {
  const auto candidates = Candidates(call);
  if (candidates.empty()) return RespondNoUpstream(call);
  if (!call.metadata.prompt) return DispatchToService(call, candidates);
  if (FollowsLongPrompts(settings_) && call.attempts == 0) {
    RecordPromptDemand(call);
  }
  const auto ranked = balancing::RankByPrefix(
      common::SharedPrefixKey(*call.metadata.prompt), candidates);
  const balancing::EnginePartition weighted_pools =
      PartitionByDemand(call, ranked);
  // The preferred engine is expected to cache the shared prefix of the prompt.
  call.preferred_engine = weighted_pools.others.empty()
                              ? common::UpstreamName()
                              : *weighted_pools.others.front();
  StartPlacementSearch(call, FilterByPromptLength(call, ranked, weighted_pools),
                       OverflowFor(call, weighted_pools));
}

// If a workspace requests more than its fair share, the share determines which
// fraction of its requests, whatever their size, counts as within it. All of
// them do while other workspaces, beyond their own share, receive much more
// service.
bool Gateway::IsWithinShare(const Call& call) {
  if (call.workspace == nullptr) return true;
  std::uniform_real_distribution<double> uniform(0, 1);
  const common::WorkspaceName& name = call.workspace->name;
  return uniform(random_) < scheduler_client_.FractionWithinShare(name) ||
         scheduler_client_.IsUnderserved(name);
}

void Gateway::StartPlacementSearch(
    Call& call, const std::vector<const common::UpstreamName*>& candidates,
    balancing::OverflowEngines overflow) {
  const auto id = static_cast<balancing::SearchId>(++last_search_id_);
  // Callers abandon a stream without events after this time.
  const common::Duration abandon_time =
      std::max({common::Duration(kMinAbandonTime),
                kAbandonLatencyTargets * call.route->latency_target,
                kAbandonEventGapTargets * call.route->event_gap_target});
  call.within_share = IsWithinShare(call);
  const common::TimePoint target =
      call.request.arrived + call.route->latency_target;
  const common::TimePoint first_event_deadline =
      std::min(call.deadline, call.request.arrived + abandon_time);
  balancing::SearchRequest request{
      .id = id,
      .request_id = call.metadata.request_id,
      .workspace = call.workspace == nullptr ? common::WorkspaceName()
                                             : call.workspace->name,
      .prompt = *call.metadata.prompt,
      .priority = call.route->priority,
      .within_share = call.within_share,
      .target = target,
      // A request beyond its workspace's fair share is rejected early, because
      // retrying later is better for it than waiting for capacity that other
      // workspaces leave unused.
      .first_event_deadline = call.within_share
                                  ? first_event_deadline
                                  : std::min(first_event_deadline, target)};
  for (const auto* it : candidates) request.candidates.push_back(*it);
  request.overflow = std::move(overflow);
  request.preferred_engine = call.preferred_engine;
  call.search = id;
  searches_[id] = &call;
  scheduler_client_.SubmitSearch(std::move(request));
}

void Gateway::OnSearchOutcome(const SearchOutcome& outcome) {
  const auto found = searches_.find(outcome.search);
  if (found == searches_.end()) return;
  Call& call = *found->second;
  searches_.erase(found);
  call.search.reset();
  switch (outcome.kind) {
    case SearchOutcome::Kind::kGranted:
      return SendTo(call, outcome.grant.upstream, outcome.grant);
    case SearchOutcome::Kind::kDeclined:
      call.declined_wait = outcome.wait;
      call.wait_elsewhere = WaitElsewhere(call);
      if (!outcome.offered) {
        scheduler_client_.RecordUnoffered(call.workspace->name,
                                          *call.metadata.prompt);
      }
      return Respond(call, call.within_share ? kUnavailable : kTooManyRequests,
                     "overloaded", RetryAfter(call, outcome.wait));
    case SearchOutcome::Kind::kNoScheduler: {
      const auto candidates = Candidates(call);
      if (candidates.empty()) return RespondNoUpstream(call);
      const auto within_limits = EnginesWithinLimits(candidates);
      if (within_limits.empty()) {
        return Respond(call, kUnavailable, "rate_limited", kDefaultRetryAfter);
      }
      return SendWithoutScheduler(call, within_limits);
    }
  }
}

void Gateway::SendWithoutScheduler(
    Call& call, const std::vector<const common::UpstreamName*>& candidates) {
  const auto ranked = balancing::RankByPrefix(
      common::SharedPrefixKey(*call.metadata.prompt), candidates);
  const auto group =
      FilterByPromptLength(call, ranked, PartitionByDemand(call, ranked));
  std::vector<int> loads;
  loads.reserve(group.size());
  for (const auto* it : group) loads.push_back(in_flight_[*it]);
  const auto* name = balancing::PickWithBoundedLoad(group, loads);
  if (const auto limit = LimitInForce(*name)) {
    pacing::TakeOwnStart(permits_, Now(), *name, *limit);
  }
  SendTo(
      call, *name,
      {.cache_source = call.preferred_engine == *name ? common::UpstreamName()
                                                      : call.preferred_engine});
}

common::Duration Gateway::RetryAfter(const Call& call, common::Duration wait) {
  const common::Duration left = call.deadline - environment_.clock.Now();
  std::uniform_real_distribution<double> spread(kMinRetrySpread,
                                                kMaxRetrySpread);
  const auto delay = std::chrono::duration_cast<common::Duration>(
      std::max(wait, kDefaultRetryAfter) * spread(random_));
  return std::min(delay, left / kRetryTimeLeftDivisor);
}

void Gateway::SendTo(Call& call, const common::UpstreamName& name,
                     StartGrant grant) {
  const auto it = upstreams_.upstreams.find(name);
  if (it == upstreams_.upstreams.end() || !balancing::AcceptsWork(it->second) ||
      balancing::PausedUntil(upstreams_, name, Now())) {
    scheduler_client_.ReportProgress(grant, protocol::StartStage::kWithdrawn);
    return Dispatch(call);
  }
  // The crash may have become known while the call was waiting.
  if (suspects::FindBannedTrait(crash_evidence_, Now(), call.traits)) {
    scheduler_client_.ReportProgress(grant, protocol::StartStage::kWithdrawn);
    RefuseIfBanned(call);
    return;
  }
  call.cached_tokens = grant.cached_tokens;
  call.grant = std::move(grant);
  call.cache_source.clear();
  const auto source = upstreams_.upstreams.find(call.grant.cache_source);
  if (source != upstreams_.upstreams.end() && !source->second.evacuated) {
    call.cache_source = common::ToString(source->second.entry.endpoint);
  }
  ++in_flight_[name];
  call.StartAttempt(name, it->second.entry.endpoint,
                    upstream_connections_.Acquire(name),
                    environment_.clock.Now());
}

void Gateway::ReleaseConnection(
    const common::UpstreamName& upstream,
    const std::shared_ptr<forwarding::UpstreamConnection>& connection) {
  upstream_connections_.Release(upstream, connection);
}

void Gateway::RecordEventGap(Call& call, common::Duration event_gap) {
  const common::Duration target = call.route->event_gap_target;
  const bool too_long = target > common::Duration(0) && event_gap > target;
  const bool first = call.longest_event_gap <= target;
  call.longest_event_gap = std::max(call.longest_event_gap, event_gap);
  // If this process is late itself, the event gap may be its own and not the
  // engine's.
  const bool on_time =
      load_shedder_.tick_delay <= load_shedder_.options.on_time_limit;
  if (too_long && first && on_time) {
    scheduler_client_.ReportProgress(call.grant,
                                     protocol::StartStage::kStalled);
  }
}

void Gateway::OnProgress(Call& call) {
  const common::TimePoint now = environment_.clock.Now();
  const bool first = call.first_event == common::TimePoint();
  if (!first) {
    RecordEventGap(call, now - call.last_event);
  }
  call.last_event = now;
  if (!first) return;
  call.first_event = now;
  RecordResponse(call);
  scheduler_client_.ReportProgress(call.grant,
                                   protocol::StartStage::kFirstEvent);
}

void Gateway::OnAttemptEnd(Call& call, AttemptEnd end,
                           const forwarding::UpstreamResponse& response) {
  --in_flight_[call.upstream];
  scheduler_client_.ReportProgress(std::exchange(call.grant, {}),
                                   protocol::StartStage::kDone);
  RecordOutcome(call, end);
  if (end == AttemptEnd::kBroken) RecordBrokenAttempt(call);
  if (end == AttemptEnd::kAnswered) RecordResponse(call);
  if (end != AttemptEnd::kAnswered) {
    metrics_.CountFailedAttempt(ToString(end));
    Log(Subsystem::kRouting, LogLevel::kInfo,
        "event=attempt_failed id={} upstream={} attempt={} end={} status={} "
        "attempt_ms={} begun={}",
        call.metadata.request_id, call.upstream.value, call.attempts,
        ToString(end), response.status,
        (environment_.clock.Now() - call.attempt_started) / milliseconds(1),
        call.HasResponseStarted());
  }
  if (response.metadata.other_incarnation) {
    Log(Subsystem::kMembership, LogLevel::kInfo,
        "event=upstream_replaced upstream={} id={}", call.upstream.value,
        call.metadata.request_id);
    balancing::MarkReplaced(upstreams_, call.upstream);
    crash_detector_.OnEnded(call.upstream);
    upstream_connections_.CloseIdle(call.upstream);
    scheduler_client_.RemoveEngine(call.upstream);
  }
  const bool has_response =
      end == AttemptEnd::kAnswered || end == AttemptEnd::kFailed;
  if (!has_response) return HandleFailedAttempt(call, end);
  if (end == AttemptEnd::kFailed && MayRetryServerError(call) &&
      ConsumeRetryBudget(call, end)) {
    call.verdict = common::Verdict::kMayHaveRun;
    return Dispatch(call);
  }
  call.DeliverBuffered();
  LogServed(call, response.status);
  RemoveCall(call);
}

// Whether the retry budget allows another attempt. An attempt that did not
// connect has reached no upstream and is not charged to the budget.
bool Gateway::ConsumeRetryBudget(const Call& call, AttemptEnd end) {
  if (end == AttemptEnd::kNotConnected) return true;
  const bool allowed = common::TryRetry(
      retry_budgets_[call.pool], kRetryOptions, environment_.clock.Now());
  if (!allowed) {
    Log(Subsystem::kRouting, LogLevel::kInfo,
        "event=retry_denied id={} pool={} cause=budget",
        call.metadata.request_id, call.pool.value);
  }
  return allowed;
}

// Whether to retry at another upstream instead of relaying the server error of
// the current one.
bool Gateway::MayRetryServerError(const Call& call) const {
  return IsRetryable(call) && call.attempts < call.route->attempts &&
         !Candidates(call).empty();
}

void Gateway::HandleFailedAttempt(Call& call, AttemptEnd end) {
  const bool may_have_run =
      end == AttemptEnd::kBroken || end == AttemptEnd::kInvalid;
  if (may_have_run) call.verdict = common::Verdict::kMayHaveRun;
  // The end of this attempt may have shown that the request crashes upstreams.
  if (RefuseIfBanned(call)) return;
  const bool may_retry = !may_have_run || IsRetryable(call);
  const bool attempts_left =
      call.attempts < std::max(call.route->attempts, may_have_run ? 1 : 2);
  // Candidates are checked first, because a retry taken from the budget would
  // be wasted if no upstream is left.
  if (may_retry && attempts_left && !Candidates(call).empty() &&
      ConsumeRetryBudget(call, end)) {
    return Dispatch(call);
  }
  if (call.verdict == common::Verdict::kNotRun) {
    return Respond(call, kUnavailable, "refused_by_upstream",
                   std::max(kDefaultRetryAfter, ShortestPause(call)));
  }
  Respond(call, kBadGateway, "upstream_failed");
}

void Gateway::AbortAttempt(Call& call) {
  if (!call.IsAttemptActive()) return;
  const common::Duration waited =
      environment_.clock.Now() - call.attempt_started;
  const common::Duration target = call.route->latency_target;
  const bool unanswered = IsEjectable(call) && !call.HasResponseStarted() &&
                          target > common::Duration(0) &&
                          waited > kUnansweredLatencyTargets * target;
  if (unanswered) RecordUpstreamFailure(call);
  call.StopAttempt();
  call.verdict = common::Verdict::kMayHaveRun;
  --in_flight_[call.upstream];
  scheduler_client_.ReportProgress(std::exchange(call.grant, {}),
                                   protocol::StartStage::kDone);
}

void Gateway::RemoveCall(Call& call) {
  const auto it = calls_.find(&call);
  if (it == calls_.end()) return;
  AbortAttempt(call);
  if (call.search) {
    searches_.erase(*call.search);
    scheduler_client_.Cancel(*call.search);
  }
  if (call.permit) {
    permit_calls_.erase(*call.permit);
    pacing::CancelPermit(permits_, *call.permit);
  }
  removed_calls_.push_back(std::move(it->second));
  calls_.erase(it);
}

}  // namespace shallotbeam::gateway
