#ifndef SHALLOTBEAM_CORE_RUNTIME_ROUTERENGINE_H_
#define SHALLOTBEAM_CORE_RUNTIME_ROUTERENGINE_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Platform/HostList.h"
#include "Platform/KeyValueStore.h"
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

// What the engine works with. The callbacks may be called from any thread and
// must hand over to the thread of the engine.
struct RouterEnvironment {
  const common::Clock& clock;
  transport::HttpClient& client;
  transport::Mailbox& mailbox;
  platform::KeyValueStore& store;
  std::function<void(routing::RouterEvent)> post_event;
  std::function<void(platform::ReadResult)> post_stored_config;
  std::function<void()> on_drained;
  platform::HostList* hosts = nullptr;  // absent: the list is not read
  std::function<void(platform::HostsResult)> post_hosts;
  std::vector<common::Endpoint> seed_routers = {};
};

// The platform lists hosts, routing knows processes: an agent leaves with the
// host that has its address.
routing::HostsListed ToProcesses(const std::vector<platform::Host>& hosts,
                                 const routing::AgentTable& agents);

// Owns the state of a router and carries out its actions. Used by one thread.
class RouterEngine {
 public:
  RouterEngine(const routing::RouterOptions& options,
               RouterEnvironment environment);

  void OnCaller(std::shared_ptr<transport::HttpExchange> exchange,
                const routing::RouterEvent& event, common::RequestId id);
  void OnEvent(const routing::RouterEvent& event);
  void OnControlBytes(std::string_view bytes);
  void OnStoredConfig(const platform::ReadResult& read);
  void OnHosts(const platform::HostsResult& hosts);
  // Answers /readyz, /metrics and /status.
  transport::HttpResponse OnAdmin(const std::string& target);
  void OnTick();
  // The process is about to drain: /readyz fails from now on.
  void OnLeaving() { leaving_ = true; }

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

  void Do(const routing::DispatchRequest& action);
  void Do(const routing::CancelDispatch& action);
  void Do(const routing::RefuseRequest& action);
  void Do(const routing::TruncateResponse& action);
  void Do(const routing::GiveTicket& action);
  void Do(const routing::SendMessage& action);
  void Do(const routing::ReadBinding& action);
  void Do(const routing::WriteBinding& action);
  void Do(const routing::LogDecision& action);
  void Do(const routing::DrainCompleted& action);

  void CountAnswer(common::RequestId id, const common::Refusal& outcome);
  void EndCall(common::RequestId id);
  void FailCall(common::RequestId id, const common::Refusal& refusal);
  void PollStoredConfig();
  void PollHosts();
  void GreetRouters();

  RouterEnvironment environment_;
  routing::RouterState state_;
  ConfigHolder config_;
  PeerLink peers_;
  std::unordered_map<common::RequestId, Call> calls_;
  PeerDirectory directory_;
  ConfigPolling polling_;
  Readiness readiness_;
  RouterMetrics metrics_;
  bool leaving_ = false;
  common::TimePoint next_hosts_read_;
  bool hosts_read_in_flight_ = false;
  bool store_answers_ = true;
  bool hosts_answer_ = true;
  common::TimePoint next_greeting_;
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_ROUTERENGINE_H_
