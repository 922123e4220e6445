#include "Runtime/RouterDriver.h"

#include <fmt/format.h>

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "Common/Logging.h"
#include "Common/StatusText.h"
#include "Runtime/AdminServer.h"
#include "Runtime/DispatchCall.h"
#include "Runtime/HeaderNames.h"
#include "Runtime/Refusals.h"

namespace shallotbeam::runtime {

namespace {

// A leaving host must get no new work within 2 s, including the lag of the host
// list.
constexpr common::Duration kHostListInterval = std::chrono::milliseconds(500);
// Only for heartbeats between routers. Heartbeats to agents are actions of the
// routing state machine.
constexpr common::Duration kRouterHeartbeatInterval =
    std::chrono::milliseconds(500);

routing::StoreOutcome ToOutcome(platform_clients::SwapOutcome outcome) {
  switch (outcome) {
    case platform_clients::SwapOutcome::kSwapped:
      return routing::StoreOutcome::kOk;
    case platform_clients::SwapOutcome::kConflict:
      return routing::StoreOutcome::kConflict;
    case platform_clients::SwapOutcome::kUnavailable:
      return routing::StoreOutcome::kUnavailable;
  }
  return routing::StoreOutcome::kUnavailable;
}

// Logs that a service of the platform stopped responding or responds again.
// Logs only changes, because the service is polled throughout an outage.
void LogAvailabilityChange(std::string_view service, const absl::Status& status,
                           bool* available) {
  if (status.ok() == *available) return;
  *available = status.ok();
  common::Log(common::Subsystem::kPlatform,
              *available ? common::LogLevel::kInfo : common::LogLevel::kWarning,
              "event={} service={} error=\"{}\"",
              *available ? "answers_again" : "no_answer", service,
              common::MessageOf(status));
}

}  // namespace

routing::HostListReceived MapHostsToAgents(
    const std::vector<platform_clients::Host>& hosts,
    const routing::AgentTable& agents) {
  std::map<std::string, bool> leaving;
  for (const platform_clients::Host& it : hosts) {
    leaving[it.address] = it.state == platform_clients::HostState::kLeaving;
  }
  routing::HostListReceived listed;
  for (const auto& [name, agent] : agents.agents) {
    const auto it = leaving.find(agent.data.address);
    if (it == leaving.end()) continue;
    listed.hosts.push_back({.process = name, .leaving = it->second});
  }
  return listed;
}

RouterDriver::RouterDriver(const routing::RouterOptions& options,
                           RouterEnvironment environment)
    : environment_(std::move(environment)),
      state_(routing::MakeRouter(options)),
      peers_(options.name, options.incarnation, environment_.mailbox),
      polling_(
          MakeConfigPolling({.name = options.name,
                             .data_centre = options.data_centre,
                             .has_seeds = !environment_.seed_routers.empty(),
                             .seed = options.seed},
                            environment_.clock.Now())),
      readiness_{.started = environment_.clock.Now()} {}

void RouterDriver::OnCaller(std::shared_ptr<transport::HttpExchange> exchange,
                            const routing::RouterEvent& event,
                            common::RequestId id) {
  exchange->OnClientDisconnected([post = environment_.post_event, id] {
    post(routing::CallerDisconnected{.id = id});
  });
  Call& call = calls_[id];
  call.exchange = std::move(exchange);
  call.arrived = environment_.clock.Now();
  if (const auto* arrived = std::get_if<routing::RequestArrived>(&event)) {
    call.workspace = arrived->workspace;
    call.kind = arrived->kind;
  }
  OnEvent(event);
}

void RouterDriver::OnEvent(const routing::RouterEvent& event) {
  routing::RouterActions actions;
  routing::Handle(state_, environment_.clock.Now(), event, &actions);
  for (const routing::RouterAction& action : actions) {
    std::visit([this](const auto& it) { Execute(it); }, action);
  }
  if (const auto* disconnected =
          std::get_if<routing::CallerDisconnected>(&event)) {
    CountAnswer(disconnected->id,
                {.verdict = common::Verdict::kMayHaveRun,
                 .reason = common::Reason::kCallerDisconnected});
    EndCall(disconnected->id);
  }
  if (const auto* ended = std::get_if<routing::DispatchEnded>(&event)) {
    // An earlier attempt ended; the current attempt still serves the request.
    if (state_.requests.contains(ended->id)) return;
    CountAnswer(ended->id, {.verdict = common::Verdict::kCompleted});
    EndCall(ended->id);
  }
}

void RouterDriver::OnControlMessage(std::string_view bytes) {
  const auto envelope = peers_.Receive(bytes);
  if (!envelope) return;
  RecordPeer(directory_, *envelope, environment_.clock.Now());
  if (const auto reply = config_.Reply(*envelope)) {
    peers_.Send(envelope->sender, *reply);
  }
  if (const auto* document =
          std::get_if<protocol::ConfigDocument>(&envelope->body)) {
    const auto config = config_.Adopt(document->version, document->document);
    if (config) OnEvent(routing::ConfigReceived{.config = *config});
    return;
  }
  OnEvent(routing::MessageReceived{.envelope = *envelope});
}

void RouterDriver::OnStoredConfig(const platform_clients::ReadResult& read) {
  EndConfigRead(polling_);
  LogAvailabilityChange("store", read.status, &store_available_);
  if (!read.status.ok()) return;
  readiness_.store_read = true;
  const auto config =
      config_.Adopt(static_cast<common::ConfigVersion>(read.stored.revision),
                    read.stored.value);
  if (config) OnEvent(routing::ConfigReceived{.config = *config});
}

void RouterDriver::OnHosts(const platform_clients::HostsResult& hosts) {
  hosts_read_in_flight_ = false;
  LogAvailabilityChange("host_list", hosts.status(), &host_list_available_);
  if (!hosts.ok()) return;
  OnEvent(MapHostsToAgents(*hosts, state_.agents));
}

transport::HttpResponse RouterDriver::OnAdmin(const std::string& target) {
  const common::TimePoint now = environment_.clock.Now();
  const transport::TrafficCount traffic = environment_.mailbox.Count();
  if (target == "/metrics") {
    metrics_.Update(state_, traffic);
    return MetricsResponse(metrics_.Text());
  }
  const bool ready = CheckReady(readiness_, config_, directory_, now);
  if (target == "/readyz") {
    return ReadyResponse(config_, ready, shutting_down_ || state_.draining);
  }
  transport::HttpResponse status = RouterStatus(state_, now, traffic);
  AddConfigReport({.config = config_,
                   .peers = directory_,
                   .data_centre = state_.options.data_centre,
                   .ready = ready,
                   .now = now},
                  &status);
  return status;
}

void RouterDriver::OnTick() {
  PollStoredConfig();
  PollHosts();
  SendRouterHeartbeats();
  OnEvent(routing::Tick{});
}

void RouterDriver::PollStoredConfig() {
  if (!BeginConfigRead(polling_, directory_, environment_.clock.Now())) return;
  environment_.store.Read(kConfigStoreKey, environment_.post_stored_config);
}

void RouterDriver::PollHosts() {
  const common::TimePoint now = environment_.clock.Now();
  if (environment_.hosts == nullptr || hosts_read_in_flight_) return;
  if (now < next_hosts_read_) return;
  next_hosts_read_ = now + kHostListInterval;
  hosts_read_in_flight_ = true;
  environment_.hosts->List(environment_.post_hosts);
}

// Routers discover each other by heartbeats, so that they agree on which of
// them read the store, and propagate the configuration.
void RouterDriver::SendRouterHeartbeats() {
  const common::TimePoint now = environment_.clock.Now();
  if (now < next_heartbeat_) return;
  next_heartbeat_ = now + kRouterHeartbeatInterval;
  ExpirePeers(directory_, now);
  const routing::RouterOptions& options = state_.options;
  const protocol::Heartbeat heartbeat{.role = protocol::Role::kRouter,
                                      .data_centre = options.data_centre,
                                      .control = options.control,
                                      .config_version = config_.Version()};
  for (const auto& [name, control] :
       RouterAddresses(directory_, environment_.seed_routers)) {
    if (control == options.control) continue;
    peers_.AddPeer(name, control);
    peers_.Send(name, heartbeat);
  }
}

void RouterDriver::Execute(const routing::DispatchRequest& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  Call& call = it->second;
  call.attempt = action.attempt;
  call.exchange->SetSource(action.attempt);
  call.dispatch = StartDispatch(environment_.client, state_.options.name,
                                action, call.exchange, environment_.post_event);
}

void RouterDriver::Execute(const routing::CancelDispatch& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end() || it->second.attempt != action.attempt) return;
  if (it->second.dispatch != nullptr) it->second.dispatch->Cancel();
  it->second.dispatch = nullptr;
}

void RouterDriver::Execute(const routing::RefuseRequest& action) {
  FailCall(action.id, action.refusal);
}

void RouterDriver::Execute(const routing::TruncateResponse& action) {
  FailCall(action.id, action.refusal);
}

void RouterDriver::Execute(const routing::IssueTicket& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  transport::HttpResponse response;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = nlohmann::json({{"ticket", action.ticket}}).dump() + "\n";
  it->second.exchange->Send(std::move(response));
  EndCall(action.id);
}

void RouterDriver::Execute(const routing::SendMessage& action) {
  peers_.Send(action.to, action.body);
}

void RouterDriver::Execute(const routing::ReadBinding& action) {
  environment_.store.Read(
      action.store_key, [post = environment_.post_event, id = action.id](
                            const platform_clients::ReadResult& result) {
        post(routing::BindingRead{
            .id = id,
            .outcome = result.status.ok() ? routing::StoreOutcome::kOk
                                          : routing::StoreOutcome::kUnavailable,
            .revision = result.stored.revision,
            .value = result.stored.value});
      });
}

void RouterDriver::Execute(const routing::WriteBinding& action) {
  platform_clients::CompareAndSwapReadBack(
      environment_.store, action.store_key, action.expected_revision,
      action.value,
      [post = environment_.post_event,
       id = action.id](const platform_clients::SwapResult& result) {
        post(routing::BindingWritten{.id = id,
                                     .outcome = ToOutcome(result.outcome),
                                     .revision = result.stored.revision,
                                     .value = result.stored.value});
      });
}

void RouterDriver::Execute(const routing::LogDecision& action) {
  common::Log(common::Subsystem::kRouting, common::LogLevel::kInfo,
              "event={} request={} workspace={} kind={} agent={} cause={} "
              "busy={} silent={} leaving={} not_serving={}{}",
              action.decision, common::ToString(action.id),
              action.workspace.value, action.kind.value, action.agent.value,
              action.cause, action.unavailable.busy, action.unavailable.silent,
              action.unavailable.leaving, action.unavailable.not_serving,
              action.inputs);
}

void RouterDriver::Execute(const routing::DrainCompleted&) {
  environment_.on_drained();
}

void RouterDriver::FailCall(common::RequestId id,
                            const common::Refusal& refusal) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  transport::HttpResponse response = ToResponse(refusal);
  response.headers.emplace_back(std::string(kRequestIdHeader),
                                common::ToString(id));
  it->second.exchange->Fail(std::move(response), ToErrorEvent(refusal));
  CountAnswer(id, refusal);
  EndCall(id);
}

void RouterDriver::CountAnswer(common::RequestId id,
                               const common::Refusal& outcome) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const Call& call = it->second;
  const common::Duration elapsed = environment_.clock.Now() - call.arrived;
  // Unknown names sent by callers share one label value; otherwise callers
  // could create an unlimited number of time series.
  const bool known = state_.config.workspaces.contains(call.workspace) &&
                     state_.config.kinds.contains(call.kind);
  const common::WorkspaceName other("unknown");
  metrics_.CountAnswer(known ? call.workspace : other,
                       known ? call.kind : common::KindName(other.value),
                       outcome, elapsed);
}

void RouterDriver::EndCall(common::RequestId id) { calls_.erase(id); }

}  // namespace shallotbeam::runtime
