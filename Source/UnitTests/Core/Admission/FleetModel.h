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

// One workspace of the model. All have weight 1 unless stated.
struct Tenant {
  std::string name;
  std::function<int(std::mt19937&)> tokens;  // of its next request
  std::vector<int> routers;                  // where its requests enter
  double weight = 1;
  common::Urgency urgency = common::Urgency::kNormal;
  // Requests that arrive for each of another tenant; only the first come,
  // first served baseline depends on it.
  double arrivals = 1;
  bool backlogged = true;
};

enum class Policy { kAgents, kFirstCome };

struct FleetOptions {
  int agents = 4;
  int slots = 8;
  int prefetch = 1;
  bool streamed = true;  // otherwise the cost is known at the end only
  // Every `cancelled_every`-th request is cancelled half-way; 0: none.
  int cancelled_every = 0;
  common::Duration exchange_lag = milliseconds(300);
  Policy policy = Policy::kAgents;
  // Changes an agent for a test of what a rule is good for.
  std::function<void(AgentState&)> tamper = [](AgentState&) {};
};

// Several agents with engines that generate 100 tokens per second and slot,
// and routers with endless queues of the backlogged tenants.
struct FleetModel {
  static constexpr common::Duration kStep = milliseconds(10);

  struct Running {
    std::string tenant;
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
  std::vector<Tenant> tenants;
  std::vector<Harness> agents;
  std::vector<std::map<AttemptId, Running>> engines;
  std::deque<Delivery> deliveries;
  std::map<std::string, double> service;  // tokens generated
  std::map<std::string, double> started;  // cost of the requests begun
  std::map<std::string, double> next_arrival;
  std::mt19937 random{7};
  std::uint64_t sequence = 0;
  double largest = 0;
  std::int64_t steps = 0;
  std::int64_t busy_steps = 0;  // of all slots
  bool connected = true;

  FleetModel(FleetOptions fleet, std::vector<Tenant> list)
      : options(std::move(fleet)), tenants(std::move(list)) {
    config::FleetConfig config{.version =
                                   static_cast<common::ConfigVersion>(2)};
    config.pools[kPool] = Pool(options.slots, options.prefetch);
    for (const Tenant& it : tenants) {
      config.workspaces[Workspace(it.name)].weight = it.weight;
    }
    for (int i = 0; i < options.agents; ++i) {
      agents.emplace_back(Pool(options.slots, options.prefetch),
                          static_cast<common::Incarnation>(100 + i));
      agents.back().Give(ConfigReceived{.config = config});
    }
    engines.resize(agents.size());
  }

  Tenant& TenantOf(const std::string& name) {
    return *std::find_if(tenants.begin(), tenants.end(),
                         [&](const Tenant& it) { return it.name == name; });
  }

  Running NextRequest(const std::string& tenant) {
    const int tokens = TenantOf(tenant).tokens(random);
    started[tenant] += tokens;
    largest = std::max(largest, tokens / TenantOf(tenant).weight);
    const bool cancelled =
        options.cancelled_every > 0 &&
        random() % static_cast<unsigned>(options.cancelled_every) == 0;
    return {.tenant = tenant, .tokens = tokens, .cancelled = cancelled};
  }

  void For(
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
      if (options.policy == Policy::kFirstCome) {
        ServeFirstCome(i);
        continue;
      }
      if (steps % 10 == 1) SendDemand(i);
      agents[i].Give(Tick{});
      options.tamper(agents[i].state);
      CarryOut(i);
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
      service[it.tenant] += 1;
      const bool gone = it.cancelled && it.generated * 2 >= it.tokens;
      if (it.generated >= it.tokens || gone) ended.push_back(id);
    }
    for (const AttemptId& id : ended) End(i, id);
    if (!options.streamed || steps % 16 != 0) return;
    if (options.policy == Policy::kFirstCome) return;
    for (const auto& [id, it] : engines[i]) {
      agents[i].Give(UpstreamProgressed{
          .id = id,
          .generated_tokens = static_cast<std::uint64_t>(it.generated)});
    }
  }

  void End(std::size_t i, const AttemptId& id) {
    const Running it = engines[i].at(id);
    engines[i].erase(id);
    if (options.policy == Policy::kFirstCome) return;
    const auto tokens = static_cast<std::uint64_t>(it.generated);
    if (it.generated < it.tokens) {
      agents[i].Give(UpstreamProgressed{.id = id, .generated_tokens = tokens});
      agents[i].Give(OfferWithdrawn{.id = id});
      return;
    }
    agents[i].Give(UpstreamEnded{.id = id,
                                 .outcome = UpstreamOutcome::kCompleted,
                                 .generated_tokens = tokens});
  }

  void ServeFirstCome(std::size_t i) {
    while (static_cast<int>(engines[i].size()) < options.slots) {
      const Tenant* first = nullptr;
      for (const Tenant& it : tenants) {
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
      for (const Tenant& it : tenants) {
        const bool enters = std::find(it.routers.begin(), it.routers.end(),
                                      router) != it.routers.end();
        if (!it.backlogged || !enters) continue;
        demand.workspaces.push_back({.workspace = Workspace(it.name),
                                     .waiting = 50,
                                     .oldest_wait = milliseconds(100),
                                     .urgency = it.urgency});
      }
      const common::ProcessName name("r" + std::to_string(router));
      agents[i].Heartbeat(name, kRouterRun);
      agents[i].Message(name, kRouterRun, demand);
    }
  }

  // Carries out actions until there are none; routers answer grants at once.
  void CarryOut(std::size_t i) {
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
    if (!TenantOf(name).backlogged) {
      return agents[i].Message(router, kRouterRun,
                               protocol::GrantReturn{.grant = grant.grant});
    }
    RequestOffered offer = agents[i].Offer(++sequence);
    offer.router = router;
    offer.workspace = grant.workspace;
    offer.kind = common::KindName(name);
    offer.grant = grant.grant;
    offer.time_left = std::chrono::hours(9);
    engines_waiting[offer.id] = NextRequest(name);
    agents[i].Give(offer);
    MoveStarted(i);
  }

  // Requests that wait at an agent begin when it says so.
  std::map<AttemptId, Running> engines_waiting;
  void MoveStarted(std::size_t i) {
    for (const auto& [id, attempt] : agents[i].state.running) {
      const auto it = engines_waiting.find(id);
      if (it == engines_waiting.end()) continue;
      engines[i][id] = it->second;
      engines_waiting.erase(it);
    }
  }

  void Deliver(const Delivery& delivery) {
    if (!connected) return;
    for (std::size_t i = 0; i < agents.size(); ++i) {
      if (i == delivery.from) continue;
      agents[i].Message(common::ProcessName("r0"), kRouterRun, delivery.shares);
    }
  }

  double Weighted(const std::string& tenant) {
    return service[tenant] / TenantOf(tenant).weight;
  }

  // Largest request plus what one share earns in 2 s, per weight.
  double Bound() const {
    double weights = 0;
    for (const Tenant& it : tenants) weights += it.weight;
    return largest + 2.0 * options.agents * options.slots * 100 / weights;
  }

  double Utilisation() const {
    return static_cast<double>(busy_steps) /
           (static_cast<double>(steps) * options.agents * options.slots);
  }
};

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_UNITTESTS_CORE_ADMISSION_FLEETMODEL_H_
