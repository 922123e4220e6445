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

// Runs the decisions of one router and carries out its actions on the fakes.
class FakeRouter {
 public:
  FakeRouter(World& world, std::string name, common::Endpoint control);

  // Starts empty with a new incarnation.
  void Start();
  // Breaks the connections to callers and agents.
  void Kill();
  void OnEvent(const routing::RouterEvent& event);
  void OnCall(std::size_t call);

  // Answers on a connection.
  void OnPart(const admission::AttemptId& id, std::size_t run);
  void OnComplete(const admission::AttemptId& id, std::size_t run,
                  bool whole_body);
  void OnEnd(const admission::AttemptId& id, routing::DispatchOutcome outcome,
             const common::Refusal& refusal = {});

  const routing::RouterState& State() const { return state_; }
  bool Drained() const { return drained_; }

 private:
  void OnControl(const protocol::Envelope& envelope);
  void OnTick();
  void Offer(common::ConfigVersion version, const std::string& document);
  void PollConfig();
  void Send(const std::string& to, const protocol::Body& body);
  void Finish(common::RequestId id, Answer answer);

  void Do(const routing::DispatchRequest& action);
  void Do(const routing::CancelDispatch& action);
  void Do(const routing::RefuseRequest& action);
  void Do(const routing::TruncateResponse& action);
  void Do(const routing::GiveTicket& action);
  void Do(const routing::SendMessage& action);
  void Do(const routing::ReadBinding& action);
  void Do(const routing::WriteBinding& action);
  void Do(const routing::LogDecision& /*action*/) {}
  void Do(const routing::DrainCompleted& /*action*/) { drained_ = true; }

  World& world_;
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
