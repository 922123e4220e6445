#ifndef SHALLOTBEAM_UNITTESTS_CORE_ADMISSION_FLEETMODEL_H_
#define SHALLOTBEAM_UNITTESTS_CORE_ADMISSION_FLEETMODEL_H_

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "AgentHarness.h"

namespace shallotbeam::admission {

// One workspace of the model.
struct ModelWorkspace {
  std::string name;
  std::function<int(std::mt19937&)> tokens;  // size of its next request
  std::vector<int> routers;  // routers that receive its requests
  double weight = 1;
  common::Urgency urgency = common::Urgency::kNormal;
  // Arrival rate relative to the other workspaces. Used only by the first-come,
  // first-served baseline.
  double arrivals = 1;
  bool backlogged = true;
};

enum class Policy { kAgents, kFirstComeFirstServed };

struct FleetOptions {
  int agents = 4;
  int slots = 8;
  int prefetch = 1;
  bool streamed = true;  // if false, the cost is known only at the end
  // One in `cancelled_every` requests, chosen at random, is cancelled half-way;
  // 0: none.
  int cancelled_every = 0;
  common::Duration exchange_lag = milliseconds(300);
  Policy policy = Policy::kAgents;
  // Modifies an agent after each tick, to show that a test fails without the
  // rule that it checks.
  std::function<void(AgentState&)> modify_agent = [](AgentState&) {};
};

// Simulates several agents with engines that generate 100 tokens per second and
// slot, and routers with endless queues of the backlogged workspaces.
struct FleetModel {
  static constexpr common::Duration kStep = milliseconds(10);

  struct Running {
    std::string workspace_name;
    int tokens = 0;
    int generated = 0;
    bool cancelled = false;
  };
  struct Delivery {
    common::TimePoint due;
    std::size_t from = 0;
    protocol::Shares shares;
  };

  FleetOptions options;
  std::vector<ModelWorkspace> model_workspaces;
  std::vector<Harness> agents;
  std::vector<std::map<AttemptId, Running>> engines;
  std::deque<Delivery> deliveries;
  std::map<std::string, double> service;  // tokens generated
  std::map<std::string, double> started;  // cost of the started requests
  std::map<std::string, double> next_arrival;
  std::mt19937 random{7};
  std::uint64_t sequence = 0;
  double largest_weighted_cost = 0;
  std::int64_t steps = 0;
  std::int64_t busy_steps = 0;  // summed over all slots
  bool connected = true;

  FleetModel(FleetOptions fleet, std::vector<ModelWorkspace> list)
      : options(std::move(fleet)), model_workspaces(std::move(list)) {
    config::FleetConfig config{.version =
                                   static_cast<common::ConfigVersion>(2)};
    config.pools[kPool] = Pool(options.slots, options.prefetch);
    for (const ModelWorkspace& it : model_workspaces) {
      config.workspaces[Workspace(it.name)].weight = it.weight;
    }
    for (int i = 0; i < options.agents; ++i) {
      agents.emplace_back(Pool(options.slots, options.prefetch),
                          static_cast<common::Incarnation>(100 + i));
      agents.back().Apply(ConfigReceived{.config = config});
    }
    engines.resize(agents.size());
  }

  ModelWorkspace& FindWorkspace(const std::string& name) {
    return *std::find_if(
        model_workspaces.begin(), model_workspaces.end(),
        [&](const ModelWorkspace& it) { return it.name == name; });
  }

  Running NextRequest(const std::string& workspace_name) {
    const int tokens = FindWorkspace(workspace_name).tokens(random);
    started[workspace_name] += tokens;
    largest_weighted_cost = std::max(
        largest_weighted_cost, tokens / FindWorkspace(workspace_name).weight);
    const bool cancelled =
        options.cancelled_every > 0 &&
        random() % static_cast<unsigned>(options.cancelled_every) == 0;
    return {.workspace_name = workspace_name,
            .tokens = tokens,
            .cancelled = cancelled};
  }

  void RunFor(
      common::Duration period, const std::function<void()>& check = [] {}) {
    for (common::Duration t{}; t < period; t += kStep) {
      Step();
      check();
    }
  }

  void Step() {
    ++steps;
    for (std::size_t i = 0; i < agents.size(); ++i) {
      agents[i].now += kStep;
      Generate(i);
      if (options.policy == Policy::kFirstComeFirstServed) {
        ServeInArrivalOrder(i);
        continue;
      }
      if (steps % 10 == 1) SendDemand(i);
      agents[i].Apply(Tick{});
      options.modify_agent(agents[i].state);
      ExecuteActions(i);
      MoveStarted(i);
    }
    while (!deliveries.empty() && deliveries.front().due <= agents[0].now) {
      Deliver(deliveries.front());
      deliveries.pop_front();
    }
  }

  void Generate(std::size_t i) {
    std::vector<AttemptId> ended;
    for (auto& [id, it] : engines[i]) {
      ++it.generated;
      ++busy_steps;
      service[it.workspace_name] += 1;
      const bool cancelled_now = it.cancelled && it.generated * 2 >= it.tokens;
      if (it.generated >= it.tokens || cancelled_now) ended.push_back(id);
    }
    for (const AttemptId& id : ended) End(i, id);
    if (!options.streamed || steps % 16 != 0) return;
    if (options.policy == Policy::kFirstComeFirstServed) return;
    for (const auto& [id, it] : engines[i]) {
      agents[i].Apply(UpstreamProgressed{
          .id = id,
          .generated_tokens = static_cast<std::uint64_t>(it.generated)});
    }
  }

  void End(std::size_t i, const AttemptId& id) {
    const Running it = engines[i].at(id);
    engines[i].erase(id);
    if (options.policy == Policy::kFirstComeFirstServed) return;
    const auto tokens = static_cast<std::uint64_t>(it.generated);
    if (it.generated < it.tokens) {
      agents[i].Apply(UpstreamProgressed{.id = id, .generated_tokens = tokens});
      agents[i].Apply(OfferWithdrawn{.id = id});
      return;
    }
    agents[i].Apply(UpstreamEnded{.id = id,
                                  .outcome = UpstreamOutcome::kCompleted,
                                  .generated_tokens = tokens});
  }

  void ServeInArrivalOrder(std::size_t i) {
    while (static_cast<int>(engines[i].size()) < options.slots) {
      const ModelWorkspace* first = nullptr;
      for (const ModelWorkspace& it : model_workspaces) {
        if (!it.backlogged) continue;
        if (first == nullptr ||
            next_arrival[it.name] < next_arrival[first->name]) {
          first = &it;
        }
      }
      if (first == nullptr) return;
      next_arrival[first->name] += 1 / first->arrivals;
      engines[i][Id(++sequence)] = NextRequest(first->name);
    }
  }

  void SendDemand(std::size_t i) {
    for (int router = 0; router < 3; ++router) {
      protocol::Demand demand{.pool = kPool,
                              .sequence = static_cast<std::uint64_t>(steps)};
      for (const ModelWorkspace& it : model_workspaces) {
        const bool enters = std::find(it.routers.begin(), it.routers.end(),
                                      router) != it.routers.end();
        if (!it.backlogged || !enters) continue;
        demand.workspaces.push_back({.workspace = Workspace(it.name),
                                     .waiting = 50,
                                     .oldest_wait = milliseconds(100),
                                     .urgency = it.urgency});
      }
      const common::ProcessName name("r" + std::to_string(router));
      agents[i].Heartbeat(name, kRouterIncarnation);
      agents[i].Message(name, kRouterIncarnation, demand);
    }
  }

  // Executes actions until none are left. Routers use or return grants at once.
  void ExecuteActions(std::size_t i) {
    while (!agents[i].actions.empty()) {
      for (const AgentAction& it : std::exchange(agents[i].actions, {})) {
        const auto* sent = std::get_if<SendMessage>(&it);
        if (sent == nullptr) continue;
        if (const auto* grant = std::get_if<protocol::Grant>(&sent->body)) {
          UseGrant(i, sent->to, *grant);
        }
        const auto* shares = std::get_if<protocol::Shares>(&sent->body);
        if (shares != nullptr && sent->to.value == "r0") {
          deliveries.push_back({.due = agents[i].now + options.exchange_lag,
                                .from = i,
                                .shares = *shares});
        }
      }
    }
  }

  void UseGrant(std::size_t i, const common::ProcessName& router,
                const protocol::Grant& grant) {
    const std::string& name = grant.workspace.value;
    if (!FindWorkspace(name).backlogged) {
      return agents[i].Message(router, kRouterIncarnation,
                               protocol::GrantReturn{.grant = grant.grant});
    }
    RequestOffered offer = agents[i].Offer(++sequence);
    offer.router = router;
    offer.workspace = grant.workspace;
    offer.kind = common::KindName(name);
    offer.grant = grant.grant;
    offer.time_left = std::chrono::hours(9);
    pending_requests[offer.id] = NextRequest(name);
    agents[i].Apply(offer);
    MoveStarted(i);
  }

  // Requests sent to an agent that are not yet running. They start in the
  // engine when the agent lists them as running.
  std::map<AttemptId, Running> pending_requests;
  void MoveStarted(std::size_t i) {
    for (const auto& [id, attempt] : agents[i].state.running) {
      const auto it = pending_requests.find(id);
      if (it == pending_requests.end()) continue;
      engines[i][id] = it->second;
      pending_requests.erase(it);
    }
  }

  void Deliver(const Delivery& delivery) {
    if (!connected) return;
    for (std::size_t i = 0; i < agents.size(); ++i) {
      if (i == delivery.from) continue;
      agents[i].Message(common::ProcessName("r0"), kRouterIncarnation,
                        delivery.shares);
    }
  }

  double WeightedService(const std::string& workspace_name) {
    return service[workspace_name] / FindWorkspace(workspace_name).weight;
  }

  // Bound on the gap in weighted service: the largest request (cost per weight)
  // plus the service that one share (weight 1) receives in 2 s.
  double Bound() const {
    double weights = 0;
    for (const ModelWorkspace& it : model_workspaces) weights += it.weight;
    return largest_weighted_cost +
           2.0 * options.agents * options.slots * 100 / weights;
  }

  double Utilisation() const {
    return static_cast<double>(busy_steps) /
           (static_cast<double>(steps) * options.agents * options.slots);
  }
};

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_UNITTESTS_CORE_ADMISSION_FLEETMODEL_H_
