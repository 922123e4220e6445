#ifndef SHALLOTBEAM_CORE_GATEWAY_CHANGERELAY_H_
#define SHALLOTBEAM_CORE_GATEWAY_CHANGERELAY_H_

#include <memory>
#include <vector>

#include "Common/Clock.h"
#include "PlatformClients/ChangeLog.h"
#include "PlatformClients/RelayCodec.h"
#include "PlatformClients/StoreSession.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::gateway {

// Passes the changes of the store on to other gateways, which poll this one
// instead of the store. Polls wait until there is a change, their wait ends, or
// this gateway loses the store; the last makes the others ask the store
// themselves, so that they notice its outage. Used by one thread.
class ChangeRelay {
 public:
  ChangeRelay(const common::Clock& clock,
              const platform_clients::StoreSession& session)
      : clock_(clock), session_(session) {}

  void OnPoll(const std::shared_ptr<transport::HttpExchange>& exchange);
  // Records a change that others need. OnUpdate() sends it.
  void Record(const platform_clients::ItemChange& change) {
    platform_clients::RecordChange(log_, change);
  }
  // Called after each result of the store.
  void OnUpdate(const platform_clients::StoreUpdate& update);
  // Ends polls whose wait is over; called every few tens of milliseconds.
  void OnTick();

 private:
  struct Waiting {
    std::shared_ptr<transport::HttpExchange> exchange;
    platform_clients::RelayPoll poll;
    common::TimePoint arrived;
  };

  bool IsCurrent() const { return session_.synced && session_.reachable; }
  // Responds if the poll need not wait any longer. Returns whether it did.
  bool TryRespond(const Waiting& waiting);
  void RespondToAll();

  const common::Clock& clock_;
  const platform_clients::StoreSession& session_;
  platform_clients::ChangeLog log_;
  std::vector<Waiting> waiting_;
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_CHANGERELAY_H_
