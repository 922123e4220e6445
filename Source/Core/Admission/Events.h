#ifndef SHALLOTBEAM_CORE_ADMISSION_EVENTS_H_
#define SHALLOTBEAM_CORE_ADMISSION_EVENTS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Config/Model.h"
#include "Protocol/Messages.h"

// Input events of the agent. The caller of Handle() supplies the time.
namespace shallotbeam::admission {

// Identifies one attempt to run a request on this agent.
struct AttemptId {
  common::RequestId request;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

// A router dispatches a request to this agent (an offer). The agent starts,
// queues or rejects it.
struct RequestOffered {
  AttemptId id;
  common::ProcessName router;
  common::WorkspaceName workspace;
  common::KindName kind;
  common::GrantId grant = common::GrantId::kNone;
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  bool suspect = false;
  common::Duration time_left{};
  // Set only for non-idempotent requests: the idempotency key, the agent
  // incarnation to which the key is bound, and the revision of that binding.
  std::string key;
  common::Incarnation bound_to = common::Incarnation::kNone;
  std::uint64_t binding_revision = 0;
};

// The router closed the connection of the attempt.
struct OfferWithdrawn {
  AttemptId id;
};

// The first byte of the upstream's response arrived.
struct UpstreamResponded {
  AttemptId id;
};

struct UpstreamProgressed {
  AttemptId id;
  std::uint64_t generated_tokens = 0;  // so far
};

enum class UpstreamOutcome : std::uint8_t {
  kCompleted,  // the whole response arrived
  kRefused,    // the upstream refused to run the request (429)
  kError,      // the upstream answered with a server error (5xx) or not in HTTP
  kNotSent,    // the connection failed before the first byte
  kBroken,     // the connection broke before the end of the response
  kTimedOut,   // no complete response within the time left
};

struct UpstreamEnded {
  AttemptId id;
  UpstreamOutcome outcome = UpstreamOutcome::kCompleted;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generated_tokens = 0;
  std::size_t response_bytes = 0;
};

// Answer to ProbeUpstream.
struct UpstreamProbed {
  bool reachable = false;
};

struct MessageReceived {
  protocol::Envelope envelope;
};

struct ConfigReceived {
  config::FleetConfig config;
};

// Sent at least every 20 ms.
struct Tick {};

struct DrainRequested {};

using AgentEvent =
    std::variant<RequestOffered, OfferWithdrawn, UpstreamResponded,
                 UpstreamProgressed, UpstreamEnded, UpstreamProbed,
                 MessageReceived, ConfigReceived, Tick, DrainRequested>;

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_CORE_ADMISSION_EVENTS_H_
