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
// this gateway loses the store or can't tell whether its copy is current; the
// last two make the others ask the store themselves. Used by one thread.
class ChangeRelay {
 public:
  // Refuses polls while the copy is older than `max_age`.
  ChangeRelay(const common::Clock& clock,
              const platform_clients::StoreSession& session,
              common::Duration max_age)
      : clock_(clock), session_(session), max_age_(max_age) {}

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

  bool IsCurrent() const;
  // Responds if the poll need not wait any longer. Returns whether it did.
  bool TryRespond(const Waiting& waiting);
  void RespondToAll();

  const common::Clock& clock_;
  const platform_clients::StoreSession& session_;
  const common::Duration max_age_;
  platform_clients::ChangeLog log_;
  std::vector<Waiting> waiting_;
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_CHANGERELAY_H_
