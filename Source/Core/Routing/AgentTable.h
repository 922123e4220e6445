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
};

struct Agent {
  common::Incarnation incarnation = common::Incarnation::kNone;
  common::Endpoint data;
  common::PoolName pool;
  common::UpstreamName upstream;
  protocol::AgentState state = protocol::AgentState::kServing;
  int free_slots = 0;  // last report, less what was dispatched since
  common::TimePoint last_heard;
  bool leaving = false;  // by the platform's host list
  bool alive = true;     // heard of within `dead_after`
  std::set<common::RequestId> in_flight;
};

struct AgentTable {
  MembershipOptions options;
  std::map<common::ProcessName, Agent> agents;
  // Agents that may get work and report free slots, by pool, most free first.
  // Keeps a choice independent of the number of agents.
  std::map<common::PoolName,
           std::set<std::pair<int, common::ProcessName>, std::greater<>>>
      free_agents;
};

// What changed by a heartbeat.
struct HeartbeatEffect {
  bool joined = false;
  // Requests that were in flight at the previous incarnation.
  std::vector<common::RequestId> orphaned;
};

HeartbeatEffect NoteHeartbeat(AgentTable& table,
                              const common::ProcessName& name,
                              common::Incarnation incarnation,
                              const protocol::Heartbeat& heartbeat,
                              common::TimePoint now);

// May get new work at all.
bool IsEligible(const AgentTable& table, const Agent& agent,
                common::TimePoint now);

// The eligible agent with the most free slots, or nullptr.
const common::ProcessName* ChooseFree(AgentTable& table,
                                      const common::PoolName& pool,
                                      common::TimePoint now);

// An eligible agent to bind a ticket to; random, as the ticket may be used
// later. Returns nullptr if there is none.
const common::ProcessName* ChooseForTicket(const AgentTable& table,
                                           const common::PoolName& pool,
                                           common::TimePoint now,
                                           std::mt19937_64& random);

// Records an attempt handed to `name`, and its end.
void NoteDispatched(AgentTable& table, const common::ProcessName& name,
                    common::RequestId id);
void NoteEnded(AgentTable& table, const common::ProcessName& name,
               common::RequestId id);

// The agent answered that no slot is free.
void NoteBusy(AgentTable& table, const common::ProcessName& name);

void SetLeaving(AgentTable& table, const common::ProcessName& name,
                bool leaving);

// Marks agents silent for too long as dead; returns their requests.
std::vector<common::RequestId> TakeDead(AgentTable& table,
                                        common::TimePoint now);

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_AGENTTABLE_H_
