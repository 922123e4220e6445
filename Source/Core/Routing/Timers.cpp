#include "Routing/Internal.h"

namespace shallotbeam::routing::internal {

void ArmTimer(Context& context, Request& request, common::TimePoint at) {
  auto& timers = context.state.timers;
  timers.erase({request.timer, request.id});
  request.timer = at;
  timers.emplace(at, request.id);
}

void EraseRequest(Context& context, common::RequestId id) {
  RouterState& state = context.state;
  const auto it = state.requests.find(id);
  if (it == state.requests.end()) return;
  state.timers.erase({it->second.timer, id});
  state.requests.erase(it);
}

// The loop ends, because OnTimer() either removes the request or sets a later
// timer.
void FireTimers(Context& context) {
  const auto& timers = context.state.timers;
  while (!timers.empty() && timers.begin()->first <= context.now) {
    OnTimer(context, context.state.requests.at(timers.begin()->second));
  }
}

}  // namespace shallotbeam::routing::internal
