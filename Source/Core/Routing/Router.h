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

// The decisions of a router: a deterministic state machine without I/O.
namespace shallotbeam::routing {

struct RouterOptions {
  common::ProcessName name;
  common::Incarnation incarnation = common::Incarnation::kNone;
  common::DataCentreName data_centre;
  common::Endpoint control;  // this router's inbox
  std::uint64_t seed = 1;
  MembershipOptions membership;
  suspects::SuspectOptions suspects;
  common::RetryOptions retries;
  common::Duration heartbeat_interval = std::chrono::milliseconds(250);
  common::Duration shares_interval = std::chrono::milliseconds(200);
  fairness::RelayOptions relay;
  // Demand is sent on change, this far apart at least and at most.
  common::Duration demand_interval = std::chrono::milliseconds(20);
  common::Duration demand_refresh = std::chrono::seconds(1);
  // How long a confirmation of "not run" may take.
  common::Duration confirm_timeout = std::chrono::milliseconds(500);
  double confirmations_per_second = 50;
  // Relative spread of Retry-After around the estimate.
  double retry_after_jitter = 0.25;
  common::Duration max_retry_after = std::chrono::seconds(60);
  // How long requests are queued while no agent of the pool serves. Meant for
  // the restart of an agent, not measured; after that requests are refused.
  common::Duration outage_bridge = std::chrono::seconds(5);
  // Pause before a request that was refused as a suspect, or could not be
  // sent, is tried again; doubles from the first to the last.
  common::Duration first_delay = std::chrono::milliseconds(20);
  common::Duration last_delay = std::chrono::seconds(1);
  // How long a retry waits for another upstream than the one that failed.
  common::Duration avoid_failed = std::chrono::milliseconds(500);
  // How long a router named by an agent is passed on.
  common::Duration router_memory = std::chrono::seconds(10);
  common::Duration drain_deadline = std::chrono::seconds(60);
};

enum class Phase : std::uint8_t {
  kReadingBinding,  // waits for the store
  kQueued,
  kDelayed,         // is placed again when its timer fires
  kWritingBinding,  // waits for the store, holds a slot
  kDispatched,
  kRevoking,          // waits for the owner's word that it did not run
  kWritingTombstone,  // waits for the store before it is refused as not run
};

// A request from its arrival to its final answer.
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
  std::set<common::ProcessName> failed_at;  // agents whose upstream failed it
  common::TimePoint failed;                 // the last time
  int crashes = 0;  // of upstreams, with this request in flight
  std::set<common::ProcessName> crashed_at;  // agents of these upstreams
  // An earlier attempt may have run; only an agent's word on the key of a
  // non-idempotent request overrules that.
  bool may_have_run = false;
  bool response_started = false;
  std::uint32_t paused_attempt = 0;  // last one after which it was held back
  common::ProcessName agent;         // of the current attempt
  common::GrantId grant = common::GrantId::kNone;
  bool suspect = false;           // the current attempt runs isolated
  bool isolate = false;           // an agent knows it as a suspect
  common::Duration last_pause{};  // in kDelayed

  // Only for non-idempotent requests.
  std::string key;
  std::string store_key;  // empty for a ticket
  std::uint64_t binding_revision = 0;
  std::optional<Owner> owner;
  std::uint64_t store_revision = 0;  // seen by the router on its arrival
  std::uint64_t binding_epoch = 0;
  std::uint32_t writes = 0;
  std::string written;      // value of the last write
  common::Refusal pending;  // while confirming
};

struct PoolState {
  WorkQueue queue;
  bool demand_changed = false;
  common::TimePoint demand_sent;
  common::TimePoint served;  // last heartbeat of an agent that serves
};

struct KnownRouter {
  common::Endpoint control;
  common::TimePoint last_named;
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
  common::TokenBucket confirmations;
  std::map<common::ProcessName, KnownRouter> known_routers;
  // Over all pools, as pools may be forgotten and come back.
  std::uint64_t demand_sequence = 0;
  common::TimePoint started;  // first event
  common::PauseGuard pause;
  common::TimePoint heartbeat_sent;
  common::TimePoint shares_sent;
  std::uint64_t store_revision = 0;  // highest one seen
  bool draining = false;
  bool drain_forced = false;
  bool drain_reported = false;
  common::TimePoint drain_started;
};

RouterState MakeRouter(const RouterOptions& options);

// Applies one event at `now`; appends the actions to carry out in order. `now`
// must not go backwards. Runs in O(log n) of agents and requests, but for
// ticks, which also visit every pool and send to every agent.
void Handle(RouterState& state, common::TimePoint now, const RouterEvent& event,
            RouterActions* actions);

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_ROUTER_H_
