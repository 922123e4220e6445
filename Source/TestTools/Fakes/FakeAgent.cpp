#include "Fakes/FakeAgent.h"

#include <fmt/format.h>

#include <utility>

namespace shallotbeam::fakes {

namespace {

using admission::UpstreamOutcome;
using routing::DispatchOutcome;

}  // namespace

FakeAgent::FakeAgent(Simulation& simulation, std::string name,
                     std::vector<common::Endpoint> seed_routers,
                     std::function<FakeRouter&(const std::string&)> router)
    : simulation_(simulation),
      name_(std::move(name)),
      seed_routers_(std::move(seed_routers)),
      router_(std::move(router)),
      upstream_(name_, simulation.timeline, simulation.records) {
  simulation_.message_handlers[name_] = [this](const auto& it) {
    OnControl(it);
  };
  simulation_.offer_handlers[name_] =
      [this](const admission::RequestOffered& offer) { OnEvent(offer); };
  simulation_.withdrawal_handlers[name_] = [this](admission::AttemptId id) {
    OnEvent(admission::OfferWithdrawn{.id = id});
  };
}

void FakeAgent::Start() {
  simulation_.network.Start(name_);
  state_ = admission::MakeAgent({.name = common::ProcessName(name_),
                                 .incarnation = simulation_.NewIncarnation(),
                                 .pool = common::PoolName(kPool),
                                 .upstream = common::UpstreamName(name_),
                                 .seed_routers = seed_routers_});
  config_ = {};
  results_.clear();
  result_keys_.clear();
  drained_ = false;
  // A restart ends a drain; an agent that the host list names as leaving
  // remains leaving.
  if (simulation_.records.listed_leaving.count(name_) == 0) {
    simulation_.records.leaving.erase(name_);
  }
  OnTick();
}

void FakeAgent::Kill() {
  simulation_.network.Kill(name_);
  for (const auto& [id, connection] : simulation_.connections) {
    if (connection.agent != name_) continue;
    Reply(id, [id = id](FakeRouter& router) {
      router.OnEnd(id, DispatchOutcome::kLost);
    });
  }
}

void FakeAgent::OnEvent(const admission::AgentEvent& event) {
  admission::AgentActions actions;
  const common::ConfigVersion before = state_.config.version;
  admission::Handle(state_, simulation_.timeline.Now(), event, &actions);
  if (state_.config.version < before) {
    simulation_.records.violations.push_back(
        fmt::format("{}: configuration version went back", name_));
  }
  for (const admission::AgentAction& action : actions) {
    std::visit([this](const auto& it) { Execute(it); }, action);
  }
}

void FakeAgent::OnTick() {
  OnEvent(admission::Tick{});
  simulation_.network.Post(name_, kTickInterval, [this] { OnTick(); });
}

void FakeAgent::OnControl(const protocol::Envelope& envelope) {
  if (const auto reply = config_.Reply(envelope)) {
    Send(envelope.sender.value, *reply);
  }
  if (const auto* document =
          std::get_if<protocol::ConfigDocument>(&envelope.body)) {
    const common::ConfigVersion before = config_.Version();
    const auto config = config_.Adopt(document->version, document->document);
    if (config_.Version() < before) {
      simulation_.records.violations.push_back(
          fmt::format("{}: adopted a lower configuration version", name_));
    }
    if (config) OnEvent(admission::ConfigReceived{.config = *config});
    return;
  }
  OnEvent(admission::MessageReceived{.envelope = envelope});
}

void FakeAgent::OnChunk(const admission::AttemptId& id, std::size_t run) {
  OnEvent(admission::UpstreamResponded{.id = id});
  if (result_keys_.count(id) != 0) return;  // stored results are not streamed
  const auto it = simulation_.connections.find(id);
  if (it != simulation_.connections.end()) it->second.chunk_sent = true;
  Reply(id, [id, run](FakeRouter& router) { router.OnChunk(id, run); });
}

void FakeAgent::OnUpstreamEnd(const admission::AttemptId& id,
                              UpstreamOutcome outcome, std::size_t run) {
  admission::UpstreamEnded event{.id = id, .outcome = outcome};
  if (outcome == UpstreamOutcome::kCompleted) {
    const double cost =
        simulation_.records.calls[simulation_.attempt_calls.at(id)]
            .options.cost;
    event.generated_tokens = static_cast<std::uint64_t>(cost);
    event.response_bytes = 100;
    const auto result_key_it = result_keys_.find(id);
    if (result_key_it != result_keys_.end()) {
      results_[result_key_it->second] = run;
    }
    Complete(id, run);
  }
  OnEvent(event);
}

void FakeAgent::Complete(const admission::AttemptId& id, std::size_t run) {
  const auto it = simulation_.connections.find(id);
  const bool whole =
      it != simulation_.connections.end() && !it->second.chunk_sent;
  Reply(id, [id, run, whole](FakeRouter& router) {
    router.OnComplete(id, run, whole);
  });
}

void FakeAgent::Reply(const admission::AttemptId& id,
                      std::function<void(FakeRouter&)> answer) {
  const auto it = simulation_.connections.find(id);
  if (it == simulation_.connections.end()) return;
  const std::string router = it->second.router;
  simulation_.network.SendBytes(
      name_, router,
      [this, router, answer = std::move(answer)] { answer(router_(router)); });
}

void FakeAgent::Send(const std::string& to, const protocol::Body& body) {
  SendControl(simulation_, name_, to,
              {.sender = state_.options.name,
               .incarnation = state_.options.incarnation,
               .body = body});
}

void FakeAgent::Execute(const admission::StartUpstream& action) {
  const admission::AttemptId id = action.id;
  const std::size_t call = simulation_.attempt_calls.at(id);
  if (!action.result_key.empty()) result_keys_[id] = action.result_key;
  const auto leaving = simulation_.records.leaving.find(name_);
  constexpr auto kMaxStartDelayAfterLeaving = std::chrono::seconds(2);
  if (leaving != simulation_.records.leaving.end() &&
      simulation_.timeline.Now() >
          leaving->second + kMaxStartDelayAfterLeaving) {
    simulation_.records.violations.push_back(fmt::format(
        "{}: started call c{} more than 2 s after the first sign of leaving",
        name_, call + 1));
  }
  // The upstream keeps running when its agent restarts; the restarted agent
  // ignores responses to requests of its previous incarnation.
  const common::Incarnation incarnation = state_.options.incarnation;
  upstream_.Start(
      id, call,
      {.on_chunk =
           [this, id, incarnation](std::size_t run) {
             if (state_.options.incarnation != incarnation) return;
             simulation_.network.Post(name_, {},
                                      [this, id, run] { OnChunk(id, run); });
           },
       .on_end =
           [this, id, incarnation](UpstreamOutcome outcome, std::size_t run) {
             if (state_.options.incarnation != incarnation) return;
             simulation_.network.Post(name_, {}, [this, id, outcome, run] {
               OnUpstreamEnd(id, outcome, run);
             });
           },
       .can_report =
           [this, incarnation] {
             return state_.options.incarnation == incarnation &&
                    simulation_.network.IsFaultFree();
           }});
}

void FakeAgent::Execute(const admission::RejectOffer& action) {
  const admission::AttemptId id = action.id;
  const auto it = simulation_.connections.find(id);
  // A stream that has started can't be refused any more, only aborted.
  const bool started =
      it != simulation_.connections.end() && it->second.chunk_sent;
  Reply(id, [id, started, refusal = action.refusal](FakeRouter& router) {
    router.OnEnd(id,
                 started ? DispatchOutcome::kLost : DispatchOutcome::kRefused,
                 refusal);
  });
}

void FakeAgent::Execute(const admission::ReplayResult& action) {
  const auto result = results_.find(action.key);
  if (result != results_.end()) return Complete(action.id, result->second);
  Execute(admission::RejectOffer{
      .id = action.id,
      .refusal = {.verdict = common::Verdict::kMayHaveRun,
                  .reason = common::Reason::kResultExpired}});
}

void FakeAgent::Execute(const admission::DiscardResult& action) {
  results_.erase(action.key);
}

void FakeAgent::Execute(const admission::CancelUpstream& action) {
  upstream_.Cancel(action.id);
}

void FakeAgent::Execute(const admission::ProbeUpstream& /*action*/) {
  const bool up = upstream_.IsUp();
  simulation_.network.Post(name_, std::chrono::milliseconds(1), [this, up] {
    OnEvent(admission::UpstreamProbed{.reachable = up});
  });
}

void FakeAgent::Execute(const admission::SendMessage& action) {
  Send(action.to.value, action.body);
}

void FakeAgent::Execute(const admission::DrainCompleted& /*action*/) {
  simulation_.network.Post(name_, {}, [this] {
    drained_ = true;
    if (!state_.running.empty()) {
      simulation_.records.violations.push_back(
          fmt::format("{}: the drain interrupted {} requests", name_,
                      state_.running.size()));
    }
    Kill();
    simulation_.network.Exit(name_);
  });
}

}  // namespace shallotbeam::fakes
