#ifndef SHALLOTBEAM_CORE_ROUTING_EVENTS_H_
#define SHALLOTBEAM_CORE_ROUTING_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Common/Verdict.h"
#include "Config/Model.h"
#include "Protocol/Messages.h"

// Events that a router handles. The caller of Handle() supplies the time.
namespace shallotbeam::routing {

// A caller's request, received with its complete head and body.
struct RequestArrived {
  common::RequestId id;
  common::WorkspaceName workspace;
  common::KindName kind;
  // Lower-case hexadecimal SHA-256 of the presented credential, or empty.
  std::string credential_sha256;
  // Time limit set by the caller; if absent, the kind's default applies.
  std::optional<common::Duration> timeout;
  std::size_t body_bytes = 0;
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  std::string idempotency_key;  // empty if the caller sent none
};

struct TicketRequested {
  common::RequestId id;
  common::WorkspaceName workspace;
  common::KindName kind;
  std::string credential_sha256;
};

// The caller closed its connection.
struct CallerDisconnected {
  common::RequestId id;
};

enum class DispatchOutcome : std::uint8_t {
  kCompleted,  // the router received the whole response
  kRefused,    // the agent refused; see `refusal`
  // The connection to the agent failed before the first byte was sent.
  kNotSent,
  kLost,  // the connection broke before the end of the response
};

struct DispatchEnded {
  common::RequestId id;
  std::uint32_t attempt = 0;
  DispatchOutcome outcome = DispatchOutcome::kCompleted;
  common::Refusal refusal;  // only for kRefused
};

// The first byte of the response was sent to the caller.
struct ResponseStarted {
  common::RequestId id;
  std::uint32_t attempt = 0;
};

struct MessageReceived {
  protocol::Envelope envelope;
};

enum class StoreOutcome : std::uint8_t {
  kOk,
  // The revision differs; `revision` and `value` are the current ones.
  kConflict,
  kUnavailable,  // the store did not answer, nor when the entry was read back
};

// Answer to ReadBinding. Revision 0 means that the key is absent.
struct BindingRead {
  common::RequestId id;
  StoreOutcome outcome = StoreOutcome::kOk;
  std::uint64_t revision = 0;
  std::string value;
};

// Answer to WriteBinding.
struct BindingWritten {
  common::RequestId id;
  StoreOutcome outcome = StoreOutcome::kOk;
  std::uint64_t revision = 0;
  std::string value;
};

struct ConfigReceived {
  config::FleetConfig config;
};

// One entry of the platform's host list.
struct HostEntry {
  common::ProcessName process;
  bool leaving = false;
};

struct HostListReceived {
  std::vector<HostEntry> hosts;
};

// Raised at least every 20 ms.
struct Tick {};

struct DrainRequested {};

using RouterEvent =
    std::variant<RequestArrived, TicketRequested, CallerDisconnected,
                 DispatchEnded, ResponseStarted, MessageReceived, BindingRead,
                 BindingWritten, ConfigReceived, HostListReceived, Tick,
                 DrainRequested>;

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_EVENTS_H_
