#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_FAKEROUTER_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_FAKEROUTER_H_

#include <map>
#include <string>
#include <vector>

#include "Fakes/FakeStore.h"
#include "Fakes/World.h"
#include "Routing/Router.h"
#include "Runtime/ConfigHolder.h"

namespace shallotbeam::fakes {

// Drives the state machine of one router and executes its actions against the
// fakes.
class FakeRouter {
 public:
  FakeRouter(Simulation& simulation, std::string name,
             common::Endpoint control);

  // Starts with empty state and a new incarnation.
  void Start();
  // Closes the connections to callers and agents.
  void Kill();
  void OnEvent(const routing::RouterEvent& event);
  void OnCall(std::size_t call);

  // Events that an agent sends on a connection.
  void OnChunk(const admission::AttemptId& id, std::size_t run);
  void OnComplete(const admission::AttemptId& id, std::size_t run,
                  bool whole_body);
  void OnEnd(const admission::AttemptId& id, routing::DispatchOutcome outcome,
             const common::Refusal& refusal = {});

  const routing::RouterState& State() const { return state_; }
  bool Drained() const { return drained_; }

 private:
  void OnControl(const protocol::Envelope& envelope);
  void OnTick();
  void Adopt(common::ConfigVersion version, const std::string& document);
  void PollConfig();
  void Send(const std::string& to, const protocol::Body& body);
  void Finish(common::RequestId id, Answer answer);

  void Execute(const routing::DispatchRequest& action);
  void Execute(const routing::CancelDispatch& action);
  void Execute(const routing::RefuseRequest& action);
  void Execute(const routing::TruncateResponse& action);
  void Execute(const routing::IssueTicket& action);
  void Execute(const routing::SendMessage& action);
  void Execute(const routing::ReadBinding& action);
  void Execute(const routing::WriteBinding& action);
  void Execute(const routing::LogDecision& /*action*/) {}
  void Execute(const routing::DrainCompleted& action);

  Simulation& simulation_;
  std::string name_;
  common::Endpoint control_;
  FakeStore store_;
  routing::RouterState state_;
  runtime::ConfigHolder config_;
  std::map<common::RequestId, std::size_t> calls_;
  std::uint64_t next_sequence_ = 1;
  common::TimePoint config_polled_;
  bool drained_ = false;
};

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_FAKEROUTER_H_
