#ifndef SHALLOTBEAM_CORE_ROUTING_AGENTTABLE_H_
#define SHALLOTBEAM_CORE_ROUTING_AGENTTABLE_H_

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Protocol/Messages.h"

// The agents that a router knows from their heartbeats. A suspect is a request
// that was in flight when an upstream crashed and may have caused the crash;
// suspects run isolated from each other. A grant is a slot that an agent has
// reserved for a router.
namespace shallotbeam::routing {

struct MembershipOptions {
  // Time without a heartbeat after which an agent gets no new work.
  common::Duration suspect_after = std::chrono::seconds(1);
  // Time without a heartbeat after which the requests in flight at the agent
  // are treated as lost.
  common::Duration dead_after = std::chrono::seconds(3);
  // Time without a heartbeat after which the agent is removed from the table.
  common::Duration forget_after = std::chrono::minutes(5);
};

// Number of agents of a pool that can't get new work without a grant, by cause.
struct UnavailableAgents {
  std::size_t busy = 0;     // reported no free slot
  std::size_t silent = 0;   // no heartbeat within `suspect_after`
  std::size_t leaving = 0;  // according to the host list, or draining
  // Upstream is down or the agent has no configuration.
  std::size_t not_serving = 0;

  friend bool operator==(const UnavailableAgents&,
                         const UnavailableAgents&) = default;
};

struct Agent {
  common::Incarnation incarnation = common::Incarnation::kNone;
  // Earlier incarnations; late messages from them are ignored.
  std::vector<common::Incarnation> replaced;
  common::DataCentreName data_centre;
  common::Endpoint data;
  common::PoolName pool;
  common::UpstreamName upstream;
  protocol::AgentState state = protocol::AgentState::kServing;
  int free_slots = 0;  // last reported number minus the dispatches since
  // The agent has answered "busy" since it last reported a free slot. Other
  // requests wait at the agent, so a slot that becomes free is probably granted
  // to one of them.
  bool contended = false;
  common::TimePoint last_heard;
  // Time stamp of the last heartbeat, by the agent's clock.
  std::uint64_t last_sent = 0;
  // Since this router's last heartbeat to the agent, a heartbeat of the agent
  // has arrived that was sent before a pause of this router.
  bool unanswered = false;
  bool leaving = false;  // according to the platform's host list
  bool silent = false;   // at the last liveness check or agent selection
  bool alive = true;     // heartbeat received within `dead_after`
  std::set<common::RequestId> in_flight;
  int suspects_in_flight = 0;  // sent by this router
};

// The agents of one pool.
struct PoolAgents {
  using FreeList =
      std::set<std::pair<int, common::ProcessName>, std::greater<>>;

  // Eligible agents that report free slots, ordered by most free slots. The
  // index makes the cost of a selection independent of the number of agents.
  FreeList free;
  FreeList free_local;  // subset of `free` in the router's own data centre
  UnavailableAgents unavailable;
  std::size_t count = 0;
};

struct AgentTable {
  MembershipOptions options;
  common::DataCentreName data_centre;  // of this router
  std::map<common::ProcessName, Agent> agents;
  std::map<common::PoolName, PoolAgents> pools;
  // Processes that the last host list marks as leaving. Some of them may not
  // have sent a heartbeat yet.
  std::set<common::ProcessName> leaving;
};

// Agents that a selection must skip.
struct Exclusion {
  std::set<common::ProcessName> agents;
  // Also skips contended agents, whose free slots are probably granted to
  // others already.
  bool contended = false;
};

// Changes caused by a heartbeat.
struct HeartbeatEffect {
  bool ignored = false;  // sent by a replaced incarnation
  bool joined = false;   // new, restarted, or heard again after being dead
  // Requests that were in flight at the previous incarnation.
  std::vector<common::RequestId> orphaned;
};

HeartbeatEffect RecordHeartbeat(AgentTable& table,
                                const common::ProcessName& name,
                                common::Incarnation incarnation,
                                const protocol::Heartbeat& heartbeat,
                                common::TimePoint now);

// Records a heartbeat that may have been delayed by a pause of this router.
// Such a heartbeat does not describe the agent's current state, but the agent
// still needs an answer: after a pause of its own, an agent accepts only
// heartbeats that answer one it has sent since that pause.
void RecordStaleHeartbeat(AgentTable& table, const common::ProcessName& name,
                          common::Incarnation incarnation,
                          const protocol::Heartbeat& heartbeat);

// Whether the agent may get new work at all.
bool IsEligible(const AgentTable& table, const Agent& agent,
                common::TimePoint now);

// Whether `incarnation` is the agent's current incarnation.
bool IsCurrent(const AgentTable& table, const common::ProcessName& name,
               common::Incarnation incarnation);

// Returns the eligible agent with the most free slots, or nullptr. Prefers
// agents in the router's own data centre.
const common::ProcessName* ChooseFree(AgentTable& table,
                                      const common::PoolName& pool,
                                      common::TimePoint now,
                                      const Exclusion& exclusion = {});

// Whether the pool has an eligible agent that is not in `avoid`.
bool HasEligibleExcept(const AgentTable& table, const common::PoolName& pool,
                       const std::set<common::ProcessName>& avoid,
                       common::TimePoint now);

// Returns the eligible agent that runs all copies of a suspect, or nullptr.
// Uses rendezvous hashing, so that routers that know the same agents choose the
// same one. Agents in `crashed_agents`, whose upstreams crashed with the
// suspect in flight, are chosen only if there are no others.
const common::ProcessName* ChooseForSuspect(
    const AgentTable& table, const common::PoolName& pool,
    common::Fingerprint fingerprint,
    const std::set<common::ProcessName>& crashed_agents, common::TimePoint now);

// Returns a random eligible agent to bind a ticket to, or nullptr if there is
// none. The choice ignores free slots, because the ticket may be used later.
const common::ProcessName* ChooseForTicket(const AgentTable& table,
                                           const common::PoolName& pool,
                                           common::TimePoint now,
                                           std::mt19937_64& random);

// Record the start and the end of an attempt at the agent `name`.
void RecordAttempt(AgentTable& table, const common::ProcessName& name,
                   common::RequestId id, bool suspect);
void RecordAttemptEnd(AgentTable& table, const common::ProcessName& name,
                      common::RequestId id, bool suspect);

// Records that the agent answered that it has no free slot.
void RecordBusy(AgentTable& table, const common::ProcessName& name);

// Records that the agent answered that it doesn't serve requests. The state
// holds until the agent's next heartbeat.
void RecordState(AgentTable& table, const common::ProcessName& name,
                 protocol::AgentState state);

void SetLeaving(AgentTable& table, const common::ProcessName& name,
                bool leaving);

UnavailableAgents UnavailableAgentsIn(const AgentTable& table,
                                      const common::PoolName& pool);

// Marks agents without recent heartbeats as silent or dead, removes those that
// have been silent for `forget_after`, and returns the requests that were in
// flight at agents that are now dead.
std::vector<common::RequestId> ExpireSilentAgents(AgentTable& table,
                                                  common::TimePoint now);

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_AGENTTABLE_H_
