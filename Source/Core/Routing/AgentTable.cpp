#include "Routing/AgentTable.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

namespace shallotbeam::routing {

namespace {

// The counter of the cause that makes the agent unavailable; nullptr if the
// agent is available, that is, eligible with a free slot.
std::size_t* CounterOf(UnavailableAgents& counts, const Agent& agent) {
  if (agent.silent || !agent.alive) return &counts.silent;
  if (agent.leaving || agent.state == protocol::AgentState::kDraining) {
    return &counts.leaving;
  }
  if (agent.state != protocol::AgentState::kServing) {
    return &counts.not_serving;
  }
  return agent.free_slots > 0 ? nullptr : &counts.busy;
}

void AddToPool(AgentTable& table, const common::ProcessName& name,
               const Agent& agent) {
  PoolAgents& pool = table.pools[agent.pool];
  ++pool.count;
  if (std::size_t* count = CounterOf(pool.unavailable, agent)) {
    ++*count;
    return;
  }
  pool.free.emplace(agent.free_slots, name);
  if (agent.data_centre != table.data_centre) return;
  pool.free_local.emplace(agent.free_slots, name);
}

void RemoveFromPool(AgentTable& table, const common::ProcessName& name,
                    const Agent& agent) {
  const auto it = table.pools.find(agent.pool);
  if (it == table.pools.end()) return;
  PoolAgents& pool = it->second;
  if (std::size_t* count = CounterOf(pool.unavailable, agent)) --*count;
  pool.free.erase({agent.free_slots, name});
  pool.free_local.erase({agent.free_slots, name});
  --pool.count;
}

// Applies a change to an agent and updates the index of its pool.
template <typename Change>
void Update(AgentTable& table, const common::ProcessName& name, Agent& agent,
            Change&& change) {
  RemoveFromPool(table, name, agent);
  change(agent);
  AddToPool(table, name, agent);
}

std::vector<common::RequestId> TakeInFlight(Agent& agent) {
  std::vector<common::RequestId> ids(agent.in_flight.begin(),
                                     agent.in_flight.end());
  agent.in_flight.clear();
  agent.suspects_in_flight = 0;
  return ids;
}

// A replaced process may still send heartbeats: its last messages arrive late,
// or the process was only paused.
bool IsReplaced(const AgentTable& table, const Agent& agent,
                common::Incarnation incarnation, common::TimePoint now) {
  const bool replaced = std::find(agent.replaced.begin(), agent.replaced.end(),
                                  incarnation) != agent.replaced.end();
  return replaced && now - agent.last_heard < table.options.dead_after;
}

void Replace(Agent& agent, common::Incarnation incarnation) {
  constexpr std::size_t kMaxReplaced = 4;
  std::erase(agent.replaced, incarnation);
  if (agent.incarnation != common::Incarnation::kNone) {
    agent.replaced.push_back(agent.incarnation);
  }
  if (agent.replaced.size() > kMaxReplaced) {
    agent.replaced.erase(agent.replaced.begin());
  }
  agent.incarnation = incarnation;
}

const common::ProcessName* ChooseFrom(AgentTable& table,
                                      const common::PoolName& pool,
                                      PoolAgents::FreeList PoolAgents::*list,
                                      common::TimePoint now,
                                      const Exclusion& exclusion) {
  const auto members = table.pools.find(pool);
  if (members == table.pools.end()) return nullptr;
  const PoolAgents::FreeList& free = members->second.*list;
  for (auto it = free.begin(); it != free.end();) {
    const auto agent = table.agents.find((it++)->second);
    if (!IsEligible(table, agent->second, now)) {
      // The agent leaves the list of free agents until its next heartbeat.
      Update(table, agent->first, agent->second,
             [](Agent& silent) { silent.silent = true; });
      continue;
    }
    const bool excluded = exclusion.agents.contains(agent->first) ||
                          (exclusion.contended && agent->second.contended);
    if (!excluded) return &agent->first;
  }
  return nullptr;
}

}  // namespace

HeartbeatEffect RecordHeartbeat(AgentTable& table,
                                const common::ProcessName& name,
                                common::Incarnation incarnation,
                                const protocol::Heartbeat& heartbeat,
                                common::TimePoint now) {
  HeartbeatEffect effect;
  const auto [entry, added] = table.agents.try_emplace(name);
  Agent& agent = entry->second;
  if (!added && IsReplaced(table, agent, incarnation, now)) {
    effect.ignored = true;
    return effect;
  }
  if (added) {
    agent.leaving = table.leaving.contains(name);
    AddToPool(table, name, agent);
  }
  effect.joined = agent.incarnation != incarnation || !agent.alive;
  if (agent.incarnation != incarnation) {
    effect.orphaned = TakeInFlight(agent);
    Replace(agent, incarnation);
  }
  Update(table, name, agent, [&](Agent& it) {
    it.data_centre = heartbeat.data_centre;
    it.data = heartbeat.data;
    it.pool = heartbeat.pool;
    it.upstream = heartbeat.upstream;
    it.state = heartbeat.state;
    it.free_slots = heartbeat.free_slots;
    if (heartbeat.free_slots > 0) it.contended = false;
    it.last_heard = now;
    it.last_sent = heartbeat.sent;
    it.silent = false;
    it.alive = true;
  });
  return effect;
}

void RecordStaleHeartbeat(AgentTable& table, const common::ProcessName& name,
                          common::Incarnation incarnation,
                          const protocol::Heartbeat& heartbeat) {
  const auto it = table.agents.find(name);
  if (it == table.agents.end() || it->second.incarnation != incarnation) return;
  it->second.last_sent = std::max(it->second.last_sent, heartbeat.sent);
  it->second.unanswered = true;
}

bool IsEligible(const AgentTable& table, const Agent& agent,
                common::TimePoint now) {
  return agent.alive && !agent.leaving &&
         agent.state == protocol::AgentState::kServing &&
         now - agent.last_heard < table.options.suspect_after;
}

bool IsCurrent(const AgentTable& table, const common::ProcessName& name,
               common::Incarnation incarnation) {
  const auto it = table.agents.find(name);
  return it != table.agents.end() && it->second.incarnation == incarnation;
}

const common::ProcessName* ChooseFree(AgentTable& table,
                                      const common::PoolName& pool,
                                      common::TimePoint now,
                                      const Exclusion& exclusion) {
  const common::ProcessName* local =
      ChooseFrom(table, pool, &PoolAgents::free_local, now, exclusion);
  if (local != nullptr) return local;
  return ChooseFrom(table, pool, &PoolAgents::free, now, exclusion);
}

bool HasEligibleExcept(const AgentTable& table, const common::PoolName& pool,
                       const std::set<common::ProcessName>& avoid,
                       common::TimePoint now) {
  return std::any_of(table.agents.begin(), table.agents.end(),
                     [&](const auto& it) {
                       const auto& [name, agent] = it;
                       return agent.pool == pool && !avoid.contains(name) &&
                              IsEligible(table, agent, now);
                     });
}

const common::ProcessName* ChooseForSuspect(
    const AgentTable& table, const common::PoolName& pool,
    common::Fingerprint fingerprint,
    const std::set<common::ProcessName>& crashed_agents,
    common::TimePoint now) {
  const auto seed = static_cast<std::uint64_t>(fingerprint);
  const common::ProcessName* best = nullptr;
  std::pair<bool, std::uint64_t> best_rank;
  for (const auto& [name, agent] : table.agents) {
    if (agent.pool != pool || !IsEligible(table, agent, now)) continue;
    const std::pair rank(!crashed_agents.contains(name),
                         common::Hash64(name.value, seed));
    if (best != nullptr && rank <= best_rank) continue;
    best = &name;
    best_rank = rank;
  }
  return best;
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

void RecordAttempt(AgentTable& table, const common::ProcessName& name,
                   common::RequestId id, bool suspect) {
  const auto it = table.agents.find(name);
  if (it == table.agents.end()) return;
  it->second.in_flight.insert(id);
  if (suspect) ++it->second.suspects_in_flight;
  Update(table, name, it->second, [](Agent& agent) { --agent.free_slots; });
}

void RecordAttemptEnd(AgentTable& table, const common::ProcessName& name,
                      common::RequestId id, bool suspect) {
  const auto it = table.agents.find(name);
  if (it == table.agents.end()) return;
  if (it->second.in_flight.erase(id) == 0) return;
  if (suspect) --it->second.suspects_in_flight;
  Update(table, name, it->second, [](Agent& agent) { ++agent.free_slots; });
}

void RecordBusy(AgentTable& table, const common::ProcessName& name) {
  const auto it = table.agents.find(name);
  if (it == table.agents.end()) return;
  Update(table, name, it->second, [](Agent& agent) {
    agent.free_slots = 0;
    agent.contended = true;
  });
}

void RecordState(AgentTable& table, const common::ProcessName& name,
                 protocol::AgentState state) {
  const auto it = table.agents.find(name);
  if (it == table.agents.end()) return;
  Update(table, name, it->second, [&](Agent& agent) { agent.state = state; });
}

void SetLeaving(AgentTable& table, const common::ProcessName& name,
                bool leaving) {
  if (leaving) {
    table.leaving.insert(name);
  } else {
    table.leaving.erase(name);
  }
  const auto it = table.agents.find(name);
  if (it == table.agents.end()) return;
  Update(table, name, it->second,
         [&](Agent& agent) { agent.leaving = leaving; });
}

UnavailableAgents UnavailableAgentsIn(const AgentTable& table,
                                      const common::PoolName& pool) {
  const auto it = table.pools.find(pool);
  return it == table.pools.end() ? UnavailableAgents() : it->second.unavailable;
}

std::vector<common::RequestId> ExpireSilentAgents(AgentTable& table,
                                                  common::TimePoint now) {
  std::vector<common::RequestId> orphaned;
  for (auto it = table.agents.begin(); it != table.agents.end();) {
    const auto& [name, agent] = *it;
    const common::Duration silence = now - agent.last_heard;
    if (silence >= table.options.suspect_after && !agent.silent) {
      Update(table, name, it->second, [](Agent& a) { a.silent = true; });
    }
    if (silence >= table.options.dead_after && agent.alive) {
      Update(table, name, it->second, [](Agent& a) { a.alive = false; });
      const std::vector<common::RequestId> ids = TakeInFlight(it->second);
      orphaned.insert(orphaned.end(), ids.begin(), ids.end());
    }
    if (silence >= table.options.forget_after) {
      RemoveFromPool(table, name, agent);
      it = table.agents.erase(it);
    } else {
      ++it;
    }
  }
  std::erase_if(table.pools,
                [](const auto& it) { return it.second.count == 0; });
  return orphaned;
}

}  // namespace shallotbeam::routing
