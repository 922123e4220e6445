#ifndef SHALLOTBEAM_CORE_RUNTIME_AGENTENGINE_H_
#define SHALLOTBEAM_CORE_RUNTIME_AGENTENGINE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "Admission/Agent.h"
#include "Common/Clock.h"
#include "Runtime/ConfigHolder.h"
#include "Runtime/Metrics.h"
#include "Runtime/PeerDirectory.h"
#include "Runtime/PeerLink.h"
#include "Runtime/StoreReaders.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"
#include "Transport/Mailbox.h"

namespace shallotbeam::runtime {

// What the engine works with. The callbacks may be called from any thread and
// must hand over to the thread of the engine.
struct AgentEnvironment {
  const common::Clock& clock;
  transport::HttpClient& client;
  transport::Mailbox& mailbox;
  common::Endpoint upstream;
  std::function<void(admission::AgentEvent)> post_event;
  std::function<void(std::string key, transport::HttpResponse)> post_result;
  std::function<void()> on_drained;
};

// Owns the state of an agent and carries out its actions. Used by one thread.
class AgentEngine {
 public:
  AgentEngine(const admission::AgentOptions& options,
              AgentEnvironment environment);

  void OnOffer(std::shared_ptr<transport::HttpExchange> exchange,
               const admission::RequestOffered& offer);
  void OnEvent(const admission::AgentEvent& event);
  void OnControlBytes(std::string_view bytes);
  void OnResult(const std::string& key, transport::HttpResponse result);

  // Answers /readyz, /metrics and /status.
  transport::HttpResponse OnAdmin(const std::string& target);

 private:
  // A router's connection and the call to the upstream that serves it.
  struct Call {
    std::shared_ptr<transport::HttpExchange> exchange;
    std::shared_ptr<transport::HttpCall> upstream;
    common::KindName kind;
    common::TimePoint deadline;
  };

  void Do(const admission::StartUpstream& action);
  void Do(const admission::RejectOffer& action);
  void Do(const admission::ReplayResult& action);
  void Do(const admission::ForgetResult& action);
  void Do(const admission::CancelUpstream& action);
  void Do(const admission::ProbeUpstream& action);
  void Do(const admission::SendMessage& action);
  void Do(const admission::LogDecision& action);
  void Do(const admission::DrainCompleted& action);

  AgentEnvironment environment_;
  admission::AgentState state_;
  ConfigHolder config_;
  PeerLink peers_;
  PeerDirectory directory_;
  Readiness readiness_;
  AgentMetrics metrics_;
  std::map<admission::AttemptId, Call> calls_;
  std::unordered_map<std::string, transport::HttpResponse> results_;
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_AGENTENGINE_H_
