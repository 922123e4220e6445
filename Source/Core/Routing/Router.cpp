#include "Routing/Router.h"

#include <algorithm>

#include "Routing/Internal.h"

namespace shallotbeam::routing {

namespace {

using internal::Context;

struct EventHandler {
  Context& context;

  void operator()(const RequestArrived& event) {
    internal::OnArrival(context, event);
  }
  void operator()(const TicketRequested& event) {
    internal::OnTicketRequest(context, event);
  }
  void operator()(const CallerDisconnected& event) {
    internal::OnCallerDisconnected(context, event);
  }
  void operator()(const DispatchEnded& event) {
    internal::OnDispatchEnded(context, event);
  }
  void operator()(const ResponseStarted& event) {
    internal::OnResponseStarted(context, event);
  }
  void operator()(const MessageReceived& event) {
    internal::OnMessage(context, event.envelope);
  }
  void operator()(const BindingRead& event) {
    internal::OnBindingRead(context, event);
  }
  void operator()(const BindingWritten& event) {
    internal::OnBindingWritten(context, event);
  }
  void operator()(const ConfigReceived& event) {
    internal::OnConfig(context, event.config);
  }
  void operator()(const HostListReceived& event) {
    for (const HostEntry& host : event.hosts) {
      const bool known = context.state.agents.leaving.contains(host.process);
      // The next tick sends heartbeats that tell the agents.
      if (host.leaving && !known) context.state.heartbeat_sent = {};
      SetLeaving(context.state.agents, host.process, host.leaving);
    }
    // Processes that are no longer listed are removed from the set; agents in
    // the table keep their `leaving` flag.
    std::set<common::ProcessName> leaving;
    for (const HostEntry& host : event.hosts) {
      if (host.leaving) leaving.insert(host.process);
    }
    context.state.agents.leaving = std::move(leaving);
  }
  void operator()(const Tick&) { internal::OnTick(context); }
  void operator()(const DrainRequested&) {
    if (context.state.draining) return;
    context.state.draining = true;
    context.state.drain_started = context.now;
  }
};

}  // namespace

RouterState MakeRouter(const RouterOptions& options) {
  RouterState state;
  state.options = options;
  state.random.seed(options.seed);
  state.agents.options = options.membership;
  state.agents.data_centre = options.data_centre;
  state.suspects.options = options.suspects;
  state.relay.options = options.relay;
  return state;
}

void Handle(RouterState& state, common::TimePoint now, const RouterEvent& event,
            RouterActions* actions) {
  Context context{.state = state, .now = now, .actions = *actions};
  if (state.started == common::TimePoint()) state.started = now;
  common::RecordEvent(state.pause_guard, now);
  std::visit(EventHandler{context}, event);
  internal::DispatchQueued(context);
  internal::SendDemand(context);
}

namespace internal {

void Log(Context& context, const Request& request, std::string_view decision,
         std::string_view cause, std::string inputs) {
  context.Emit(LogDecision{
      .id = request.id,
      .workspace = request.workspace,
      .kind = request.kind,
      .decision = decision,
      .agent = request.agent,
      .cause = cause,
      .unavailable = UnavailableAgentsIn(context.state.agents, request.pool),
      .inputs = std::move(inputs)});
}

void RecordStoreRevision(RouterState& state, std::uint64_t revision) {
  state.store_revision = std::max(state.store_revision, revision);
}

common::Duration RetryAfter(Context& context, common::Duration estimate) {
  const double jitter = context.state.options.retry_after_jitter;
  std::uniform_real_distribution<double> spread(1 - jitter, 1 + jitter);
  constexpr common::Duration kMinRetryAfter = std::chrono::milliseconds(100);
  const common::Duration bounded = std::clamp(
      estimate, kMinRetryAfter, context.state.options.max_retry_after);
  return std::chrono::duration_cast<common::Duration>(
      bounded * spread(context.state.random));
}

}  // namespace internal

}  // namespace shallotbeam::routing
