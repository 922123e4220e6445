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

// The agents that a router hears of.
namespace shallotbeam::routing {

struct MembershipOptions {
  // Silence after which an agent gets no new work.
  common::Duration suspect_after = std::chrono::seconds(1);
  // Silence after which its requests are resolved as lost.
  common::Duration dead_after = std::chrono::seconds(3);
  // Silence after which it is forgotten.
  common::Duration forget_after = std::chrono::minutes(5);
};

// Why the agents of a pool can't get new work without a grant.
struct PassedOver {
  std::size_t busy = 0;         // no free slot reported
  std::size_t silent = 0;       // not heard of for `suspect_after`
  std::size_t leaving = 0;      // by the host list, or draining
  std::size_t not_serving = 0;  // upstream down or no configuration

  friend bool operator==(const PassedOver&, const PassedOver&) = default;
};

struct Agent {
  common::Incarnation incarnation = common::Incarnation::kNone;
  // Earlier incarnations; their late messages are ignored.
  std::vector<common::Incarnation> replaced;
  common::DataCentreName data_centre;
  common::Endpoint data;
  common::PoolName pool;
  common::UpstreamName upstream;
  protocol::AgentState state = protocol::AgentState::kServing;
  int free_slots = 0;  // last report, less what was dispatched since
  // It answered "busy" since its last report of a free slot: others wait there,
  // and a slot that frees is probably granted to one of them.
  bool contended = false;
  common::TimePoint last_heard;
  std::uint64_t last_sent = 0;  // by its clock, in the last heartbeat
  // A heartbeat from before a pause of this router has come since the last one
  // to the agent.
  bool unanswered = false;
  bool leaving = false;  // by the platform's host list
  bool silent = false;   // by the last check or choice
  bool alive = true;     // heard of within `dead_after`
  std::set<common::RequestId> in_flight;
  int suspects_in_flight = 0;  // of this router
};

// The agents of one pool.
struct PoolAgents {
  using FreeList =
      std::set<std::pair<int, common::ProcessName>, std::greater<>>;

  // Agents that may get work and report free slots, most free first. Keeps a
  // choice independent of the number of agents.
  FreeList free;
  FreeList free_here;  // those of them in the router's own data centre
  PassedOver passed_over;
  std::size_t count = 0;
};

struct AgentTable {
  MembershipOptions options;
  common::DataCentreName data_centre;  // of this router
  std::map<common::ProcessName, Agent> agents;
  std::map<common::PoolName, PoolAgents> pools;
  // Processes that the last host list names as leaving; some of them may not
  // have sent a heartbeat yet.
  std::set<common::ProcessName> leaving;
};

// Agents that a choice passes over.
struct Exclusion {
  std::set<common::ProcessName> agents;
  // Those whose free slots are probably granted to others already.
  bool contended = false;
};

// What changed by a heartbeat.
struct HeartbeatEffect {
  bool ignored = false;  // from a replaced incarnation
  bool joined = false;   // new, restarted, or back after a silence
  // Requests that were in flight at the previous incarnation.
  std::vector<common::RequestId> orphaned;
};

HeartbeatEffect NoteHeartbeat(AgentTable& table,
                              const common::ProcessName& name,
                              common::Incarnation incarnation,
                              const protocol::Heartbeat& heartbeat,
                              common::TimePoint now);

// A heartbeat that may have been held back during a pause of this router. It
// says nothing of the agent's state, but the agent needs an answer to it: after
// a pause of its own it counts only answers to what it has sent since.
void NoteStaleHeartbeat(AgentTable& table, const common::ProcessName& name,
                        common::Incarnation incarnation,
                        const protocol::Heartbeat& heartbeat);

// May get new work at all.
bool IsEligible(const AgentTable& table, const Agent& agent,
                common::TimePoint now);

// Whether `incarnation` is the current one of the agent.
bool IsCurrent(const AgentTable& table, const common::ProcessName& name,
               common::Incarnation incarnation);

// The eligible agent with the most free slots, or nullptr. Agents in the
// router's own data centre are preferred.
const common::ProcessName* ChooseFree(AgentTable& table,
                                      const common::PoolName& pool,
                                      common::TimePoint now,
                                      const Exclusion& exclusion = {});

// Whether the pool has an eligible agent that is not in `avoid`.
bool HasOther(const AgentTable& table, const common::PoolName& pool,
              const std::set<common::ProcessName>& avoid,
              common::TimePoint now);

// The eligible agent that runs all copies of a suspect, or nullptr. Routers
// that know of the same agents choose the same one, by rendezvous hashing.
// Agents of `crashed_at` are chosen only if there are no others.
const common::ProcessName* ChooseForSuspect(
    const AgentTable& table, const common::PoolName& pool,
    common::Fingerprint fingerprint,
    const std::set<common::ProcessName>& crashed_at, common::TimePoint now);

// An eligible agent to bind a ticket to; random, as the ticket may be used
// later. Returns nullptr if there is none.
const common::ProcessName* ChooseForTicket(const AgentTable& table,
                                           const common::PoolName& pool,
                                           common::TimePoint now,
                                           std::mt19937_64& random);

// Records an attempt handed to `name`, and its end.
void NoteDispatched(AgentTable& table, const common::ProcessName& name,
                    common::RequestId id, bool suspect);
void NoteEnded(AgentTable& table, const common::ProcessName& name,
               common::RequestId id, bool suspect);

// The agent answered that no slot is free.
void NoteBusy(AgentTable& table, const common::ProcessName& name);

// The agent answered that it doesn't serve; holds until its next heartbeat.
void NoteState(AgentTable& table, const common::ProcessName& name,
               protocol::AgentState state);

void SetLeaving(AgentTable& table, const common::ProcessName& name,
                bool leaving);

PassedOver PassedOverIn(const AgentTable& table, const common::PoolName& pool);

// Marks silent agents, and those silent for too long as dead; returns the
// requests of the dead. Forgets agents that never return.
std::vector<common::RequestId> TakeDead(AgentTable& table,
                                        common::TimePoint now);

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_AGENTTABLE_H_
