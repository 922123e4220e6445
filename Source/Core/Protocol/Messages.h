#ifndef SHALLOTBEAM_CORE_PROTOCOL_MESSAGES_H_
#define SHALLOTBEAM_CORE_PROTOCOL_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/Types.h"

// Control messages between routers and agents. Each carries whole state or
// counters that only grow, so that a lost, late or repeated one does no harm.
namespace shallotbeam::protocol {

enum class Role : std::uint8_t { kRouter, kAgent };

enum class AgentState : std::uint8_t {
  kServing,
  kDraining,
  kUpstreamDown,
  kNoConfiguration,
};

// Where a process can be reached.
struct PeerAddress {
  common::ProcessName process;
  common::Endpoint control;

  friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

struct Heartbeat {
  Role role = Role::kRouter;
  common::DataCentreName data_centre;
  common::Endpoint control;  // the sender's inbox
  common::ConfigVersion config_version = common::ConfigVersion::kNone;
  // Time of the sender's clock, and of the receiver's in the last heartbeat
  // that the sender has of it (0: none). Tells a fresh heartbeat from one that
  // was held back while the receiver was paused.
  std::uint64_t sent = 0;
  std::uint64_t echoed_sent = 0;
  // To an agent: the host list names it as leaving.
  bool leaving = false;
  // Agents only.
  common::Endpoint data;  // where routers hand requests over
  common::PoolName pool;
  common::UpstreamName upstream;
  AgentState state = AgentState::kServing;
  int free_slots = 0;
  int slot_limit = 0;
  // Routers that the sender has heard from within the last second.
  std::vector<PeerAddress> known_routers;
};

struct WorkspaceDemand {
  common::WorkspaceName workspace;
  int waiting = 0;  // requests
  std::chrono::milliseconds oldest_wait{0};
  common::Urgency urgency = common::Urgency::kNormal;  // of the most urgent
};

// All waiting work of a router for one pool. Replaces the previous one.
struct Demand {
  common::PoolName pool;
  std::uint64_t sequence = 0;  // a lower one than seen before is ignored
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

// Service that one agent incarnation has given one workspace. Both sums grow.
struct ShareRow {
  common::Incarnation writer = common::Incarnation::kNone;
  common::PoolName pool;
  common::WorkspaceName workspace;
  common::Cost charged = 0;
  common::Cost refunded = 0;
};

struct VirtualTimeOffsetRow {
  common::PoolName pool;
  common::WorkspaceName workspace;
  double virtual_time_offset = 0;  // cost per weight; merged by maximum
};

struct Shares {
  std::vector<ShareRow> rows;
  std::vector<VirtualTimeOffsetRow> offsets;
};

// Asks an agent to bar a key that was bound to it, so that the router may
// answer "not run". Bars all attempts up to `binding_revision`.
struct Revoke {
  common::RequestId request;
  common::Incarnation bound_to = common::Incarnation::kNone;
  common::WorkspaceName workspace;
  std::string key;
  std::uint64_t binding_revision = 0;
};

struct RevokeReply {
  common::RequestId request;
  bool started = false;  // false: it did not run and is now barred
};

struct SuspectRow {
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  int crashes = 0;  // without a ban: 0 clears the suspect
  // Time left of a ban; zero while the fingerprint is only a suspect.
  std::chrono::milliseconds ban_left{0};
  // Since the last crash; without crashes, since the clearing.
  std::chrono::milliseconds age{0};
  // Agents whose upstreams crashed with it in flight.
  std::vector<common::ProcessName> crashed_agents;
};

struct Suspects {
  // The agent whose upstream crashed with all of `rows` in flight; empty if the
  // rows are of several crashes or none.
  common::ProcessName crashed_agent;
  std::vector<SuspectRow> rows;
  int hops = 0;  // processes that have passed it on
};

struct ConfigRequest {
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
