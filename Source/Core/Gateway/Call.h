#ifndef SHALLOTBEAM_CORE_GATEWAY_CALL_H_
#define SHALLOTBEAM_CORE_GATEWAY_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Catalogue/RouteTable.h"
#include "Common/Clock.h"
#include "Common/Types.h"
#include "Common/Verdict.h"
#include "Forwarding/CallerConnection.h"
#include "Forwarding/EventScanner.h"
#include "Forwarding/UpstreamConnection.h"
#include "Gateway/StartClient.h"

namespace shallotbeam::gateway {

class Gateway;

// How an attempt at an upstream ended.
enum class AttemptEnd : std::uint8_t {
  kAnswered,      // the upstream's whole response is at hand or was delivered
  kNotConnected,  // nothing was sent
  kRefused,       // the upstream states that the request did not run
  kFailed,        // the upstream answered with an error of its own
  kInvalid,       // a response that can't be the upstream's answer
  kBroken,        // broken off, in time or out of time
};

// As in log lines and metrics.
std::string_view ToString(AttemptEnd end);

// One request of a caller and its attempts. Relays the response; the gateway
// decides where it goes and what follows an attempt.
class Call : public forwarding::UpstreamListener {
 public:
  Call(Gateway& gateway, std::shared_ptr<forwarding::CallerConnection> caller,
       forwarding::CallerRequest request);

  void OnUpstreamHead(forwarding::UpstreamResponse response) override;
  void OnUpstreamBody(std::string_view bytes) override;
  void OnUpstreamEnd(forwarding::ExchangeEnd end) override;

  // Sends the request to an upstream over `connection`.
  void StartAttempt(const common::UpstreamName& upstream,
                    const common::Endpoint& endpoint,
                    std::shared_ptr<forwarding::UpstreamConnection> connection,
                    common::TimePoint now);
  // Gives the current attempt up without a response.
  void StopAttempt();
  // The caller has taken its backlog.
  void ResumeReading();

  // Delivers the upstream's response that was kept back.
  void DeliverBuffered();
  // Whether a part of the upstream's response has left for the caller.
  bool Begun() const { return begun_; }
  bool InAttempt() const { return connection_ != nullptr; }

  Gateway& gateway;
  const std::shared_ptr<forwarding::CallerConnection> caller;
  const forwarding::CallerRequest request;
  forwarding::RequestFacts facts;
  // The configuration that the request arrived under.
  std::shared_ptr<const catalogue::RouteTable> table;
  const catalogue::Route* route = nullptr;
  const catalogue::Workspace* workspace = nullptr;
  common::PoolName pool;
  common::TimePoint deadline;  // of the caller or the route

  // Search for a start, while there is one.
  std::optional<balancing::SearchId> search;
  StartTicket ticket;  // of the current attempt
  // The engine that caches the front of the prompt, if there is one.
  common::UpstreamName home;
  std::string cache_source;  // its address, for an attempt elsewhere
  int cached_tokens = 0;     // at the engine, as its scheduler believes
  // Whether the request lies within the share of its workspace.
  bool within_share = true;
  // Shortest wait at the engines that declined.
  common::Duration declined_wait{0};

  common::UpstreamName upstream;  // of the current or last attempt
  common::TimePoint attempt_started;
  common::TimePoint first_event;  // or the whole response
  common::TimePoint last_event;
  common::Duration longest_pause{0};  // between events
  int attempts = 0;                   // requests sent
  std::set<common::UpstreamName> tried;
  // Whether an upstream may have run the request, over all attempts.
  common::Verdict verdict = common::Verdict::kNotRun;

 private:
  void BuildRequest(common::TimePoint now, std::string* bytes) const;
  std::string ResponseHeaders() const;
  void Begin();
  void Deliver(std::string_view bytes);

  std::shared_ptr<forwarding::UpstreamConnection> connection_;
  forwarding::UpstreamResponse response_;
  bool have_head_ = false;
  AttemptEnd rejected_ = AttemptEnd::kAnswered;  // what the head says
  std::string body_;  // kept back until the response is whole
  forwarding::EventScanner events_;
  bool begun_ = false;
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_CALL_H_
