#include "Gateway/Gateway.h"

#include <algorithm>
#include <utility>

#include "Common/HandlerGuard.h"
#include "Common/Logging.h"
#include "Gateway/GatewayResponses.h"
#include "PlatformClients/ChangeTiming.h"

namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;
using std::chrono::milliseconds;

// A long poll may miss changes for up to this long while the store compacts its
// history.
constexpr common::Duration kMaxMissedChangeDelay = milliseconds(1'100);
// Interval between checks of connection timeouts.
constexpr common::Duration kConnectionCheckInterval = milliseconds(250);
// Retry-After for callers that are rejected because of the state of this
// process; another gateway can serve them at once.
constexpr common::Duration kOtherHostRetryAfter = milliseconds(50);
constexpr common::Duration kDefaultTimeout = std::chrono::seconds(60);
// Time for the rest of a refusal to arrive after its head. The request goes
// elsewhere afterwards.
constexpr common::Duration kRefusalTime = milliseconds(100);
// Time within which the load balancer notices that this process is not ready.
constexpr common::Duration kReadinessNoticeTime = milliseconds(2'500);
// Margin by which the process exits before it would be killed.
constexpr common::Duration kStopMargin = milliseconds(400);
// Part of the margin in which the last responses are sent.
constexpr common::Duration kLastAnswerTime = milliseconds(100);

platform_clients::StoreSessionOptions SessionOptions(
    const GatewaySettings& settings) {
  const platform_clients::ChangeTiming timing =
      platform_clients::TimingFor(ChangeLimit(settings));
  platform_clients::StoreSessionOptions options;
  const bool relay = IsRelay(settings);
  options.poll_wait = relay ? timing.relay_poll_wait : timing.poll_wait;
  options.max_change_delay =
      relay ? timing.relay_max_change_delay : timing.max_change_delay;
  return options;
}

}  // namespace

Gateway::Gateway(GatewaySettings settings, common::Incarnation incarnation,
                 GatewayEnvironment environment)
    : settings_(std::move(settings)),
      environment_(std::move(environment)),
      caller_server_(
          environment_.context,
          {.clock = environment_.clock, .handler = *this, .limits = limits_},
          MaxConnections(settings_), MemoryOptions(settings_)),
      upstream_connections_(environment_.context, environment_.clock,
                            environment_.header_codec),
      crash_detector_(environment_.context, environment_.clock,
                      [this](const DetectedCrash& it) { OnCrash(it); }),
      scheduler_client_(
          {.name = settings_.name,
           .incarnation = incarnation,
           .control = settings_.control,
           .relays = ControlAddresses(settings_),
           .search = {.order = WeighsPlacement(settings_)
                                   ? balancing::PlacementOrder::kWeighed
                                   : balancing::PlacementOrder::kRanked,
                      .away_penalty = settings_.away_penalty,
                      .tolerated_wait = settings_.tolerated_wait,
                      .max_offers = settings_.max_offers}},
          environment_.clock, environment_.send,
          {.on_outcome =
               [this](const SearchOutcome& it) { OnSearchOutcome(it); },
           .on_crash_report =
               [this](const protocol::CrashReport& it) { OnCrashReport(it); },
           .on_limit_report =
               [this](const protocol::LimitReport& it) { OnLimitReport(it); },
           .on_permit_request =
               [this](common::Incarnation gateway,
                      const protocol::PermitRequest& it) {
                 OnPermitRequest(gateway, it);
               },
           .on_permit_reply =
               [this](const protocol::PermitReply& it) { OnPermitReply(it); }}),
      permits_{.options = {.gateway = settings_.name}},
      started_(environment_.clock.Now()),
      random_(std::random_device()()) {
  if (IsRelay(settings_)) {
    change_relay_.emplace(
        environment_.clock, store_,
        platform_clients::TimingFor(ChangeLimit(settings_)).relay_max_age);
  }
  store_.options = SessionOptions(settings_);
  if (settings_.cpu_share > 0 && environment_.processor != nullptr) {
    accept_controller_.emplace();
    accept_controller_->options.cpu_share = settings_.cpu_share;
    load_shedder_.options = overload::OptionsBehindController();
  }
}

absl::Status Gateway::Listen() {
  return caller_server_.Listen(settings_.callers);
}

std::optional<common::Duration> Gateway::StoreAge() const {
  return platform_clients::AgeOf(store_, environment_.clock.Now());
}

bool Gateway::IsReady() const {
  return table_ != nullptr && !draining_since_ &&
         store_.confirmed_at.has_value() && !load_shedder_.overloaded &&
         !(accept_controller_ && accept_controller_->crowded);
}

std::string Gateway::MetricsText() {
  std::size_t usable = 0;
  for (const auto& [name, it] : upstreams_.upstreams) {
    if (balancing::AcceptsWork(it)) ++usable;
  }
  return metrics_.Text({.calls = calls_.size(),
                        .caller_connections = caller_server_.Connections(),
                        .buffered_bytes = Memory()->used,
                        .upstreams = usable,
                        .passing_share = load_shedder_.share,
                        .evacuated_data_centres = upstreams_.evacuated.size(),
                        .cold_upstreams = cold_.size(),
                        .long_prompt_fraction = LargestLongPromptFraction(),
                        .ready = IsReady(),
                        .store_age = StoreAge(),
                        .configuration_version = VersionOf(table_.get()),
                        .log_lines_dropped = common::DroppedLogLines(),
                        .handler_failures = common::HandlerFailures()});
}

void Gateway::OnTick() {
  removed_calls_.clear();
  const common::TimePoint now = environment_.clock.Now();
  if (last_tick_ != common::TimePoint()) {
    ControlLoad(now, now - last_tick_ - kTickInterval);
  }
  last_tick_ = now;
  SendStoreCall();
  for (const auto& name : balancing::RemoveExpired(upstreams_, now)) {
    Log(Subsystem::kMembership, LogLevel::kInfo,
        "event=upstream_gone upstream={} cause=entry_did_not_return",
        name.value);
    ForgetUpstream(name);
    scheduler_client_.RemoveEngine(name);
  }
  scheduler_client_.OnTick([this] { return StartsInProgress(); });
  OnPermitTick();
  SendLimits();
  ExpireColdPeriods();
  ExchangeCrashReports();
  if (change_relay_) change_relay_->OnTick();
  CheckDeadlines();
  if (now < next_check_) return;
  next_check_ = now + kConnectionCheckInterval;
  LogLoad(now);
  suspects::Expire(crash_evidence_, now);
  pacing::Expire(permit_desk_, now);
  caller_server_.CheckTimeouts(now);
  upstream_connections_.CloseExpired(now);
}

SchedulerClient::InProgress Gateway::StartsInProgress() const {
  SchedulerClient::InProgress numbers;
  for (const auto& [call, owner] : calls_) {
    if (call->grant.number == 0) continue;
    numbers[call->grant.upstream].push_back(call->grant.number);
  }
  for (auto& [upstream, it] : numbers) std::sort(it.begin(), it.end());
  return numbers;
}

void Gateway::CheckDeadlines() {
  const common::TimePoint now = environment_.clock.Now();
  std::vector<Call*> late;
  std::vector<Call*> refused;
  for (const auto& [call, owner] : calls_) {
    if (now >= call->deadline) {
      late.push_back(call);
    } else if (call->IsRefusalIncomplete() &&
               now - call->refused_at > kRefusalTime) {
      refused.push_back(call);
    }
  }
  for (Call* it : late) {
    AbortAttempt(*it);
    Respond(*it, kGatewayTimeout, "timeout");
  }
  for (Call* it : refused) it->EndRefusedAttempt();
  CheckDrain(now);
}

void Gateway::CheckDrain(common::TimePoint now) {
  if (!draining_since_ || !on_drained_) return;
  const common::Duration drained_for = now - *draining_since_;
  const common::Duration last_call = settings_.stop_limit - kStopMargin;
  if (drained_for > last_call + kLastAnswerTime) {
    return std::exchange(on_drained_, {})();
  }
  if (drained_for > last_call) return EndRemainingCalls();
  if (drained_for <= kReadinessNoticeTime || !calls_.empty()) return;
  // Requests may have arrived that no handler has read yet. They are answered
  // first, so that the process exits at a later tick.
  if (!listening_stopped_) {
    listening_stopped_ = true;
    return caller_server_.SetAccepting(false);
  }
  if (caller_server_.HasUnansweredRequests()) return;
  std::exchange(on_drained_, {})();
}

void Gateway::EndRemainingCalls() {
  std::vector<Call*> remaining;
  for (const auto& [call, owner] : calls_) remaining.push_back(call);
  for (Call* it : remaining) {
    AbortAttempt(*it);
    const bool not_run = it->verdict == common::Verdict::kNotRun;
    Respond(*it, not_run ? kUnavailable : kGatewayTimeout, "stopping",
            not_run ? std::optional(kOtherHostRetryAfter) : std::nullopt);
  }
}

void Gateway::Drain(std::function<void()> on_done) {
  draining_since_ = environment_.clock.Now();
  on_drained_ = std::move(on_done);
  caller_server_.Drain();
}

void Gateway::SendStoreCall() {
  const auto call =
      platform_clients::NextCall(store_, environment_.clock.Now());
  if (!call) return;
  if (const auto* list = std::get_if<platform_clients::ListCall>(&*call)) {
    return environment_.store.List(
        "", list->after, [this](const platform_clients::ListResult& result) {
          ApplyStoreUpdate(platform_clients::OnListed(
                               store_, environment_.clock.Now(), result),
                           {.source = "list"});
        });
  }
  const auto& poll = std::get<platform_clients::PollCall>(*call);
  environment_.store.AwaitChanges(
      "", poll.position, poll.wait,
      [this](const platform_clients::ChangesResult& result) {
        ApplyStoreUpdate(
            platform_clients::OnChanges(store_, environment_.clock.Now(),
                                        result),
            {.source = result.copy ? "relay" : "store",
             .copy_age = result.copy ? result.copy->age : milliseconds(0)});
      });
}

void Gateway::ApplyStoreUpdate(const platform_clients::StoreUpdate& update,
                               const ResultOrigin& origin) {
  const common::Duration call_time = Now() - store_.call_sent;
  if (update.disconnected || update.reconnected) {
    Log(Subsystem::kPlatform, LogLevel::kWarning,
        "event=store_{} call_ms={} store_age_ms={}",
        update.disconnected ? "lost" : "regained", call_time / milliseconds(1),
        StoreAge().value_or(milliseconds(-1)) / milliseconds(1));
  }
  if (update.restored) {
    Log(Subsystem::kPlatform, LogLevel::kWarning,
        "event=store_restored era={} source={}", store_.era, origin.source);
  }
  for (const platform_clients::ItemChange& it : update.changes) {
    // One item that can't be handled must not hide the others.
    common::RunGuarded("store_change", [&] {
      if (auto change = environment_.decode(it)) {
        ApplyItem(it, *change, origin, call_time);
      }
    });
  }
  if (change_relay_) change_relay_->OnUpdate(update);
  SendStoreCall();
}

void Gateway::ApplyItem(const platform_clients::ItemChange& item,
                        const FleetChange& change, const ResultOrigin& origin,
                        common::Duration call_time) {
  if (change_relay_ && IsRelayed(change)) change_relay_->Record(item);
  if (change.catalogue) {
    Log(Subsystem::kConfig, LogLevel::kInfo,
        "event=config_received version={} source={} call_ms={} copy_age_ms={}",
        common::ToNumber(change.catalogue->version), origin.source,
        call_time / milliseconds(1), origin.copy_age.count());
  }
  ApplyChange(change, item.item.position);
}

bool Gateway::IsRelayed(const FleetChange& change) const {
  if (change.catalogue || change.configuration_unreadable ||
      change.evacuation) {
    return true;
  }
  const auto known = upstreams_.upstreams.find(change.upstream);
  if (known == upstreams_.upstreams.end()) return change.entry.has_value();
  return !change.entry || !known->second.listed ||
         !balancing::IsSameState(known->second.entry, *change.entry) ||
         change.entry->cold_left > known->second.entry.cold_left;
}

void Gateway::ApplyChange(const FleetChange& change,
                          common::StorePosition position) {
  if (change.configuration_unreadable) {
    configuration_unreadable_ = true;
    Log(Subsystem::kConfig, LogLevel::kError,
        "event=config_unreadable in_force={} effect=credentials_refused",
        VersionOf(table_.get()));
    return;
  }
  if (change.catalogue) {
    const auto known_version = table_ == nullptr ? common::ConfigVersion::kNone
                                                 : table_->Source().version;
    if (change.catalogue->version <= known_version) return;
    table_ = std::make_shared<catalogue::RouteTable>(*change.catalogue);
    configuration_unreadable_ = false;
    limits_ = table_->Source().limits;
    scheduler_client_.SetServiceRate(table_->Source().tokens_per_second);
    for (const auto& [name, it] : upstreams_.upstreams) UpdateEngine(name);
    Log(Subsystem::kConfig, LogLevel::kInfo,
        "event=config_in_force version={} routes={} workspaces={}",
        common::ToNumber(table_->Source().version),
        table_->Source().routes.size(), table_->Source().workspaces.size());
    return;
  }
  if (change.evacuation) return ApplyEvacuation(*change.evacuation);
  const common::TimePoint now = environment_.clock.Now();
  const balancing::UpstreamChange result =
      change.entry
          ? balancing::PutEntry(upstreams_, change.upstream, *change.entry)
          : balancing::RemoveEntry(upstreams_, change.upstream, position, now,
                                   store_.reconnected);
  Log(Subsystem::kMembership, LogLevel::kInfo,
      "event=upstream_entry upstream={} change={} draining={}",
      change.upstream.value, common::ToNumber(result),
      change.entry && change.entry->draining);
  if (result == balancing::UpstreamChange::kOutdated) return;
  if (result == balancing::UpstreamChange::kRemoved ||
      result == balancing::UpstreamChange::kRestarted) {
    ForgetUpstream(change.upstream);
    crash_detector_.OnEnded(change.upstream);
  }
  if (change.entry) {
    for (const auto& other :
         balancing::UpstreamsAtSameAddress(upstreams_, change.upstream)) {
      UpdateEngine(other);
    }
  }
  UpdateEngine(change.upstream);
  if (change.entry) RecordColdEntry(change.upstream);
}

void Gateway::ForgetUpstream(const common::UpstreamName& name) {
  upstream_connections_.CloseIdle(name);
  balancing::ForgetUpstream(ejections_, name);
  stated_.erase(name);
  stated_limits_.limits.erase(name);
  reported_limits_.erase(name);
  cold_.erase(name);
  scheduler_client_.SetLimited(name, false);
  pacing::ForgetUpstream(permits_, name);
}

void Gateway::UpdateEngine(const common::UpstreamName& name) {
  const auto it = upstreams_.upstreams.find(name);
  if (it == upstreams_.upstreams.end() || !balancing::AcceptsWork(it->second)) {
    scheduler_client_.RemoveEngine(name);
  } else {
    RegisterEngine(it->second);
  }
}

void Gateway::RegisterEngine(const balancing::Upstream& upstream) {
  if (table_ == nullptr) return;
  const auto& pools = table_->Source().pools;
  const auto pool = pools.find(upstream.entry.pool);
  if (pool == pools.end() || !pool->second.engine) return;
  scheduler_client_.PutEngine(upstream.name, upstream.entry.endpoint.address,
                              upstream.entry.started, *pool->second.engine,
                              pool->second.cold);
  TellOfCold(upstream.name);
}

void Gateway::OnMalformed(int status) {
  Log(Subsystem::kRouting, LogLevel::kInfo, "event=malformed_request status={}",
      status);
}

void Gateway::OnNoMemory(std::size_t bytes) {
  metrics_.CountErrorResponse(kUnavailable, "no_memory");
  Log(Subsystem::kRouting, LogLevel::kWarning,
      "event=request_refused reason=no_memory bytes={} buffered={} limit={}",
      bytes, Memory()->used, Memory()->options.bytes);
}

void Gateway::OnRequest(
    const std::shared_ptr<forwarding::CallerConnection>& connection,
    forwarding::CallerRequest request) {
  auto owner = std::make_unique<Call>(*this, connection, std::move(request));
  Call& call = *owner;
  calls_.emplace(&call, std::move(owner));
  call.metadata = environment_.header_codec.decode_request(call.request.fields);
  if (call.metadata.prompt) common::ShortenParts(*call.metadata.prompt);
  call.deadline =
      call.request.arrived + call.metadata.deadline.value_or(kDefaultTimeout);
  connection->SetCallbacks(
      {.on_disconnected = [this, &call] { OnCallerDisconnected(call); },
       .on_writable = [&call] { call.ResumeReading(); }});
  Route(call);
}

bool Gateway::RefuseCredential(Call& call, bool stale, bool may_lack_changes) {
  const bool checked = table_->Source().checks_credentials;
  if (!checked && !RequiresCredentials(settings_)) return false;
  const auto refuse = [&](std::string_view reason) {
    Respond(call, kUnavailable, reason, kDefaultRetryAfter);
    return true;
  };
  // The credential may have been revoked since the last update from the store,
  // or by a configuration that can't be read.
  if (stale) return refuse("store_unreachable");
  if (configuration_unreadable_) return refuse("configuration_unreadable");
  if (!checked) return refuse("no_workspaces");
  call.workspace = table_->FindWorkspace(call.metadata.credential);
  if (call.workspace != nullptr) return false;
  if (may_lack_changes) return refuse("copy_outdated");
  Respond(call, kUnauthorized, "bad_credential");
  return true;
}

void Gateway::Route(Call& call) {
  call.table = table_;
  if (table_ == nullptr) return Respond(call, kUnavailable, "no_configuration");
  if (call.metadata.request_id.empty()) {
    return Respond(call, kBadRequest, "no_request_id");
  }
  const auto age = StoreAge();
  const common::Duration limit =
      settings_.revocation_limit - kMaxMissedChangeDelay;
  const bool stale = !age || *age > limit;
  // A route or credential that was added within this time may be missing here,
  // which must not end in an answer that forbids a retry.
  const bool may_lack_changes = stale || *age > settings_.config_limit;
  call.route = table_->Find(call.request.host, call.request.target);
  if (call.route == nullptr) {
    if (!may_lack_changes) return Respond(call, kNotFound, "no_route");
    return Respond(call, kUnavailable, "copy_outdated", kDefaultRetryAfter);
  }
  if (call.route->requires_credential &&
      RefuseCredential(call, stale, may_lack_changes)) {
    return;
  }
  call.deadline =
      std::min(call.deadline, call.request.arrived + call.route->timeout);
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto* pool = catalogue::ChoosePool(*call.route, uniform(random_));
  if (pool == nullptr) return Respond(call, kUnavailable, "no_pool");
  call.pool = *pool;
  // Abort() reports the caller as disconnected.
  if (!call.caller->IsConnected()) return call.caller->Abort();
  SetTraits(call);
  if (RefuseIfBanned(call)) return;
  common::RecordDispatch(retry_budgets_[call.pool], kRetryOptions);
  if (!CanFinishBeforeStop(call)) {
    return Respond(call, kUnavailable, "stopping", kOtherHostRetryAfter);
  }
  if (ShouldShedCall(call)) {
    return Respond(call, kUnavailable, "no_processor_time",
                   kOtherHostRetryAfter);
  }
  Dispatch(call);
}

// A draining process accepts only requests whose deadline lies before the time
// at which the process is killed. Until the load balancer has noticed the
// drain, the process accepts every request.
bool Gateway::CanFinishBeforeStop(const Call& call) const {
  if (!draining_since_) return true;
  const common::TimePoint now = environment_.clock.Now();
  if (now - *draining_since_ < kReadinessNoticeTime) return true;
  return call.deadline < *draining_since_ + settings_.stop_limit - kStopMargin;
}

}  // namespace shallotbeam::gateway
