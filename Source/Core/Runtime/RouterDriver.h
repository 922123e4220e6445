#ifndef SHALLOTBEAM_CORE_RUNTIME_ROUTERDRIVER_H_
#define SHALLOTBEAM_CORE_RUNTIME_ROUTERDRIVER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "PlatformClients/HostList.h"
#include "PlatformClients/KeyValueStore.h"
#include "Routing/Router.h"
#include "Runtime/ConfigHolder.h"
#include "Runtime/Metrics.h"
#include "Runtime/PeerDirectory.h"
#include "Runtime/PeerLink.h"
#include "Runtime/StoreReaders.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"
#include "Transport/Mailbox.h"

namespace shallotbeam::runtime {

// Dependencies of a RouterDriver. The callbacks may be called from any thread
// and must forward to the thread that uses the RouterDriver.
struct RouterEnvironment {
  const common::Clock& clock;
  transport::HttpClient& client;
  transport::Mailbox& mailbox;
  platform_clients::KeyValueStore& store;
  std::function<void(routing::RouterEvent)> post_event;
  std::function<void(platform_clients::ReadResult)> post_stored_config;
  std::function<void()> on_drained;
  platform_clients::HostList* hosts = nullptr;  // the list is not read if null
  std::function<void(platform_clients::HostsResult)> post_hosts;
  std::vector<common::Endpoint> seed_routers = {};
};

// Maps the platform's list of hosts to the agents on these hosts, by address.
// An agent is leaving if its host is. Agents whose host is not listed are
// omitted.
routing::HostListReceived MapHostsToAgents(
    const std::vector<platform_clients::Host>& hosts,
    const routing::AgentTable& agents);

// Drives the state machine of a router: passes events to routing::Handle() and
// executes the resulting actions. Not thread-safe.
class RouterDriver {
 public:
  RouterDriver(const routing::RouterOptions& options,
               RouterEnvironment environment);

  void OnCaller(std::shared_ptr<transport::HttpExchange> exchange,
                const routing::RouterEvent& event, common::RequestId id);
  void OnEvent(const routing::RouterEvent& event);
  void OnControlMessage(std::string_view bytes);
  void OnStoredConfig(const platform_clients::ReadResult& read);
  void OnHosts(const platform_clients::HostsResult& hosts);
  // Returns the response to /readyz, /metrics or /status.
  transport::HttpResponse OnAdmin(const std::string& target);
  void OnTick();
  // Makes /readyz fail from now on, before the process starts to drain.
  void OnShutdownSignal() { shutting_down_ = true; }

 private:
  // A caller's connection and the attempt that serves it.
  struct Call {
    std::shared_ptr<transport::HttpExchange> exchange;
    std::shared_ptr<transport::HttpCall> dispatch;
    std::uint32_t attempt = 0;
    common::WorkspaceName workspace;
    common::KindName kind;
    common::TimePoint arrived;
  };

  void Execute(const routing::DispatchRequest& action);
  void Execute(const routing::CancelDispatch& action);
  void Execute(const routing::RefuseRequest& action);
  void Execute(const routing::TruncateResponse& action);
  void Execute(const routing::IssueTicket& action);
  void Execute(const routing::SendMessage& action);
  void Execute(const routing::ReadBinding& action);
  void Execute(const routing::WriteBinding& action);
  void Execute(const routing::LogDecision& action);
  void Execute(const routing::DrainCompleted& action);

  void CountAnswer(common::RequestId id, const common::Refusal& outcome);
  void EndCall(common::RequestId id);
  void FailCall(common::RequestId id, const common::Refusal& refusal);
  void PollStoredConfig();
  void PollHosts();
  void SendRouterHeartbeats();

  RouterEnvironment environment_;
  routing::RouterState state_;
  ConfigHolder config_;
  PeerLink peers_;
  std::unordered_map<common::RequestId, Call> calls_;
  PeerDirectory directory_;
  ConfigPolling polling_;
  Readiness readiness_;
  RouterMetrics metrics_;
  bool shutting_down_ = false;
  common::TimePoint next_hosts_read_;
  bool hosts_read_in_flight_ = false;
  bool store_available_ = true;
  bool host_list_available_ = true;
  common::TimePoint next_heartbeat_;
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_ROUTERDRIVER_H_
