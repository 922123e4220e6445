#include "Runtime/RouterEngine.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "Common/Logging.h"
#include "Runtime/DispatchCall.h"
#include "Runtime/HeaderNames.h"
#include "Runtime/Refusals.h"

namespace shallotbeam::runtime {

namespace {

constexpr common::Duration kConfigPollInterval = std::chrono::seconds(1);

routing::StoreOutcome ToOutcome(platform::SwapOutcome outcome) {
  switch (outcome) {
    case platform::SwapOutcome::kSwapped:
      return routing::StoreOutcome::kOk;
    case platform::SwapOutcome::kConflict:
      return routing::StoreOutcome::kConflict;
    case platform::SwapOutcome::kUnavailable:
      return routing::StoreOutcome::kUnavailable;
  }
  return routing::StoreOutcome::kUnavailable;
}

}  // namespace

RouterEngine::RouterEngine(const routing::RouterOptions& options,
                           RouterEnvironment environment)
    : environment_(std::move(environment)),
      state_(routing::MakeRouter(options)),
      peers_(options.name, options.incarnation, environment_.mailbox) {}

void RouterEngine::OnCaller(std::shared_ptr<transport::HttpExchange> exchange,
                            const routing::RouterEvent& event,
                            common::RequestId id) {
  exchange->OnClientGone([post = environment_.post_event, id] {
    post(routing::CallerLeft{.id = id});
  });
  calls_[id] = {.exchange = std::move(exchange)};
  OnEvent(event);
}

void RouterEngine::OnEvent(const routing::RouterEvent& event) {
  routing::RouterActions actions;
  routing::Handle(state_, environment_.clock.Now(), event, &actions);
  for (const routing::RouterAction& action : actions) {
    std::visit([this](const auto& it) { Do(it); }, action);
  }
  if (const auto* left = std::get_if<routing::CallerLeft>(&event)) {
    EndCall(left->id);
  }
  if (const auto* ended = std::get_if<routing::DispatchEnded>(&event)) {
    const bool completed =
        ended->outcome == routing::DispatchOutcome::kCompleted;
    if (completed) EndCall(ended->id);
  }
}

void RouterEngine::OnControlBytes(std::string_view bytes) {
  const auto envelope = peers_.Receive(bytes);
  if (!envelope) return;
  if (const auto reply = config_.Reply(*envelope)) {
    peers_.Send(envelope->sender, *reply);
  }
  if (const auto* document =
          std::get_if<protocol::ConfigDocument>(&envelope->body)) {
    const auto config = config_.Offer(document->version, document->document);
    if (config) OnEvent(routing::ConfigReceived{.config = *config});
    return;
  }
  OnEvent(routing::MessageReceived{.envelope = *envelope});
}

void RouterEngine::OnStoredConfig(const platform::StoredValue& stored) {
  config_poll_in_flight_ = false;
  const auto config = config_.Offer(
      static_cast<common::ConfigVersion>(stored.revision), stored.value);
  if (config) OnEvent(routing::ConfigReceived{.config = *config});
}

void RouterEngine::OnTick() {
  PollStoredConfig();
  OnEvent(routing::Tick{});
}

void RouterEngine::PollStoredConfig() {
  const common::TimePoint now = environment_.clock.Now();
  const bool due = now - config_polled_ >= kConfigPollInterval;
  if (!due || config_poll_in_flight_) return;
  config_polled_ = now;
  config_poll_in_flight_ = true;
  environment_.store.Read(
      kConfigStoreKey,
      [post = environment_.post_stored_config](platform::ReadResult result) {
        // Revision 0 is never taken over.
        if (!result.status.ok()) result.stored = {};
        post(std::move(result.stored));
      });
}

void RouterEngine::Do(const routing::DispatchRequest& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  Call& call = it->second;
  call.attempt = action.attempt;
  call.exchange->SetSource(action.attempt);
  call.dispatch = StartDispatch(environment_.client, state_.options.name,
                                action, call.exchange, environment_.post_event);
}

void RouterEngine::Do(const routing::CancelDispatch& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end() || it->second.attempt != action.attempt) return;
  if (it->second.dispatch != nullptr) it->second.dispatch->Cancel();
  it->second.dispatch = nullptr;
}

void RouterEngine::Do(const routing::RefuseRequest& action) {
  FailCall(action.id, action.refusal);
}

void RouterEngine::Do(const routing::TruncateResponse& action) {
  FailCall(action.id, action.refusal);
}

void RouterEngine::Do(const routing::GiveTicket& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  transport::HttpResponse response;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = nlohmann::json({{"ticket", action.ticket}}).dump() + "\n";
  it->second.exchange->Send(std::move(response));
  EndCall(action.id);
}

void RouterEngine::Do(const routing::SendMessage& action) {
  peers_.Send(action.to, action.body);
}

void RouterEngine::Do(const routing::ReadBinding& action) {
  environment_.store.Read(
      action.store_key, [post = environment_.post_event,
                         id = action.id](const platform::ReadResult& result) {
        post(routing::BindingRead{
            .id = id,
            .outcome = result.status.ok() ? routing::StoreOutcome::kOk
                                          : routing::StoreOutcome::kUnavailable,
            .revision = result.stored.revision,
            .value = result.stored.value});
      });
}

void RouterEngine::Do(const routing::WriteBinding& action) {
  platform::CompareAndSwapReadBack(
      environment_.store, action.store_key, action.expected_revision,
      action.value,
      [post = environment_.post_event,
       id = action.id](const platform::SwapResult& result) {
        post(routing::BindingWritten{.id = id,
                                     .outcome = ToOutcome(result.outcome),
                                     .revision = result.stored.revision,
                                     .value = result.stored.value});
      });
}

void RouterEngine::Do(const routing::LogDecision& action) {
  common::Log(common::Subsystem::kRouting, common::LogLevel::kInfo,
              "event={} request={} workspace={} kind={} agent={} cause={} "
              "busy={} silent={} leaving={} not_serving={}",
              action.decision, common::ToString(action.id),
              action.workspace.value, action.kind.value, action.agent.value,
              action.cause, action.passed_over.busy, action.passed_over.silent,
              action.passed_over.leaving, action.passed_over.not_serving);
}

void RouterEngine::Do(const routing::DrainCompleted&) {
  environment_.on_drained();
}

void RouterEngine::FailCall(common::RequestId id,
                            const common::Refusal& refusal) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  transport::HttpResponse response = ToResponse(refusal);
  response.headers.emplace_back(std::string(kRequestIdHeader),
                                common::ToString(id));
  it->second.exchange->Fail(std::move(response), ToErrorEvent(refusal));
  EndCall(id);
}

void RouterEngine::EndCall(common::RequestId id) { calls_.erase(id); }

}  // namespace shallotbeam::runtime
