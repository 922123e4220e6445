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

// What a router is told. The caller of Handle() supplies the time.
namespace shallotbeam::routing {

// A caller's request whose head and body are complete.
struct RequestArrived {
  common::RequestId id;
  common::WorkspaceName workspace;
  common::KindName kind;
  // Lower-case hexadecimal SHA-256 of the presented credential, or empty.
  std::string credential_sha256;
  // Time that the caller allows; absent takes the kind's default.
  std::optional<common::Duration> time_allowed;
  std::size_t body_bytes = 0;
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  std::string idempotency_key;  // empty if none was sent
};

struct TicketRequested {
  common::RequestId id;
  common::WorkspaceName workspace;
  common::KindName kind;
  std::string credential_sha256;
};

// The caller closed its connection.
struct CallerLeft {
  common::RequestId id;
};

enum class DispatchOutcome : std::uint8_t {
  kCompleted,  // the whole response reached the router
  kRefused,    // the agent refused; `refusal` holds its word
  kNotSent,    // the connection to the agent failed before the first byte
  kLost,       // the connection broke before the end of the response
};

struct DispatchEnded {
  common::RequestId id;
  std::uint32_t attempt = 0;
  DispatchOutcome outcome = DispatchOutcome::kCompleted;
  common::Refusal refusal;  // for kRefused
};

// The first byte of the response went to the caller.
struct ResponseStarted {
  common::RequestId id;
  std::uint32_t attempt = 0;
};

struct MessageReceived {
  protocol::Envelope envelope;
};

enum class StoreOutcome : std::uint8_t {
  kOk,
  kConflict,     // the revision differs; `revision` and `value` are current
  kUnavailable,  // no answer, also not on reading back
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

struct HostsListed {
  std::vector<HostEntry> hosts;
};

// Comes at least every 20 ms.
struct Tick {};

struct DrainRequested {};

using RouterEvent =
    std::variant<RequestArrived, TicketRequested, CallerLeft, DispatchEnded,
                 ResponseStarted, MessageReceived, BindingRead, BindingWritten,
                 ConfigReceived, HostsListed, Tick, DrainRequested>;

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_EVENTS_H_
