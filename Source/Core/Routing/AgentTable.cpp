#include "Routing/AgentTable.h"

#include <utility>

namespace shallotbeam::routing {

namespace {

// Keeps `free_agents` in step with a change of one agent.
template <typename Change>
void Update(AgentTable& table, const common::ProcessName& name, Agent& agent,
            Change&& change) {
  table.free_agents[agent.pool].erase({agent.free_slots, name});
  change(agent);
  const bool listed = agent.free_slots > 0 && agent.alive && !agent.leaving &&
                      agent.state == protocol::AgentState::kServing;
  if (listed) table.free_agents[agent.pool].emplace(agent.free_slots, name);
}

std::vector<common::RequestId> TakeInFlight(Agent& agent) {
  std::vector<common::RequestId> ids(agent.in_flight.begin(),
                                     agent.in_flight.end());
  agent.in_flight.clear();
  return ids;
}

}  // namespace

HeartbeatEffect NoteHeartbeat(AgentTable& table,
                              const common::ProcessName& name,
                              common::Incarnation incarnation,
                              const protocol::Heartbeat& heartbeat,
                              common::TimePoint now) {
  HeartbeatEffect effect;
  Agent& agent = table.agents[name];
  if (agent.incarnation != incarnation) {
    effect.joined = true;
    effect.orphaned = TakeInFlight(agent);
  }
  Update(table, name, agent, [&](Agent& it) {
    it.incarnation = incarnation;
    it.data = heartbeat.data;
    it.pool = heartbeat.pool;
    it.upstream = heartbeat.upstream;
    it.state = heartbeat.state;
    it.free_slots = heartbeat.free_slots;
    it.last_heard = now;
    it.alive = true;
  });
  return effect;
}

bool IsEligible(const AgentTable& table, const Agent& agent,
                common::TimePoint now) {
  return agent.alive && !agent.leaving &&
         agent.state == protocol::AgentState::kServing &&
         now - agent.last_heard < table.options.suspect_after;
}

const common::ProcessName* ChooseFree(AgentTable& table,
                                      const common::PoolName& pool,
                                      common::TimePoint now) {
  const auto listed = table.free_agents.find(pool);
  if (listed == table.free_agents.end()) return nullptr;
  while (!listed->second.empty()) {
    const common::ProcessName& name = listed->second.begin()->second;
    const auto it = table.agents.find(name);
    if (IsEligible(table, it->second, now)) return &it->first;
    // Silent agents leave the list until their next heartbeat.
    listed->second.erase(listed->second.begin());
  }
  return nullptr;
}

const common::ProcessName* ChooseForTicket(const AgentTable& table,
                                           const common::PoolName& pool,
                                           common::TimePoint now,
                                           std::mt19937_64& random) {
  std::vector<const common::ProcessName*> eligible;
  for (const auto& [name, agent] : table.agents) {
    if (agent.pool == pool && IsEligible(table, agent, now)) {
      eligible.push_back(&name);
    }
  }
  if (eligible.empty()) return nullptr;
  return eligible[random() % eligible.size()];
}

void NoteDispatched(AgentTable& table, const common::ProcessName& name,
                    common::RequestId id) {
  const auto it = table.agents.find(name);
  if (it == table.agents.end()) return;
  it->second.in_flight.insert(id);
  Update(table, name, it->second, [](Agent& agent) { --agent.free_slots; });
}

void NoteEnded(AgentTable& table, const common::ProcessName& name,
               common::RequestId id) {
  const auto it = table.agents.find(name);
  if (it == table.agents.end()) return;
  if (it->second.in_flight.erase(id) == 0) return;
  Update(table, name, it->second, [](Agent& agent) { ++agent.free_slots; });
}

void NoteBusy(AgentTable& table, const common::ProcessName& name) {
  const auto it = table.agents.find(name);
  if (it == table.agents.end()) return;
  Update(table, name, it->second, [](Agent& agent) { agent.free_slots = 0; });
}

void SetLeaving(AgentTable& table, const common::ProcessName& name,
                bool leaving) {
  const auto it = table.agents.find(name);
  if (it == table.agents.end()) return;
  Update(table, name, it->second,
         [&](Agent& agent) { agent.leaving = leaving; });
}

std::vector<common::RequestId> TakeDead(AgentTable& table,
                                        common::TimePoint now) {
  std::vector<common::RequestId> orphaned;
  for (auto& [name, agent] : table.agents) {
    const bool silent = now - agent.last_heard >= table.options.dead_after;
    if (!agent.alive || !silent) continue;
    Update(table, name, agent, [](Agent& it) { it.alive = false; });
    const std::vector<common::RequestId> ids = TakeInFlight(agent);
    orphaned.insert(orphaned.end(), ids.begin(), ids.end());
  }
  return orphaned;
}

}  // namespace shallotbeam::routing
