#include "Admission/Agent.h"

#include "Admission/Internal.h"

namespace shallotbeam::admission {

namespace {

using internal::Context;

struct EventHandler {
  Context& context;

  void operator()(const RequestOffered& event) {
    internal::OnOffer(context, event);
  }
  void operator()(const OfferWithdrawn& event) {
    internal::OnWithdrawn(context, event);
  }
  void operator()(const UpstreamResponded& event) {
    internal::OnResponded(context, event);
  }
  void operator()(const UpstreamProgressed& event) {
    internal::OnProgress(context, event);
  }
  void operator()(const UpstreamEnded& event) {
    internal::OnUpstreamEnded(context, event);
  }
  void operator()(const UpstreamProbed& event) {
    internal::OnProbed(context, event);
  }
  void operator()(const MessageReceived& event) {
    internal::OnMessage(context, event.envelope);
  }
  void operator()(const ConfigReceived& event) {
    internal::OnConfig(context, event.config);
  }
  void operator()(const Tick&) { internal::OnTick(context); }
  void operator()(const DrainRequested&) { internal::OnDrain(context); }
};

}  // namespace

AgentState MakeAgent(const AgentOptions& options) {
  AgentState state;
  state.options = options;
  state.limit.options = options.limit;
  state.keys.options = options.keys;
  state.suspects.options = options.suspects;
  state.relay.options = options.relay;
  state.error_backoff = options.initial_error_backoff;
  // Grant ids of an earlier incarnation must not be mistaken for ids of this
  // one.
  state.next_grant = (common::ToNumber(options.incarnation) << 32U) + 1;
  return state;
}

void Handle(AgentState& state, common::TimePoint now, const AgentEvent& event,
            AgentActions* actions) {
  Context context{.state = state, .now = now, .actions = *actions};
  const common::TimePoint last = state.pause.last_event;
  const bool started = last != common::TimePoint();
  if (started && now - last > state.options.router_timeout) {
    state.unacknowledged_since_pause = true;
  }
  common::RecordEvent(state.pause, now);
  std::visit(EventHandler{context}, event);
  internal::FillSlots(context);
}

namespace internal {

void Log(Context& context, const Attempt& attempt, std::string_view decision,
         std::string_view cause) {
  context.Emit(
      LogDecision{.id = attempt.id,
                  .workspace = attempt.workspace,
                  .decision = decision,
                  .cause = cause,
                  .router = attempt.router,
                  .running = static_cast<int>(context.state.running.size()),
                  .limit = SlotLimit(context.state.limit)});
}

}  // namespace internal

}  // namespace shallotbeam::admission
