#include "Gateway/Gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "Common/Logging.h"
#include "Forwarding/Framing.h"

namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;
using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// A long poll may miss changes for up to this long while the store compacts its
// history.
constexpr common::Duration kSilentPoll = milliseconds(1'100);
// Intervals of the checks of connections.
constexpr common::Duration kCheckInterval = milliseconds(250);
constexpr common::Duration kLoadLineInterval = std::chrono::seconds(1);
constexpr common::Duration kShortRetryAfter = milliseconds(300);
// Callers abandon a stream that sends nothing for the longest of these.
constexpr common::Duration kShortestStreamPatience = milliseconds(1'900);
constexpr int kPatienceTargets = 4;  // times the latency target
constexpr int kPatiencePauses = 8;   // times the longest pause on time
// Callers that this process turns away for reasons of its own are served by
// another one at once.
constexpr common::Duration kElsewhereRetryAfter = milliseconds(50);
// Processor time of a request without events, in events relayed.
constexpr double kRequestCost = 8;
// The platform allows a fifth of all requests as repeats; what is left of it is
// for differences between gateways.
constexpr common::RetryOptions kRetryOptions = {
    .ratio = 0.17, .minimum_per_second = 0.1, .burst = 4};
constexpr common::Duration kDefaultTimeout = std::chrono::seconds(60);
// File descriptors kept for files and control connections.
constexpr int kReservedDescriptors = 300;
// Time in which the load balancer notices that this process is not ready.
constexpr common::Duration kNoticeTime = milliseconds(2'500);
// The process ends this long before it would be killed.
constexpr common::Duration kStopMargin = milliseconds(400);

// Zero if there is no configuration.
std::uint64_t VersionOf(const catalogue::RouteTable* table) {
  return table == nullptr ? 0 : common::ToNumber(table->Source().version);
}

}  // namespace

Gateway::Gateway(GatewaySettings settings, common::Incarnation incarnation,
                 GatewayEnvironment environment)
    : settings_(std::move(settings)),
      environment_(std::move(environment)),
      callers_(
          environment_.context,
          {.clock = environment_.clock, .handler = *this, .limits = limits_},
          static_cast<std::size_t>(
              (settings_.max_descriptors - kReservedDescriptors) / 2)),
      connections_(environment_.context, environment_.clock,
                   environment_.dialect),
      starts_({.name = settings_.name,
               .incarnation = incarnation,
               .control = settings_.control,
               .search = {.away_penalty = settings_.away_penalty,
                          .tolerated_wait = settings_.tolerated_wait,
                          .max_offers = settings_.max_offers}},
              environment_.clock, environment_.send,
              [this](const StartOutcome& it) { OnStartOutcome(it); }),
      random_(std::random_device()()) {}

absl::Status Gateway::Listen() { return callers_.Listen(settings_.callers); }

std::optional<common::Duration> Gateway::StoreAge() const {
  return platform::AgeOf(store_, environment_.clock.Now());
}

bool Gateway::IsReady() const {
  return table_ != nullptr && !draining_since_ &&
         store_.confirmed.has_value() && !shedder_.overloaded;
}

std::string Gateway::MetricsText() {
  std::size_t usable = 0;
  for (const auto& [name, it] : upstreams_.upstreams) {
    if (balancing::TakesWork(it)) ++usable;
  }
  return metrics_.Text({.calls = calls_.size(),
                        .caller_connections = callers_.Connections(),
                        .upstreams = usable,
                        .passing_share = shedder_.share,
                        .ready = IsReady(),
                        .store_age = StoreAge(),
                        .configuration_version = VersionOf(table_.get()),
                        .log_lines_dropped = common::DroppedLogLines()});
}

void Gateway::OnTick() {
  ended_.clear();
  const common::TimePoint now = environment_.clock.Now();
  if (last_tick_ != common::TimePoint()) {
    const bool overloaded = shedder_.overloaded;
    const common::Duration late = now - last_tick_ - kTickInterval;
    overload::OnTick(shedder_, now, late);
    if (overloaded != shedder_.overloaded) {
      Log(Subsystem::kMain, LogLevel::kWarning,
          "event=processor_{} share={:.2f} late_ms={} calls={}",
          overloaded ? "recovered" : "overloaded", shedder_.share,
          shedder_.lateness / milliseconds(1), calls_.size());
    }
    callers_.SetAccepting(!shedder_.overloaded);
  }
  last_tick_ = now;
  CallStore();
  for (const auto& name : balancing::DropLapsed(upstreams_, now)) {
    Log(Subsystem::kMembership, LogLevel::kInfo,
        "event=upstream_gone upstream={} cause=entry_did_not_return",
        name.value);
    connections_.Forget(name);
    starts_.RemoveEngine(name);
  }
  starts_.OnTick([this] { return StartsInProgress(); });
  CheckDeadlines();
  if (now < next_check_) return;
  next_check_ = now + kCheckInterval;
  LogLoad(now);
  callers_.CheckTimeouts(now);
  connections_.CloseExpired(now);
}

void Gateway::LogLoad(common::TimePoint now) {
  if (now < next_load_line_) return;
  next_load_line_ = now + kLoadLineInterval;
  Log(Subsystem::kMain, LogLevel::kInfo,
      "event=load connections={} calls={} waiting={} late_ms={} "
      "passing_share={:.2f}",
      callers_.Connections(), calls_.size(), searches_.size(),
      shedder_.lateness / milliseconds(1), shedder_.share);
}

StartClient::InProgress Gateway::StartsInProgress() const {
  StartClient::InProgress numbers;
  for (const auto& [call, owner] : calls_) {
    if (call->ticket.number == 0) continue;
    numbers[call->ticket.upstream].push_back(call->ticket.number);
  }
  for (auto& [upstream, it] : numbers) std::sort(it.begin(), it.end());
  return numbers;
}

void Gateway::CheckDeadlines() {
  const common::TimePoint now = environment_.clock.Now();
  std::vector<Call*> late;
  for (const auto& [call, owner] : calls_) {
    if (now >= call->deadline) late.push_back(call);
  }
  for (Call* it : late) {
    EndAttempt(*it);
    Answer(*it, kGatewayTimeout, "timeout");
  }
  if (!draining_since_) return;
  const bool out_of_time =
      now - *draining_since_ > settings_.stop_limit - kStopMargin;
  const bool idle = now - *draining_since_ > kNoticeTime && calls_.empty();
  if ((idle || out_of_time) && on_drained_) std::exchange(on_drained_, {})();
}

void Gateway::Drain(std::function<void()> on_done) {
  draining_since_ = environment_.clock.Now();
  on_drained_ = std::move(on_done);
  callers_.Drain();
}

void Gateway::CallStore() {
  const auto call = platform::NextCall(store_, environment_.clock.Now());
  if (!call) return;
  if (const auto* list = std::get_if<platform::ListCall>(&*call)) {
    return environment_.store.List(
        "", list->after, [this](const platform::ListResult& result) {
          TakeNews(
              platform::OnListed(store_, environment_.clock.Now(), result));
        });
  }
  const auto& poll = std::get<platform::PollCall>(*call);
  environment_.store.AwaitChanges(
      "", poll.revision, poll.wait,
      [this](const platform::ChangesResult& result) {
        TakeNews(platform::OnChanges(store_, environment_.clock.Now(), result));
      });
}

void Gateway::TakeNews(const platform::StoreNews& news) {
  if (news.lost || news.regained) {
    Log(Subsystem::kPlatform, LogLevel::kWarning, "event=store_{}",
        news.lost ? "lost" : "regained");
  }
  for (const platform::ItemChange& it : news.changes) {
    const auto change = environment_.decode(it);
    if (change) TakeChange(*change);
  }
  CallStore();
}

void Gateway::TakeChange(const FleetChange& change) {
  if (change.catalogue) {
    const auto known = table_ == nullptr ? common::ConfigVersion::kNone
                                         : table_->Source().version;
    if (change.catalogue->version <= known) return;
    table_ = std::make_shared<catalogue::RouteTable>(*change.catalogue);
    limits_ = table_->Source().limits;
    starts_.SetServiceRate(table_->Source().tokens_per_second);
    for (const auto& [name, it] : upstreams_.upstreams) TellSchedulers(it);
    Log(Subsystem::kConfig, LogLevel::kInfo,
        "event=config_in_force version={} routes={} workspaces={}",
        common::ToNumber(table_->Source().version),
        table_->Source().routes.size(), table_->Source().workspaces.size());
    return;
  }
  const common::TimePoint now = environment_.clock.Now();
  const balancing::UpstreamChange result =
      change.entry
          ? balancing::PutEntry(upstreams_, change.upstream, *change.entry)
          : balancing::RemoveEntry(upstreams_, change.upstream, now,
                                   store_.regained);
  Log(Subsystem::kMembership, LogLevel::kInfo,
      "event=upstream_entry upstream={} change={} draining={}",
      change.upstream.value, common::ToNumber(result),
      change.entry && change.entry->draining);
  if (result == balancing::UpstreamChange::kRemoved ||
      result == balancing::UpstreamChange::kRestarted) {
    connections_.Forget(change.upstream);
  }
  if (change.entry) {
    for (const auto& other :
         balancing::SharingAddress(upstreams_, change.upstream)) {
      FollowUpstream(other);
    }
  }
  FollowUpstream(change.upstream);
}

void Gateway::FollowUpstream(const common::UpstreamName& name) {
  const auto it = upstreams_.upstreams.find(name);
  if (it == upstreams_.upstreams.end() || !balancing::TakesWork(it->second)) {
    starts_.RemoveEngine(name);
  } else {
    TellSchedulers(it->second);
  }
}

void Gateway::TellSchedulers(const balancing::Upstream& upstream) {
  if (table_ == nullptr) return;
  const auto& pools = table_->Source().pools;
  const auto pool = pools.find(upstream.entry.pool);
  if (pool == pools.end() || !pool->second.engine) return;
  starts_.PutEngine(upstream.name, upstream.entry.endpoint.address,
                    upstream.entry.started, *pool->second.engine);
}

void Gateway::OnMalformed(int status) {
  Log(Subsystem::kRouting, LogLevel::kInfo, "event=malformed_request status={}",
      status);
}

void Gateway::OnRequest(
    const std::shared_ptr<forwarding::CallerConnection>& connection,
    forwarding::CallerRequest request) {
  auto owner = std::make_unique<Call>(*this, connection, std::move(request));
  Call& call = *owner;
  calls_.emplace(&call, std::move(owner));
  call.facts = environment_.dialect.decode_request(call.request.fields);
  call.deadline =
      call.request.arrived + call.facts.deadline.value_or(kDefaultTimeout);
  connection->Listen({.on_gone = [this, &call] { OnCallerLeft(call); },
                      .on_writable = [&call] { call.ResumeReading(); }});
  Route(call);
}

void Gateway::Route(Call& call) {
  call.table = table_;
  if (table_ == nullptr) return Answer(call, kUnavailable, "no_configuration");
  if (call.facts.request_id.empty()) {
    return Answer(call, kBadRequest, "no_request_id");
  }
  const auto age = StoreAge();
  const common::Duration limit = settings_.revocation_limit - kSilentPoll;
  const bool stale = !age || *age > limit;
  call.route = table_->Find(call.request.host, call.request.target);
  if (call.route == nullptr) {
    // A route that was just added may not be known here yet.
    if (stale) return Answer(call, kUnavailable, "store_unreachable");
    return Answer(call, kNotFound, "no_route");
  }
  const bool has_workspaces = !table_->Source().workspaces.empty();
  if (has_workspaces && call.route->credentialed) {
    // A credential may have been withdrawn meanwhile.
    if (stale) {
      return Answer(call, kUnavailable, "store_unreachable", kShortRetryAfter);
    }
    call.workspace = table_->Holder(call.facts.credential);
    if (call.workspace == nullptr) {
      return Answer(call, kUnauthorized, "bad_credential");
    }
  }
  call.deadline =
      std::min(call.deadline, call.request.arrived + call.route->timeout);
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto* pool = catalogue::ChoosePool(*call.route, uniform(random_));
  if (pool == nullptr) return Answer(call, kUnavailable, "no_pool");
  call.pool = *pool;
  // Reports the caller as gone.
  if (!call.caller->IsConnected()) return call.caller->Abort();
  common::NoteDispatch(retries_[call.pool], kRetryOptions);
  if (!CanFinish(call)) {
    return Answer(call, kUnavailable, "stopping", kElsewhereRetryAfter);
  }
  if (IsShed(call)) {
    return Answer(call, kUnavailable, "no_processor_time",
                  kElsewhereRetryAfter);
  }
  Dispatch(call);
}

// A process that was told to stop takes what ends before it is killed. Until
// the load balancer has noticed, it takes everything.
bool Gateway::CanFinish(const Call& call) const {
  if (!draining_since_) return true;
  const common::TimePoint now = environment_.clock.Now();
  if (now - *draining_since_ < kNoticeTime) return true;
  return call.deadline < *draining_since_ + settings_.stop_limit - kStopMargin;
}

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

std::vector<const common::UpstreamName*> Gateway::Candidates(
    const Call& call) const {
  std::vector<const common::UpstreamName*> names;
  for (const auto& [name, it] : upstreams_.upstreams) {
    if (it.entry.pool != call.pool || !balancing::TakesWork(it)) continue;
    if (call.tried.count(name) == 0) names.push_back(&name);
  }
  return names;
}

const common::UpstreamName* Gateway::LeastUsed(
    const std::vector<const common::UpstreamName*>& candidates) {
  return *std::min_element(candidates.begin(), candidates.end(),
                           [this](const auto* a, const auto* b) {
                             return in_flight_[*a] < in_flight_[*b];
                           });
}

// The engine that caches what the subject's prompts share: the first in the
// subject's order outside the lane.
common::UpstreamName Gateway::HomeOf(
    const std::vector<const common::UpstreamName*>& ranked) {
  const auto others = balancing::SplitLane({}, ranked).others;
  return others.empty() ? common::UpstreamName() : *others.front();
}

// Long prompts go to the engines of the lane, all others elsewhere while some
// engine there answers.
std::vector<const common::UpstreamName*> Gateway::ByLane(
    const Call& call,
    const std::vector<const common::UpstreamName*>& candidates) const {
  const auto pace = starts_.ReadingPace();
  if (!pace) return candidates;
  auto split = balancing::SplitLane({}, candidates);
  const bool is_long = balancing::IsLongPrompt({}, *call.facts.prompt, *pace,
                                               call.route->pause_target);
  const auto& wanted = is_long ? split.lane : split.others;
  const bool answers =
      std::any_of(wanted.begin(), wanted.end(),
                  [this](const auto* it) { return starts_.IsAnswering(*it); });
  return answers ? wanted : candidates;
}

void Gateway::Dispatch(Call& call) {
  auto candidates = Candidates(call);
  if (candidates.empty()) {
    return Answer(call, kUnavailable, "no_upstream", kShortRetryAfter);
  }
  if (!call.facts.prompt) return SendTo(call, *LeastUsed(candidates), {});
  const std::uint64_t subject = common::SubjectOf(*call.facts.prompt);
  candidates = balancing::RankBySubject(subject, candidates);
  call.home = HomeOf(candidates);
  SeekStart(call, ByLane(call, candidates));
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
  const auto ranked =
      ByLane(call, balancing::RankBySubject(
                       common::SubjectOf(*call.facts.prompt), candidates));
  std::vector<int> loads;
  loads.reserve(ranked.size());
  for (const auto* it : ranked) loads.push_back(in_flight_[*it]);
  const auto* name = balancing::PickWithBoundedLoad(ranked, loads);
  SendTo(call, *name,
         {.cache_source =
              call.home == *name ? common::UpstreamName() : call.home});
}

common::Duration Gateway::RetryAfter(const Call& call, common::Duration wait) {
  const common::Duration left = call.deadline - environment_.clock.Now();
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  const auto delay = std::chrono::duration_cast<common::Duration>(
      std::max(wait, kShortRetryAfter) * spread(random_));
  return std::min(delay, left / 3);
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
  if (end == AttemptEnd::kAnswered) {
    call.DeliverBuffered();
    LogServed(call, response.status);
    return EndCall(call);
  }
  AfterFailure(call, end);
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
      "target_ms={} "
      "within_share={}",
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

void Gateway::AfterFailure(Call& call, AttemptEnd end) {
  const bool ran = end == AttemptEnd::kBroken || end == AttemptEnd::kInvalid;
  if (ran) call.verdict = common::Verdict::kMayHaveRun;
  const bool repeatable =
      call.route->repetition == catalogue::Repetition::kAnyNumber &&
      (!call.Begun() || call.route->resumable);
  const bool may_retry = !ran || repeatable;
  const bool attempts_left =
      call.attempts < std::max(call.route->attempts, ran ? 1 : 2);
  if (may_retry && attempts_left && TakeRetry(call, end)) {
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
