#include <benchmark/benchmark.h>

#include <string>
#include <utility>
#include <variant>

#include "Fixtures.h"
#include "Routing/Router.h"
#include "Timing.h"

namespace shallotbeam::benchmarks {

namespace {

common::ProcessName Agent(int n) {
  return common::ProcessName(fmt::format("agent-{:04}", n));
}

common::Incarnation AgentIncarnation(int n) {
  return static_cast<common::Incarnation>(n + 1);
}

// A router that knows `agents` agents of one pool, each with `free_slots`.
class RouterFixture {
 public:
  RouterFixture(int agents, int free_slots)
      : state_(routing::MakeRouter(
            {.name = common::ProcessName("router"),
             .incarnation = static_cast<common::Incarnation>(7)})) {
    Handle(routing::ConfigReceived{.config = Config()});
    for (int i = 0; i < agents; ++i) {
      protocol::Heartbeat heartbeat{
          .role = protocol::Role::kAgent,
          .control = {.address = "127.0.0.1", .port = 1},
          .config_version = static_cast<common::ConfigVersion>(1),
          .data = {.address = "127.0.0.1", .port = 2},
          .pool = Pool(),
          .upstream = common::UpstreamName(Agent(i).value),
          .free_slots = free_slots,
          .slot_limit = kSlots};
      Handle(routing::MessageReceived{
          .envelope = {.sender = Agent(i),
                       .incarnation = AgentIncarnation(i),
                       .body = heartbeat}});
    }
  }

  routing::RouterEvent Arrival() {
    const auto n = static_cast<int>(sequence_ % kWorkspaces);
    return routing::RequestArrived{.id = {.sequence = ++sequence_},
                                   .workspace = Workspace(n),
                                   .kind = Kind(),
                                   .body_bytes = 100};
  }

  void Handle(const routing::RouterEvent& event) {
    actions_.clear();
    now_ += std::chrono::nanoseconds(1);
    routing::Handle(state_, now_, event, &actions_);
  }

  // The dispatch that the last event caused, or null.
  const routing::DispatchRequest* LastDispatch() const {
    for (const auto& action : actions_) {
      const auto* it = std::get_if<routing::DispatchRequest>(&action);
      if (it != nullptr) return it;
    }
    return nullptr;
  }

  void Complete(const routing::DispatchRequest& dispatch) {
    Handle(
        routing::DispatchEnded{.id = dispatch.id, .attempt = dispatch.attempt});
  }

 private:
  routing::RouterState state_;
  routing::RouterActions actions_;
  common::TimePoint now_ = Now();
  std::uint64_t sequence_ = 0;
};

// Target: a p99 under 20 microseconds that does not grow with the number of
// agents.
void ArrivalToDispatch(benchmark::State& state) {
  RouterFixture router(static_cast<int>(state.range(0)), kSlots);
  Timing timing;
  for (auto _ : state) {
    const routing::RouterEvent arrival = router.Arrival();
    timing.Run(state, [&] { router.Handle(arrival); });
    const auto* dispatch = router.LastDispatch();
    if (dispatch == nullptr) {
      state.SkipWithError("the router dispatched no request");
      break;
    }
    router.Complete(routing::DispatchRequest(*dispatch));
  }
  timing.Report(state);
}
BENCHMARK(ArrivalToDispatch)
    ->Arg(64)
    ->Arg(256)
    ->Arg(1024)
    ->Arg(4900)
    ->Iterations(50'000)
    ->UseManualTime();

void GrantToDispatch(benchmark::State& state) {
  const auto agents = static_cast<int>(state.range(0));
  RouterFixture router(agents, 0);
  constexpr int kQueuedPerWorkspace = 10;
  for (int i = 0; i < kWorkspaces * kQueuedPerWorkspace; ++i) {
    router.Handle(router.Arrival());
  }
  Timing timing;
  int n = 0;
  for (auto _ : state) {
    const int agent = n % agents;
    const routing::RouterEvent grant = routing::MessageReceived{
        .envelope = {.sender = Agent(agent),
                     .incarnation = AgentIncarnation(agent),
                     .body = protocol::Grant{
                         .grant = static_cast<common::GrantId>(n + 1),
                         .pool = Pool(),
                         .workspace = Workspace(n % kWorkspaces)}}};
    ++n;
    timing.Run(state, [&] { router.Handle(grant); });
    const auto* dispatch = router.LastDispatch();
    if (dispatch == nullptr) {
      state.SkipWithError("the router dispatched no request");
      break;
    }
    router.Complete(routing::DispatchRequest(*dispatch));
    router.Handle(router.Arrival());
  }
  timing.Report(state);
}
BENCHMARK(GrantToDispatch)
    ->Arg(64)
    ->Arg(256)
    ->Arg(1024)
    ->Arg(4900)
    ->Iterations(50'000)
    ->UseManualTime();

}  // namespace

}  // namespace shallotbeam::benchmarks
