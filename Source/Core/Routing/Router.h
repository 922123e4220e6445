#ifndef SHALLOTBEAM_CORE_ROUTING_ROUTER_H_
#define SHALLOTBEAM_CORE_ROUTING_ROUTER_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "Common/Clock.h"
#include "Common/PauseGuard.h"
#include "Common/RetryBudget.h"
#include "Common/Types.h"
#include "Common/Verdict.h"
#include "Config/Model.h"
#include "Fairness/ShareLedger.h"
#include "Fairness/ShareRelay.h"
#include "Routing/Actions.h"
#include "Routing/AgentTable.h"
#include "Routing/Events.h"
#include "Routing/KeyBinding.h"
#include "Routing/WorkQueue.h"
#include "Suspects/SuspectList.h"

// Decision logic of a router, as a deterministic state machine without I/O.
namespace shallotbeam::routing {

struct RouterOptions {
  common::ProcessName name;
  common::Incarnation incarnation = common::Incarnation::kNone;
  common::DataCentreName data_centre;
  common::Endpoint control;  // this router's address for control messages
  std::uint64_t seed = 1;
  MembershipOptions membership;
  suspects::SuspectOptions suspects;
  common::RetryOptions retries;
  common::Duration heartbeat_interval = std::chrono::milliseconds(250);
  common::Duration shares_interval = std::chrono::milliseconds(200);
  fairness::RelayOptions relay;
  // Demand is sent when it changes, with at least `demand_interval` between
  // messages; while requests wait it is repeated after `demand_refresh`.
  common::Duration demand_interval = std::chrono::milliseconds(20);
  common::Duration demand_refresh = std::chrono::seconds(1);
  // Time limit for confirming that a request did not run.
  common::Duration confirm_timeout = std::chrono::milliseconds(500);
  double confirmations_per_second = 50;
  // Relative spread of Retry-After around the estimate.
  double retry_after_jitter = 0.25;
  common::Duration max_retry_after = std::chrono::seconds(60);
  // How long requests stay queued while no agent serves the pool; after that
  // they are refused. Covers the restart of an agent.
  common::Duration no_upstream_grace = std::chrono::seconds(5);
  // Delay before the next attempt of a request that was refused as a suspect or
  // could not be sent. Doubles from the initial to the maximum value.
  common::Duration initial_backoff = std::chrono::milliseconds(20);
  common::Duration max_backoff = std::chrono::seconds(1);
  // How long a retry waits for an agent other than the ones at which the
  // request failed.
  common::Duration failed_agent_avoidance = std::chrono::milliseconds(500);
  // How long after the last report by an agent a known router is included in
  // heartbeats.
  common::Duration known_router_ttl = std::chrono::seconds(10);
  common::Duration drain_deadline = std::chrono::seconds(60);
};

enum class Phase : std::uint8_t {
  kReadingBinding,  // waits for the store
  kQueued,
  kDelayed,         // dispatched again when its timer fires
  kWritingBinding,  // waits for the store, holds a slot
  kDispatched,
  kRevoking,  // waits for the owner's reply that the key did not run
  // Waits for the store before the request is refused as not run.
  kWritingTombstone,
};

// A request between its arrival and its final answer.
struct Request {
  common::RequestId id;
  common::WorkspaceName workspace;
  common::KindName kind;
  common::PoolName pool;
  common::Urgency urgency = common::Urgency::kNormal;
  bool idempotent = true;
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  common::TimePoint arrived;
  common::TimePoint deadline;
  std::size_t bytes = 0;

  Phase phase = Phase::kQueued;
  common::TimePoint timer;  // its entry in RouterState::timers
  std::uint32_t attempt = 0;
  int retries = 0;
  // Agents whose upstream failed the request.
  std::set<common::ProcessName> failed_agents;
  // Time of the last failure at an agent in `failed_agents`.
  common::TimePoint last_failure;
  int crashes = 0;  // of upstreams with this request in flight
  // Agents of the crashed upstreams.
  std::set<common::ProcessName> crashed_agents;
  // An earlier attempt may have run. For a non-idempotent request, the
  // confirmation by the agent that the key did not run takes precedence.
  bool may_have_run = false;
  bool response_started = false;
  // Last attempt after which the request was delayed.
  std::uint32_t delayed_attempt = 0;
  common::ProcessName agent;  // of the current attempt
  common::GrantId grant = common::GrantId::kNone;
  bool suspect = false;        // the current attempt runs isolated as a suspect
  bool known_suspect = false;  // an agent treats the request as a suspect
  common::Duration backoff{};  // delay of the last Delay()

  // Only for non-idempotent requests.
  std::string key;
  std::string store_key;  // empty if the key is a ticket
  std::uint64_t binding_revision = 0;
  std::optional<Owner> owner;
  // Highest revision known to the router when the request arrived.
  std::uint64_t store_revision = 0;
  std::uint64_t binding_epoch = 0;
  std::uint32_t write_count = 0;
  std::string last_written;         // value of the last write
  common::Refusal pending_refusal;  // answer to send after the confirmation
};

struct PoolState {
  WorkQueue queue;
  bool demand_changed = false;
  common::TimePoint demand_sent;
  common::TimePoint last_served;  // last heartbeat of a serving agent
};

struct KnownRouter {
  common::Endpoint control;
  common::TimePoint last_reported;
};

struct RouterState {
  RouterOptions options;
  config::FleetConfig config;
  std::mt19937_64 random;
  std::unordered_map<common::RequestId, Request> requests;
  // One entry per request.
  std::set<std::pair<common::TimePoint, common::RequestId>> timers;
  std::map<common::PoolName, PoolState> pools;
  AgentTable agents;
  fairness::ShareLedger ledger;
  fairness::ShareRelay relay;
  suspects::SuspectList suspects;
  std::map<common::PoolName, common::RetryBudget> retry_budgets;
  common::TokenBucket confirmation_budget;
  std::map<common::ProcessName, KnownRouter> known_routers;
  // Counts across all pools, because a pool may be removed and added again.
  std::uint64_t demand_sequence = 0;
  common::TimePoint started;  // time of the first event
  common::PauseGuard pause_guard;
  common::TimePoint heartbeat_sent;
  common::TimePoint shares_sent;
  std::uint64_t store_revision = 0;  // highest revision seen
  bool draining = false;
  bool drain_forced = false;
  bool drain_reported = false;
  common::TimePoint drain_started;
};

RouterState MakeRouter(const RouterOptions& options);

// Applies one event at time `now` and appends the actions to carry out in
// order. `now` must not go backwards. Takes O(log n) in the number of agents
// and requests, except for ticks, which also visit every pool and send to every
// agent.
void Handle(RouterState& state, common::TimePoint now, const RouterEvent& event,
            RouterActions* actions);

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_ROUTER_H_
