#ifndef SHALLOTBEAM_CORE_PROTOCOL_MESSAGES_H_
#define SHALLOTBEAM_CORE_PROTOCOL_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/Types.h"

// Control messages between routers and agents. Each message carries complete
// state or counters that only grow, so that lost, delayed or duplicated
// messages do no harm.
namespace shallotbeam::protocol {

enum class Role : std::uint8_t { kRouter, kAgent };

enum class AgentState : std::uint8_t {
  kServing,
  kDraining,
  kUpstreamDown,
  kNoConfiguration,
};

// A process and the address of its control socket.
struct PeerAddress {
  common::ProcessName process;
  common::Endpoint control;

  friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

struct Heartbeat {
  Role role = Role::kRouter;
  common::DataCentreName data_centre;
  common::Endpoint control;  // where the sender receives messages
  common::ConfigVersion config_version = common::ConfigVersion::kNone;
  // `sent` is the time of sending by the sender's clock. `echoed_sent` echoes
  // the `sent` of the last heartbeat that the sender received from the receiver
  // (0 if none). With the echo, the receiver recognises heartbeats that were
  // delayed while it was paused itself.
  std::uint64_t sent = 0;
  std::uint64_t echoed_sent = 0;
  // Set by routers: the host list marks the receiving agent as leaving.
  bool leaving = false;
  // Set by agents only: `data` to `slot_limit`.
  common::Endpoint data;  // where routers send requests
  common::PoolName pool;
  common::UpstreamName upstream;
  AgentState state = AgentState::kServing;
  int free_slots = 0;
  int slot_limit = 0;
  // Routers from which the sender received a heartbeat in the last second.
  std::vector<PeerAddress> known_routers;
};

struct WorkspaceDemand {
  common::WorkspaceName workspace;
  int waiting = 0;  // number of requests
  std::chrono::milliseconds oldest_wait{0};
  // Highest urgency of the waiting requests.
  common::Urgency urgency = common::Urgency::kNormal;
};

// All requests of a router that wait for one pool. Replaces the router's
// previous message.
struct Demand {
  common::PoolName pool;
  std::uint64_t sequence = 0;  // older messages are ignored
  std::vector<WorkspaceDemand> workspaces;
};

struct Grant {
  common::GrantId grant = common::GrantId::kNone;
  common::PoolName pool;
  common::WorkspaceName workspace;
};

struct GrantReturn {
  common::GrantId grant = common::GrantId::kNone;
};

// Service that one incarnation of an agent has given to one workspace. Both
// sums only grow.
struct ShareRow {
  common::Incarnation writer = common::Incarnation::kNone;
  common::PoolName pool;
  common::WorkspaceName workspace;
  common::Cost charged = 0;
  common::Cost refunded = 0;
};

// Virtual time offset of a workspace.
struct VirtualTimeOffsetRow {
  common::PoolName pool;
  common::WorkspaceName workspace;
  double virtual_time_offset = 0;  // cost per weight; merged by maximum
};

struct Shares {
  std::vector<ShareRow> rows;
  std::vector<VirtualTimeOffsetRow> offsets;
};

// Asks an agent to revoke a key that was bound to it, so that the router can
// answer "not run". Revokes all attempts up to `binding_revision`.
struct Revoke {
  common::RequestId request;
  common::Incarnation bound_to = common::Incarnation::kNone;
  common::WorkspaceName workspace;
  std::string key;
  std::uint64_t binding_revision = 0;
};

struct RevokeReply {
  common::RequestId request;
  bool started = false;  // false: it did not run and the key is now revoked
};

struct SuspectRow {
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  int crashes = 0;  // 0 without a ban clears the suspect
  // Remaining time of a ban; zero if the fingerprint is only suspected.
  std::chrono::milliseconds ban_left{0};
  // Time since the last crash or, if `crashes` is 0, since the suspect was
  // cleared.
  std::chrono::milliseconds age{0};
  // Agents whose upstreams crashed while a request with the fingerprint was in
  // flight.
  std::vector<common::ProcessName> crashed_agents;
};

struct Suspects {
  // The agent whose upstream crashed while requests of all `rows` were in
  // flight; empty if the rows belong to several crashes or to none.
  common::ProcessName crashed_agent;
  std::vector<SuspectRow> rows;
  int hops = 0;  // number of processes that have forwarded the message
};

struct ConfigRequest {
  // The version that the sender has.
  common::ConfigVersion current_version = common::ConfigVersion::kNone;
};

struct ConfigDocument {
  common::ConfigVersion version = common::ConfigVersion::kNone;
  std::string document;
};

using Body = std::variant<Heartbeat, Demand, Grant, GrantReturn, Shares, Revoke,
                          RevokeReply, Suspects, ConfigRequest, ConfigDocument>;

struct Envelope {
  common::ProcessName sender;
  common::Incarnation incarnation = common::Incarnation::kNone;
  Body body;
};

}  // namespace shallotbeam::protocol

#endif  // SHALLOTBEAM_CORE_PROTOCOL_MESSAGES_H_
