#include "Fakes/FakeAgent.h"

#include <fmt/format.h>

#include <utility>

namespace shallotbeam::fakes {

namespace {

using admission::UpstreamOutcome;
using routing::DispatchOutcome;

}  // namespace

FakeAgent::FakeAgent(World& world, std::string name,
                     std::vector<common::Endpoint> seed_routers,
                     std::function<FakeRouter&(const std::string&)> router)
    : world_(world),
      name_(std::move(name)),
      seed_routers_(std::move(seed_routers)),
      router_(std::move(router)),
      upstream_(name_, world.timeline, world.records) {
  world_.inboxes[name_] = [this](const auto& it) { OnControl(it); };
  world_.offers[name_] = [this](const admission::RequestOffered& offer) {
    OnEvent(offer);
  };
  world_.withdrawals[name_] = [this](admission::AttemptId id) {
    OnEvent(admission::OfferWithdrawn{.id = id});
  };
}

void FakeAgent::Start() {
  world_.network.Start(name_);
  state_ = admission::MakeAgent({.name = common::ProcessName(name_),
                                 .incarnation = world_.NewIncarnation(),
                                 .pool = common::PoolName(kPool),
                                 .upstream = common::UpstreamName(name_),
                                 .seed_routers = seed_routers_});
  config_ = {};
  results_.clear();
  kept_.clear();
  drained_ = false;
  // A restart ends a drain, but not an entry of the host list.
  if (world_.records.listed_leaving.count(name_) == 0) {
    world_.records.leaving.erase(name_);
  }
  OnTick();
}

void FakeAgent::Kill() {
  world_.network.Kill(name_);
  for (const auto& [id, connection] : world_.connections) {
    if (connection.agent != name_) continue;
    Reply(id, [id = id](FakeRouter& router) {
      router.OnEnd(id, DispatchOutcome::kLost);
    });
  }
}

void FakeAgent::OnEvent(const admission::AgentEvent& event) {
  admission::AgentActions actions;
  const common::ConfigVersion before = state_.config.version;
  admission::Handle(state_, world_.timeline.Now(), event, &actions);
  if (state_.config.version < before) {
    world_.records.violations.push_back(
        fmt::format("{}: configuration version went back", name_));
  }
  for (const admission::AgentAction& action : actions) {
    std::visit([this](const auto& it) { Execute(it); }, action);
  }
}

void FakeAgent::OnTick() {
  OnEvent(admission::Tick{});
  world_.network.Post(name_, kTickInterval, [this] { OnTick(); });
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
      world_.records.violations.push_back(
          fmt::format("{}: took over a lower configuration version", name_));
    }
    if (config) OnEvent(admission::ConfigReceived{.config = *config});
    return;
  }
  OnEvent(admission::MessageReceived{.envelope = envelope});
}

void FakeAgent::OnPart(const admission::AttemptId& id, std::size_t run) {
  OnEvent(admission::UpstreamResponded{.id = id});
  if (kept_.count(id) != 0) return;  // a kept result is not streamed
  const auto it = world_.connections.find(id);
  if (it != world_.connections.end()) it->second.part_sent = true;
  Reply(id, [id, run](FakeRouter& router) { router.OnPart(id, run); });
}

void FakeAgent::OnUpstreamEnd(const admission::AttemptId& id,
                              UpstreamOutcome outcome, std::size_t run) {
  admission::UpstreamEnded event{.id = id, .outcome = outcome};
  if (outcome == UpstreamOutcome::kCompleted) {
    const double cost =
        world_.records.calls[world_.attempt_calls.at(id)].options.cost;
    event.generated_tokens = static_cast<std::uint64_t>(cost);
    event.response_bytes = 100;
    const auto kept = kept_.find(id);
    if (kept != kept_.end()) results_[kept->second] = run;
    Complete(id, run);
  }
  OnEvent(event);
}

void FakeAgent::Complete(const admission::AttemptId& id, std::size_t run) {
  const auto it = world_.connections.find(id);
  const bool whole = it != world_.connections.end() && !it->second.part_sent;
  Reply(id, [id, run, whole](FakeRouter& router) {
    router.OnComplete(id, run, whole);
  });
}

void FakeAgent::Reply(const admission::AttemptId& id,
                      std::function<void(FakeRouter&)> answer) {
  const auto it = world_.connections.find(id);
  if (it == world_.connections.end()) return;
  const std::string router = it->second.router;
  world_.network.SendBytes(
      name_, router,
      [this, router, answer = std::move(answer)] { answer(router_(router)); });
}

void FakeAgent::Send(const std::string& to, const protocol::Body& body) {
  SendControl(world_, name_, to,
              {.sender = state_.options.name,
               .incarnation = state_.options.incarnation,
               .body = body});
}

void FakeAgent::Execute(const admission::StartUpstream& action) {
  const admission::AttemptId id = action.id;
  const std::size_t call = world_.attempt_calls.at(id);
  if (!action.result_key.empty()) kept_[id] = action.result_key;
  const auto leaving = world_.records.leaving.find(name_);
  constexpr auto kLimit = std::chrono::seconds(2);
  if (leaving != world_.records.leaving.end() &&
      world_.timeline.Now() > leaving->second + kLimit) {
    world_.records.violations.push_back(fmt::format(
        "{}: started call c{} more than 2 s after the first sign of leaving",
        name_, call + 1));
  }
  // The upstream runs on when its agent restarts, which then ignores it.
  const common::Incarnation incarnation = state_.options.incarnation;
  upstream_.Start(
      id, call,
      {.on_part =
           [this, id, incarnation](std::size_t run) {
             if (state_.options.incarnation != incarnation) return;
             world_.network.Post(name_, {},
                                 [this, id, run] { OnPart(id, run); });
           },
       .on_end =
           [this, id, incarnation](UpstreamOutcome outcome, std::size_t run) {
             if (state_.options.incarnation != incarnation) return;
             world_.network.Post(name_, {}, [this, id, outcome, run] {
               OnUpstreamEnd(id, outcome, run);
             });
           },
       .can_report =
           [this, incarnation] {
             return state_.options.incarnation == incarnation &&
                    world_.network.IsWhole();
           }});
}

void FakeAgent::Execute(const admission::RejectOffer& action) {
  const admission::AttemptId id = action.id;
  const auto it = world_.connections.find(id);
  // A stream that has begun can only be broken off.
  const bool started = it != world_.connections.end() && it->second.part_sent;
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
  world_.network.Post(name_, std::chrono::milliseconds(1), [this, up] {
    OnEvent(admission::UpstreamProbed{.reachable = up});
  });
}

void FakeAgent::Execute(const admission::SendMessage& action) {
  Send(action.to.value, action.body);
}

void FakeAgent::Execute(const admission::DrainCompleted& /*action*/) {
  world_.network.Post(name_, {}, [this] {
    drained_ = true;
    if (!state_.running.empty()) {
      world_.records.violations.push_back(
          fmt::format("{}: the drain interrupted {} requests", name_,
                      state_.running.size()));
    }
    Kill();
    world_.network.Exit(name_);
  });
}

}  // namespace shallotbeam::fakes
