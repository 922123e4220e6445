#ifndef SHALLOTBEAM_CORE_GATEWAY_CALL_H_
#define SHALLOTBEAM_CORE_GATEWAY_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Catalogue/RouteTable.h"
#include "Common/Clock.h"
#include "Common/Types.h"
#include "Common/Verdict.h"
#include "Forwarding/CallerConnection.h"
#include "Forwarding/EventScanner.h"
#include "Forwarding/UpstreamConnection.h"
#include "Gateway/SchedulerClient.h"
#include "Pacing/PermitSearch.h"
#include "Protocol/SchedulingMessages.h"

namespace shallotbeam::gateway {

class Gateway;

// How an attempt at an upstream ended.
enum class AttemptEnd : std::uint8_t {
  kAnswered,      // the whole response was received
  kNotConnected,  // no connection, so that nothing was sent
  kRefused,       // the upstream states that the request did not run
  kFailed,        // the upstream responded with a server error
  kInvalid,       // not relayable, e.g. a success without digest
  kBroken,        // the connection broke or timed out
};

// Name of the outcome in log lines and metrics.
std::string_view ToString(AttemptEnd end);

// One request of a caller and the attempts to serve it. Sends the request and
// relays the response; Gateway chooses the upstream and decides what follows an
// attempt.
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
  // Abandons the current attempt without waiting for its response.
  void StopAttempt();
  // Resumes reading from the upstream; called when all output buffered for the
  // caller was sent.
  void ResumeReading();

  // Sends the buffered response of the upstream to the caller, or ends the
  // response if it was streamed.
  void DeliverBuffered();
  // Whether an upstream has refused the request, but the rest of its response
  // has not arrived.
  bool IsRefusalIncomplete() const {
    return connection_ != nullptr && outcome_by_head_ == AttemptEnd::kRefused;
  }
  // Ends an attempt that the upstream has refused without waiting for the rest
  // of its response.
  void EndRefusedAttempt() { EndAttempt(AttemptEnd::kRefused); }
  // Whether any part of the upstream's response was sent to the caller.
  bool HasResponseStarted() const { return response_started_; }
  bool IsAttemptActive() const { return connection_ != nullptr; }

  Gateway& gateway;
  const std::shared_ptr<forwarding::CallerConnection> caller;
  const forwarding::CallerRequest request;
  forwarding::RequestMetadata metadata;
  // Configuration in force when the request arrived.
  std::shared_ptr<const catalogue::RouteTable> table;
  const catalogue::Route* route = nullptr;
  const catalogue::Workspace* workspace = nullptr;
  common::PoolName pool;
  // By which the request is recognised if it crashes upstreams.
  std::vector<protocol::Trait> traits;
  // The earlier of the caller's deadline and the route's timeout.
  common::TimePoint deadline;

  // Running placement search, that is, search for an engine that starts the
  // request; if there is one.
  std::optional<balancing::SearchId> search;
  StartGrant grant;  // of the current attempt
  // Running search for a permit to start the request at `permit_upstream`.
  std::optional<pacing::PermitId> permit;
  common::UpstreamName permit_upstream;
  // Whether the call has no other upstream if the permit is denied.
  bool is_last_permit = false;
  // Preferred engine, which is expected to cache the shared prefix of the
  // prompt; or empty.
  common::UpstreamName preferred_engine;
  // Address of an engine from which the upstream can fetch a cached prefix; or
  // empty.
  std::string cache_source;
  // Prompt tokens that are cached at the engine, as estimated by its scheduler.
  int cached_tokens = 0;
  // Whether the request is within the fair share of its workspace.
  bool within_share = true;
  // Shortest expected wait at the engines that declined the request.
  common::Duration declined_wait{0};
  // Shortest wait at engines kept for prompts of another length, at that time.
  std::optional<common::Duration> wait_elsewhere;

  common::UpstreamName upstream;  // of the current or last attempt
  common::TimePoint attempt_started;
  common::TimePoint refused_at;   // head of the upstream's refusal
  common::TimePoint first_event;  // first bytes relayed
  common::TimePoint last_event;
  common::Duration longest_event_gap{0};
  int attempts = 0;  // sent to upstreams
  std::set<common::UpstreamName> tried_upstreams;
  // Whether an upstream may have run the request, over all attempts.
  common::Verdict verdict = common::Verdict::kNotRun;

 private:
  void BuildRequest(common::TimePoint now, std::string* bytes) const;
  std::string ResponseHeaders() const;
  // Ends the attempt without the rest of the upstream's response.
  void EndAttempt(AttemptEnd end);
  // Whether the response of another upstream can continue the one that has
  // begun.
  bool ContinuesResponse() const;
  bool EndsInsideEvent() const;
  void StartResponse();
  void Deliver(std::string_view bytes);
  // Limits of what is buffered for the caller, less while memory is tight.
  std::size_t MaxBufferedBody() const;
  std::size_t MaxBacklog() const;

  std::shared_ptr<forwarding::UpstreamConnection> connection_;
  // Of the current attempt; empty until its head has arrived.
  forwarding::UpstreamResponse response_;
  // Outcome that the response head implies; kAnswered if it is acceptable.
  AttemptEnd outcome_by_head_ = AttemptEnd::kAnswered;
  std::string buffer_;             // buffered until the response is complete
  overload::MemoryCharge memory_;  // of the response
  // Of the text of the request that is sent to an upstream.
  overload::MemoryCharge sent_memory_;
  std::size_t refusal_bytes_ = 0;
  forwarding::EventScanner scanner_;
  bool response_started_ = false;
  int started_status_ = 0;
  std::string started_type_;
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_CALL_H_
