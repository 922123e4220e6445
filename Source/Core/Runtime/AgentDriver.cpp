#include "Runtime/AgentDriver.h"

#include <utility>

#include "Common/Logging.h"
#include "Runtime/AdminServer.h"
#include "Runtime/Refusals.h"
#include "Runtime/UpstreamCall.h"

namespace shallotbeam::runtime {

namespace {

constexpr common::Duration kProbeTimeout = std::chrono::milliseconds(400);

std::string ToString(const admission::AttemptId& id) {
  return fmt::format("{}/{}", common::ToString(id.request), id.attempt);
}

}  // namespace

AgentDriver::AgentDriver(const admission::AgentOptions& options,
                         AgentEnvironment environment)
    : environment_(std::move(environment)),
      state_(admission::MakeAgent(options)),
      peers_(options.name, options.incarnation, environment_.mailbox),
      readiness_{.started = environment_.clock.Now()} {
  for (const common::Endpoint& seed : options.seed_routers) {
    peers_.AddSeed(seed);
  }
}

void AgentDriver::OnOffer(std::shared_ptr<transport::HttpExchange> exchange,
                          const admission::RequestOffered& offer) {
  exchange->OnClientDisconnected(
      [post = environment_.post_event, id = offer.id] {
        post(admission::OfferWithdrawn{.id = id});
      });
  calls_[offer.id] = {.exchange = std::move(exchange),
                      .kind = offer.kind,
                      .deadline = environment_.clock.Now() + offer.time_left};
  OnEvent(offer);
}

void AgentDriver::OnEvent(const admission::AgentEvent& event) {
  admission::AgentActions actions;
  admission::Handle(state_, environment_.clock.Now(), event, &actions);
  for (const admission::AgentAction& action : actions) {
    std::visit([this](const auto& it) { Execute(it); }, action);
  }
  if (const auto* ended = std::get_if<admission::UpstreamEnded>(&event)) {
    calls_.erase(ended->id);
  }
  if (const auto* withdrawn = std::get_if<admission::OfferWithdrawn>(&event)) {
    // An attempt with an idempotency key continues once it is running, also
    // after its router disconnected.
    if (!state_.running.contains(withdrawn->id)) calls_.erase(withdrawn->id);
  }
}

void AgentDriver::OnControlMessage(std::string_view bytes) {
  const auto envelope = peers_.Receive(bytes);
  if (!envelope) return;
  RecordPeer(directory_, *envelope, environment_.clock.Now());
  if (const auto reply = config_.Reply(*envelope)) {
    peers_.Send(envelope->sender, *reply);
  }
  if (const auto* document =
          std::get_if<protocol::ConfigDocument>(&envelope->body)) {
    const auto config = config_.Adopt(document->version, document->document);
    if (config) OnEvent(admission::ConfigReceived{.config = *config});
    return;
  }
  OnEvent(admission::MessageReceived{.envelope = *envelope});
}

transport::HttpResponse AgentDriver::OnAdmin(const std::string& target) {
  const common::TimePoint now = environment_.clock.Now();
  const transport::TrafficCount traffic = environment_.mailbox.Count();
  if (target == "/metrics") {
    metrics_.Update(state_, traffic);
    return MetricsResponse(metrics_.Text());
  }
  ExpirePeers(directory_, now);
  const bool ready = CheckReady(readiness_, config_, directory_, now);
  if (target == "/readyz") {
    return ReadyResponse(config_, ready, state_.draining);
  }
  transport::HttpResponse status = AgentStatus(state_, traffic);
  AddConfigReport({.config = config_,
                   .peers = directory_,
                   .data_centre = state_.options.data_centre,
                   .ready = ready,
                   .now = now},
                  &status);
  return status;
}

void AgentDriver::OnResult(const std::string& key,
                           transport::HttpResponse result) {
  results_[key] = std::move(result);
}

void AgentDriver::Execute(const admission::StartUpstream& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  Call& call = it->second;
  const auto& kinds = config_.Config().kinds;
  const auto kind = kinds.find(call.kind);
  const bool keep = !action.result_key.empty();
  UpstreamCallHandlers handlers{.post_event = environment_.post_event};
  if (keep) {
    handlers.on_result =
        [post = environment_.post_result,
         key = action.result_key](transport::HttpResponse response) {
          post(key, std::move(response));
        };
  }
  call.upstream = StartUpstreamCall(
      environment_.client,
      {.id = action.id,
       .upstream = environment_.upstream,
       .path = kind == kinds.end() ? "/" : kind->second.upstream_path,
       .timeout = call.deadline - environment_.clock.Now(),
       .keep_result = keep},
      call.exchange, std::move(handlers));
}

void AgentDriver::Execute(const admission::RejectOffer& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  it->second.exchange->Fail(ToResponse(action.refusal), "");
  calls_.erase(it);
}

void AgentDriver::Execute(const admission::ReplayResult& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  const auto result = results_.find(action.key);
  if (result == results_.end()) {
    it->second.exchange->Send(
        ToResponse({.verdict = common::Verdict::kMayHaveRun,
                    .reason = common::Reason::kResultExpired}));
  } else {
    it->second.exchange->Send(result->second);
  }
  calls_.erase(it);
}

void AgentDriver::Execute(const admission::DiscardResult& action) {
  results_.erase(action.key);
}

void AgentDriver::Execute(const admission::CancelUpstream& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  if (it->second.upstream != nullptr) it->second.upstream->Cancel();
  it->second.upstream = nullptr;
}

void AgentDriver::Execute(const admission::ProbeUpstream&) {
  transport::HttpRequest request{.method = "GET", .target = "/health"};
  environment_.client.Fetch(
      environment_.upstream, std::move(request), kProbeTimeout,
      [post = environment_.post_event](transport::CallEnd end,
                                       const transport::HttpResponse&) {
        post(admission::UpstreamProbed{
            .reachable = end == transport::CallEnd::kComplete});
      });
}

void AgentDriver::Execute(const admission::SendMessage& action) {
  peers_.Send(action.to, action.body);
}

void AgentDriver::Execute(const admission::LogDecision& action) {
  common::Log(common::Subsystem::kAdmission, common::LogLevel::kInfo,
              "event={} attempt={} workspace={} router={} cause={} running={} "
              "limit={}",
              action.decision, ToString(action.id), action.workspace.value,
              action.router.value, action.cause, action.running, action.limit);
}

void AgentDriver::Execute(const admission::DrainCompleted&) {
  environment_.on_drained();
}

}  // namespace shallotbeam::runtime
