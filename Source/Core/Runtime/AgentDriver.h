#ifndef SHALLOTBEAM_CORE_RUNTIME_AGENTDRIVER_H_
#define SHALLOTBEAM_CORE_RUNTIME_AGENTDRIVER_H_

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

// Dependencies of an AgentDriver. The callbacks may be called from any thread
// and must forward to the thread that uses the AgentDriver.
struct AgentEnvironment {
  const common::Clock& clock;
  transport::HttpClient& client;
  transport::Mailbox& mailbox;
  common::Endpoint upstream;
  std::function<void(admission::AgentEvent)> post_event;
  std::function<void(std::string key, transport::HttpResponse)> post_result;
  std::function<void()> on_drained;
};

// Drives the state machine of an agent: passes events to admission::Handle()
// and executes the resulting actions. Not thread-safe.
class AgentDriver {
 public:
  AgentDriver(const admission::AgentOptions& options,
              AgentEnvironment environment);

  void OnOffer(std::shared_ptr<transport::HttpExchange> exchange,
               const admission::RequestOffered& offer);
  void OnEvent(const admission::AgentEvent& event);
  void OnControlMessage(std::string_view bytes);
  void OnResult(const std::string& key, transport::HttpResponse result);

  // Returns the response to /readyz, /metrics or /status.
  transport::HttpResponse OnAdmin(const std::string& target);

 private:
  // A router's connection and the call to the upstream that serves it.
  struct Call {
    std::shared_ptr<transport::HttpExchange> exchange;
    std::shared_ptr<transport::HttpCall> upstream;
    common::KindName kind;
    common::TimePoint deadline;
  };

  void Execute(const admission::StartUpstream& action);
  void Execute(const admission::RejectOffer& action);
  void Execute(const admission::ReplayResult& action);
  void Execute(const admission::DiscardResult& action);
  void Execute(const admission::CancelUpstream& action);
  void Execute(const admission::ProbeUpstream& action);
  void Execute(const admission::SendMessage& action);
  void Execute(const admission::LogDecision& action);
  void Execute(const admission::DrainCompleted& action);

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

#endif  // SHALLOTBEAM_CORE_RUNTIME_AGENTDRIVER_H_
