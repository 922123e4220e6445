#include <benchmark/benchmark.h>

#include <deque>
#include <utility>
#include <variant>

#include "Admission/Agent.h"
#include "Fixtures.h"
#include "Timing.h"

namespace shallotbeam::benchmarks {

namespace {

// An agent whose slots are all in use, and one router that reports waiting
// requests of `backlogged` workspaces.
class AgentFixture {
 public:
  explicit AgentFixture(int backlogged)
      : state_(admission::MakeAgent(
            {.name = common::ProcessName("agent"),
             .incarnation = static_cast<common::Incarnation>(7),
             .pool = Pool(),
             .upstream = common::UpstreamName("upstream")})) {
    Handle(admission::ConfigReceived{.config = Config()});
    Receive(protocol::Heartbeat{
        .role = protocol::Role::kRouter,
        .control = {.address = "127.0.0.1", .port = 1},
        .config_version = static_cast<common::ConfigVersion>(1)});
    protocol::Demand demand{.pool = Pool(), .sequence = 1};
    for (int i = 0; i < backlogged; ++i) {
      demand.workspaces.push_back(
          {.workspace = Workspace(i),
           .waiting = 1'000'000'000,
           .oldest_wait = std::chrono::milliseconds(5)});
    }
    Receive(demand);
  }

  bool HasGrant() const { return !grants_.empty(); }

  // Returns the request that the router offers in response to the oldest grant.
  admission::RequestOffered NextOffer() {
    const protocol::Grant grant = grants_.front();
    grants_.pop_front();
    const admission::AttemptId id{
        .request = {.router = static_cast<common::Incarnation>(1),
                    .sequence = ++sequence_}};
    return {.id = id,
            .router = Router(),
            .workspace = grant.workspace,
            .kind = Kind(),
            .grant = grant.grant,
            .time_left = std::chrono::seconds(30)};
  }

  void Handle(const admission::AgentEvent& event) {
    actions_.clear();
    now_ += std::chrono::nanoseconds(1);
    admission::Handle(state_, now_, event, &actions_);
    for (const auto& action : actions_) {
      if (const auto* it = std::get_if<admission::StartUpstream>(&action)) {
        running_.push_back(it->id);
      }
      const auto* message = std::get_if<admission::SendMessage>(&action);
      if (message == nullptr) continue;
      const auto* grant = std::get_if<protocol::Grant>(&message->body);
      if (grant != nullptr) grants_.push_back(*grant);
    }
  }

  admission::UpstreamEnded NextCompletion() {
    const admission::AttemptId id = running_.front();
    running_.pop_front();
    return {.id = id, .prompt_tokens = 80, .generated_tokens = 40};
  }
  bool HasRunning() const { return !running_.empty(); }

 private:
  static common::ProcessName Router() { return common::ProcessName("router"); }

  void Receive(protocol::Body body) {
    Handle(admission::MessageReceived{
        .envelope = {.sender = Router(),
                     .incarnation = static_cast<common::Incarnation>(1),
                     .body = std::move(body)}});
  }

  admission::AgentState state_;
  admission::AgentActions actions_;
  common::TimePoint now_ = Now();
  std::deque<protocol::Grant> grants_;
  std::deque<admission::AttemptId> running_;
  std::uint64_t sequence_ = 0;
};

// Offers one request for each outstanding grant, as the router would.
void OfferAllGrantedRequests(AgentFixture& agent) {
  while (agent.HasGrant()) agent.Handle(agent.NextOffer());
}

void Offer(benchmark::State& state) {
  AgentFixture agent(static_cast<int>(state.range(0)));
  OfferAllGrantedRequests(agent);
  Timing timing;
  for (auto _ : state) {
    if (!agent.HasRunning()) {
      state.SkipWithError("no request is running");
      break;
    }
    agent.Handle(agent.NextCompletion());
    if (!agent.HasGrant()) {
      state.SkipWithError("the agent sent no grant");
      break;
    }
    const admission::AgentEvent offer = agent.NextOffer();
    timing.Run(state, [&] { agent.Handle(offer); });
  }
  timing.Report(state);
}
BENCHMARK(Offer)->Arg(26)->Arg(260)->Iterations(50'000)->UseManualTime();

// On a completion, the agent chooses the workspace that gets the next grant.
void Completion(benchmark::State& state) {
  AgentFixture agent(static_cast<int>(state.range(0)));
  OfferAllGrantedRequests(agent);
  Timing timing;
  for (auto _ : state) {
    if (!agent.HasRunning()) {
      state.SkipWithError("no request is running");
      break;
    }
    const admission::AgentEvent end = agent.NextCompletion();
    timing.Run(state, [&] { agent.Handle(end); });
    OfferAllGrantedRequests(agent);
  }
  timing.Report(state);
}
BENCHMARK(Completion)->Arg(26)->Arg(260)->Iterations(50'000)->UseManualTime();

}  // namespace

}  // namespace shallotbeam::benchmarks
