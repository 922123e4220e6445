#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_FAKEAGENT_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_FAKEAGENT_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Admission/Agent.h"
#include "Fakes/FakeRouter.h"
#include "Fakes/FakeUpstream.h"
#include "Fakes/World.h"
#include "Runtime/ConfigHolder.h"

namespace shallotbeam::fakes {

// Drives the state machine of one agent and executes its actions against the
// fakes.
class FakeAgent {
 public:
  FakeAgent(Simulation& simulation, std::string name,
            std::vector<common::Endpoint> seed_routers,
            std::function<FakeRouter&(const std::string&)> router);

  // Starts with empty state and a new incarnation.
  void Start();
  // Closes the connections from routers; the upstream keeps running.
  void Kill();
  void OnEvent(const admission::AgentEvent& event);

  const admission::AgentState& State() const { return state_; }
  FakeUpstream& Upstream() { return upstream_; }
  bool Drained() const { return drained_; }

 private:
  void OnControl(const protocol::Envelope& envelope);
  void OnTick();
  void OnChunk(const admission::AttemptId& id, std::size_t run);
  void OnUpstreamEnd(const admission::AttemptId& id,
                     admission::UpstreamOutcome outcome, std::size_t run);
  void Send(const std::string& to, const protocol::Body& body);
  // Calls `answer` at the router that opened the connection, if the connection
  // is still open.
  void Reply(const admission::AttemptId& id,
             std::function<void(FakeRouter&)> answer);
  void Complete(const admission::AttemptId& id, std::size_t run);

  void Execute(const admission::StartUpstream& action);
  void Execute(const admission::RejectOffer& action);
  void Execute(const admission::ReplayResult& action);
  void Execute(const admission::DiscardResult& action);
  void Execute(const admission::CancelUpstream& action);
  void Execute(const admission::ProbeUpstream& action);
  void Execute(const admission::SendMessage& action);
  void Execute(const admission::LogDecision& /*action*/) {}
  void Execute(const admission::DrainCompleted& action);

  Simulation& simulation_;
  std::string name_;
  std::vector<common::Endpoint> seed_routers_;
  std::function<FakeRouter&(const std::string&)> router_;
  FakeUpstream upstream_;
  admission::AgentState state_;
  runtime::ConfigHolder config_;
  std::map<std::string, std::size_t> results_;
  std::map<admission::AttemptId, std::string> result_keys_;
  bool drained_ = false;
};

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_FAKEAGENT_H_
