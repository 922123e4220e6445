#include "Fakes/FakeRouter.h"

#include <fmt/format.h>

#include <utility>

namespace shallotbeam::fakes {

namespace {

using routing::StoreOutcome;

constexpr common::Duration kConfigPollInterval = std::chrono::seconds(1);

StoreOutcome ToOutcome(platform_clients::SwapOutcome outcome) {
  switch (outcome) {
    case platform_clients::SwapOutcome::kSwapped:
      return StoreOutcome::kOk;
    case platform_clients::SwapOutcome::kConflict:
      return StoreOutcome::kConflict;
    case platform_clients::SwapOutcome::kUnavailable:
      return StoreOutcome::kUnavailable;
  }
  return StoreOutcome::kUnavailable;
}

}  // namespace

void SendControl(Simulation& simulation, const std::string& from,
                 std::string to, const protocol::Envelope& envelope) {
  const auto named = simulation.names_by_endpoint.find(to);
  if (named != simulation.names_by_endpoint.end()) to = named->second;
  simulation.network.SendControl(from, to, [&simulation, to, envelope] {
    const auto handler = simulation.message_handlers.find(to);
    if (handler != simulation.message_handlers.end()) handler->second(envelope);
  });
}

FakeRouter::FakeRouter(Simulation& simulation, std::string name,
                       common::Endpoint control)
    : simulation_(simulation),
      name_(std::move(name)),
      control_(std::move(control)),
      store_(simulation.timeline, simulation.store, [this] {
        const bool cut = simulation_.network.IsCut(name_, kStoreName);
        return cut ? StoreMode::kDown : simulation_.store_mode;
      }) {
  simulation_.names_by_endpoint[common::ToString(control_)] = name_;
  simulation_.message_handlers[name_] = [this](const auto& it) {
    OnControl(it);
  };
}

void FakeRouter::Start() {
  simulation_.network.Start(name_);
  state_ = routing::MakeRouter({.name = common::ProcessName(name_),
                                .incarnation = simulation_.NewIncarnation(),
                                .control = control_,
                                .seed = simulation_.random()});
  config_ = {};
  calls_.clear();
  config_polled_ = {};
  drained_ = false;
  OnTick();
}

void FakeRouter::Kill() {
  simulation_.network.Kill(name_);
  for (const auto& [id, call] : calls_) {
    simulation_.records.calls[call].answers.push_back(
        {.type = AnswerType::kBroken, .at = simulation_.timeline.Now()});
  }
  calls_.clear();
  for (auto it = simulation_.connections.begin();
       it != simulation_.connections.end();) {
    const auto current = it++;
    if (current->second.router != name_) continue;
    const std::string agent = current->second.agent;
    const admission::AttemptId id = current->first;
    simulation_.connections.erase(current);
    simulation_.network.SendBytes(name_, agent, [this, agent, id] {
      simulation_.withdrawal_handlers.at(agent)(id);
    });
  }
}

void FakeRouter::OnCall(std::size_t index) {
  Call& call = simulation_.records.calls[index];
  if (drained_) {  // no longer accepts connections
    return call.answers.push_back(
        {.type = AnswerType::kBroken, .at = simulation_.timeline.Now()});
  }
  call.id = {.router = state_.options.incarnation,
             .sequence = next_sequence_++};
  call.arrived = simulation_.timeline.Now();
  calls_[call.id] = index;
  if (call.options.ticket && call.options.key.empty()) {
    return OnEvent(routing::TicketRequested{
        .id = call.id,
        .workspace = common::WorkspaceName(call.options.workspace),
        .kind = common::KindName(call.options.kind)});
  }
  OnEvent(routing::RequestArrived{
      .id = call.id,
      .workspace = common::WorkspaceName(call.options.workspace),
      .kind = common::KindName(call.options.kind),
      .timeout = call.options.timeout,
      .body_bytes = 100,
      .fingerprint = static_cast<common::Fingerprint>(call.options.content),
      .idempotency_key = call.options.key});
}

void FakeRouter::OnEvent(const routing::RouterEvent& event) {
  routing::RouterActions actions;
  const common::ConfigVersion before = state_.config.version;
  routing::Handle(state_, simulation_.timeline.Now(), event, &actions);
  if (state_.config.version < before) {
    simulation_.records.violations.push_back(
        fmt::format("{}: configuration version went back", name_));
  }
  for (const routing::RouterAction& action : actions) {
    std::visit([this](const auto& it) { Execute(it); }, action);
  }
  if (const auto* disconnected =
          std::get_if<routing::CallerDisconnected>(&event)) {
    calls_.erase(disconnected->id);
  }
}

void FakeRouter::OnTick() {
  PollConfig();
  OnEvent(routing::Tick{});
  simulation_.network.Post(name_, kTickInterval, [this] { OnTick(); });
}

void FakeRouter::PollConfig() {
  const common::TimePoint now = simulation_.timeline.Now();
  if (now - config_polled_ < kConfigPollInterval) return;
  config_polled_ = now;
  store_.Read(
      "config/current", [this](const platform_clients::ReadResult& result) {
        simulation_.network.Post(name_, {}, [this, result] {
          if (!result.status.ok()) return;
          Adopt(static_cast<common::ConfigVersion>(result.stored.revision),
                result.stored.value);
        });
      });
}

void FakeRouter::Adopt(common::ConfigVersion version,
                       const std::string& document) {
  const common::ConfigVersion before = config_.Version();
  const auto config = config_.Adopt(version, document);
  if (config_.Version() < before) {
    simulation_.records.violations.push_back(
        fmt::format("{}: adopted a lower configuration version", name_));
  }
  if (config) OnEvent(routing::ConfigReceived{.config = *config});
}

void FakeRouter::OnControl(const protocol::Envelope& envelope) {
  if (const auto reply = config_.Reply(envelope)) {
    Send(envelope.sender.value, *reply);
  }
  if (const auto* document =
          std::get_if<protocol::ConfigDocument>(&envelope.body)) {
    return Adopt(document->version, document->document);
  }
  OnEvent(routing::MessageReceived{.envelope = envelope});
}

void FakeRouter::OnChunk(const admission::AttemptId& id, std::size_t run) {
  const auto it = calls_.find(id.request);
  if (simulation_.connections.count(id) == 0 || it == calls_.end()) return;
  Call& call = simulation_.records.calls[it->second];
  if (call.forwarded_attempt != id.attempt) return;
  call.chunks.push_back(run);
  OnEvent(routing::ResponseStarted{.id = id.request, .attempt = id.attempt});
}

void FakeRouter::OnComplete(const admission::AttemptId& id, std::size_t run,
                            bool whole_body) {
  const auto it = calls_.find(id.request);
  if (simulation_.connections.count(id) == 0 || it == calls_.end()) return;
  Call& call = simulation_.records.calls[it->second];
  if (call.forwarded_attempt == id.attempt) {
    call.chunks.push_back(run);
    if (whole_body) call.chunks.push_back(run);
    Finish(id.request, {.type = AnswerType::kCompleted});
  }
  OnEnd(id, routing::DispatchOutcome::kCompleted);
}

void FakeRouter::OnEnd(const admission::AttemptId& id,
                       routing::DispatchOutcome outcome,
                       const common::Refusal& refusal) {
  if (simulation_.connections.erase(id) == 0) return;
  OnEvent(routing::DispatchEnded{.id = id.request,
                                 .attempt = id.attempt,
                                 .outcome = outcome,
                                 .refusal = refusal});
}

void FakeRouter::Finish(common::RequestId id, Answer answer) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call& call = simulation_.records.calls[it->second];
  calls_.erase(it);
  answer.chunks = call.chunks;
  answer.at = simulation_.timeline.Now();
  call.answers.push_back(std::move(answer));
}

void FakeRouter::Send(const std::string& to, const protocol::Body& body) {
  SendControl(simulation_, name_, to,
              {.sender = state_.options.name,
               .incarnation = state_.options.incarnation,
               .body = body});
}

void FakeRouter::Execute(const routing::DispatchRequest& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  Call& call = simulation_.records.calls[it->second];
  call.forwarded_attempt = action.attempt;
  const std::string agent = action.agent.value;
  const admission::AttemptId id{.request = action.id,
                                .attempt = action.attempt};
  simulation_.connections[id] = {.router = name_, .agent = agent};
  simulation_.attempt_calls[id] = it->second;
  if (!simulation_.network.IsAlive(agent)) {
    return simulation_.network.Post(
        name_, std::chrono::milliseconds(1),
        [this, id] { OnEnd(id, routing::DispatchOutcome::kNotSent); });
  }
  const admission::RequestOffered offer{
      .id = id,
      .router = common::ProcessName(name_),
      .workspace = common::WorkspaceName(call.options.workspace),
      .kind = common::KindName(call.options.kind),
      .grant = action.grant,
      .fingerprint = static_cast<common::Fingerprint>(call.options.content),
      .suspect = action.suspect,
      .time_left = action.time_left,
      .key = call.options.key,
      .bound_to = action.bound_to,
      .binding_revision = action.binding_revision};
  simulation_.network.SendBytes(name_, agent, [this, agent, offer] {
    simulation_.offer_handlers.at(agent)(offer);
  });
  // As in Runtime/DispatchCall, the timeout is the deadline plus 1 s for the
  // answer.
  simulation_.network.Post(
      name_, action.time_left + std::chrono::seconds(1),
      [this, id] { OnEnd(id, routing::DispatchOutcome::kLost); });
}

void FakeRouter::Execute(const routing::CancelDispatch& action) {
  const admission::AttemptId id{.request = action.id,
                                .attempt = action.attempt};
  const auto it = simulation_.connections.find(id);
  if (it == simulation_.connections.end()) return;
  const std::string agent = it->second.agent;
  simulation_.connections.erase(it);
  simulation_.network.SendBytes(name_, agent, [this, agent, id] {
    simulation_.withdrawal_handlers.at(agent)(id);
  });
}

void FakeRouter::Execute(const routing::RefuseRequest& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  const bool started = !simulation_.records.calls[it->second].chunks.empty();
  Finish(action.id,
         {.type = started ? AnswerType::kTruncated : AnswerType::kRefused,
          .refusal = action.refusal});
}

void FakeRouter::Execute(const routing::TruncateResponse& action) {
  Finish(action.id,
         {.type = AnswerType::kTruncated, .refusal = action.refusal});
}

// The caller immediately sends its request with the ticket as key.
void FakeRouter::Execute(const routing::IssueTicket& action) {
  const auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  const std::size_t call = it->second;
  calls_.erase(it);
  simulation_.records.calls[call].options.key = action.ticket;
  OnCall(call);
}

void FakeRouter::Execute(const routing::SendMessage& action) {
  Send(action.to.value, action.body);
}

void FakeRouter::Execute(const routing::ReadBinding& action) {
  store_.Read(
      action.store_key,
      [this, id = action.id](const platform_clients::ReadResult& result) {
        const routing::BindingRead event{
            .id = id,
            .outcome = result.status.ok() ? StoreOutcome::kOk
                                          : StoreOutcome::kUnavailable,
            .revision = result.stored.revision,
            .value = result.stored.value};
        simulation_.network.Post(name_, {}, [this, event] { OnEvent(event); });
      });
}

void FakeRouter::Execute(const routing::WriteBinding& action) {
  platform_clients::CompareAndSwapReadBack(
      store_, action.store_key, action.expected_revision, action.value,
      [this, id = action.id](const platform_clients::SwapResult& result) {
        const routing::BindingWritten event{
            .id = id,
            .outcome = ToOutcome(result.outcome),
            .revision = result.stored.revision,
            .value = result.stored.value};
        simulation_.network.Post(name_, {}, [this, event] { OnEvent(event); });
      });
}

void FakeRouter::Execute(const routing::DrainCompleted& /*action*/) {
  drained_ = true;
  simulation_.network.Post(name_, {}, [this] {
    if (!calls_.empty()) {
      simulation_.records.violations.push_back(fmt::format(
          "{}: the drain interrupted {} calls", name_, calls_.size()));
    }
    Kill();
    simulation_.network.Exit(name_);
  });
}

}  // namespace shallotbeam::fakes
