#ifndef SHALLOTBEAM_CORE_ADMISSION_AGENT_H_
#define SHALLOTBEAM_CORE_ADMISSION_AGENT_H_

#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Admission/Actions.h"
#include "Admission/ConcurrencyLimit.h"
#include "Admission/Events.h"
#include "Admission/KeyTable.h"
#include "Common/Clock.h"
#include "Common/PauseGuard.h"
#include "Common/Types.h"
#include "Config/Model.h"
#include "Fairness/ShareLedger.h"
#include "Fairness/ShareRelay.h"
#include "Suspects/SuspectList.h"

// The agent controls the admission of requests to one upstream. Its decision
// logic is a deterministic state machine without I/O.
namespace shallotbeam::admission {

struct AgentOptions {
  common::ProcessName name;
  common::Incarnation incarnation = common::Incarnation::kNone;
  common::DataCentreName data_centre;
  common::PoolName pool;
  common::UpstreamName upstream;
  common::Endpoint control;  // where this agent receives control messages
  common::Endpoint data;     // where routers send requests
  // Control endpoints of routers that receive heartbeats even if this agent has
  // not heard from them.
  std::vector<common::Endpoint> seed_routers;
  LimitOptions limit;
  KeyTableOptions keys;
  suspects::SuspectOptions suspects;
  common::Duration heartbeat_interval = std::chrono::milliseconds(250);
  // Minimum time between heartbeats when slots are available again after a
  // heartbeat or refusal that reported none. Limits the traffic of an agent
  // that alternates often between the two states.
  common::Duration min_heartbeat_interval = std::chrono::milliseconds(100);
  common::Duration shares_interval = std::chrono::milliseconds(200);
  fairness::RelayOptions relay;
  common::Duration grant_timeout = std::chrono::milliseconds(500);
  common::Duration router_timeout = std::chrono::seconds(1);
  // How long an upstream may still work on a cancelled request.
  common::Duration cancel_grace = std::chrono::seconds(1);
  common::Duration probe_interval = std::chrono::milliseconds(500);
  // A workspace without demand for this long has its virtual time raised to
  // that of the others when its demand returns, so that it earns no credit
  // while idle. Zero applies this after any pause: with 500 ms, the credit from
  // shorter pauses exceeded the bound on the service gap.
  common::Duration idle_threshold{};
  // A workspace that had demand within this time counts as backlogged when the
  // debt cap and the virtual time of returning workspaces are computed.
  common::Duration backlog_window = std::chrono::milliseconds(500);
  // Debt is the amount by which the virtual time of a workspace is ahead of the
  // others. The debt cap includes the service of one share (weight 1) in this
  // time.
  common::Duration debt_cap = std::chrono::seconds(2);
  // Assumed time until all other agents know a charge of this agent; time
  // constant of the decay of recent charges.
  common::Duration exchange_lag = std::chrono::milliseconds(500);
  // Urgent demand gets a head start in virtual time: the service of one share
  // (weight 1) in this time.
  common::Duration urgency_boost = std::chrono::milliseconds(500);
  common::Duration initial_error_backoff = std::chrono::milliseconds(50);
  common::Duration max_error_backoff = std::chrono::seconds(2);
  common::Duration drain_deadline = std::chrono::seconds(60);
  // Limit of queued requests without a grant, which only this agent may run.
  int max_waiting = 256;
  // How long heartbeats are sent to a router that is known only from the
  // heartbeats of other routers.
  common::Duration learnt_router_ttl = std::chrono::seconds(10);
  common::Duration heartbeat_stamp_ttl = std::chrono::minutes(5);
};

// A request that this agent has accepted.
struct Attempt {
  AttemptId id;
  common::ProcessName router;
  common::WorkspaceName workspace;
  common::KindName kind;
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  bool suspect = false;             // as reported by the router
  bool router_may_reassign = true;  // the router may choose another agent
  std::string key;                  // scoped by workspace; empty if idempotent
  bool granted = false;             // the router used a grant
  bool urgent = false;              // set when the attempt is queued
  common::TimePoint deadline;
  common::TimePoint started;
  common::TimePoint last_progress;  // end of the last measured chunk
  common::Duration first_token{};   // zero until the upstream responded
  std::uint64_t generated_tokens = 0;
  common::Cost charged = 0;
};

// A slot reserved for a router, which may send one request for it.
struct OutstandingGrant {
  common::ProcessName router;
  common::WorkspaceName workspace;
  common::TimePoint expires;
  common::Cost charged = 0;
};

// Requests of one workspace that wait at one router.
struct RouterDemand {
  int waiting = 0;
  common::TimePoint oldest_arrival;
  common::Urgency urgency = common::Urgency::kNormal;
};

// What an agent knows of one router.
struct RouterPeer {
  common::Incarnation incarnation = common::Incarnation::kNone;
  // The incarnation before a restart; its late messages are ignored.
  common::Incarnation previous = common::Incarnation::kNone;
  common::Endpoint control;  // empty until the first heartbeat
  common::TimePoint last_heard;
  std::uint64_t demand_sequence = 0;
  // Contains only entries with waiting > 0.
  std::map<common::WorkspaceName, RouterDemand> demand;
};

// Waiting requests of one workspace, at this agent and at all routers. Exists
// only while requests wait, so that the time to choose the next workspace
// doesn't depend on the number of routers.
struct WorkspaceBacklog {
  fairness::ShareKey key;
  // The router whose request has waited longest comes first.
  std::set<std::pair<common::TimePoint, common::ProcessName>> routers;
  int ungranted = 0;  // attempts queued at this agent without a grant
  int urgent = 0;     // routers and ungranted attempts with urgent requests
};

// The last heartbeat of a router. Its time is echoed in this agent's heartbeats
// and tells a router that was paused which of them are fresh. Therefore it is
// kept when the router falls silent.
struct HeartbeatStamp {
  std::uint64_t sent = 0;  // by the router's clock
  common::TimePoint heard;
};

// A router that another router named in a heartbeat.
struct LearntRouter {
  common::Endpoint control;
  common::TimePoint last_mentioned;
};

// Measured service rate of the pool, used to compute the debt cap and the
// urgency boost.
struct ServiceRate {
  common::TimePoint measured_at;
  common::Cost service_at_measurement = 0;
  std::deque<double> samples;  // cost per second; the latest samples
  double cost_per_second = 0;  // of the whole pool; median of `samples`
  double backlogged_weight = 0;
  common::Cost largest_request = 1;
  int known_costs = 0;  // number of requests whose cost is known
};

struct MeanCost {
  common::Cost cost = 0;
  double mean_square = 0;
  int count = 0;
};

// Charges by this agent that other agents don't know of yet; decays with time.
struct RecentCharge {
  common::Cost cost = 0;
  common::TimePoint at;
};

struct AgentState {
  AgentOptions options;
  config::FleetConfig config;
  ConcurrencyLimit limit;
  KeyTable keys;
  suspects::SuspectList suspects;
  fairness::ShareLedger ledger;
  // Minimum virtual time of a workspace that becomes backlogged after being
  // idle.
  double system_virtual_time = 0;
  ServiceRate rate;
  std::map<common::WorkspaceName, RecentCharge> recent_charges;
  // Other agents that serve this pool, with the time when a charge by them was
  // last received.
  std::map<common::Incarnation, common::TimePoint> other_active_agents;
  // Mean cost of a request by workspace and kind. An empty kind stands for all
  // kinds, because a grant is charged before the kind of its request is known.
  // An empty workspace stands for all workspaces.
  std::map<std::pair<common::WorkspaceName, common::KindName>, MeanCost>
      estimates;
  // Largest cost so far of a running request, for workspaces and kinds without
  // a mean.
  std::map<std::pair<common::WorkspaceName, common::KindName>, common::Cost>
      partial_costs;
  std::map<common::WorkspaceName, WorkspaceBacklog> backlog;
  // When the backlog of each workspace without one last ended.
  std::map<common::WorkspaceName, common::TimePoint> last_demand;
  std::map<AttemptId, Attempt> running;
  std::list<Attempt> waiting;  // accepted, not started
  // Attempts cancelled within `cancel_grace`, which may still crash the
  // upstream.
  std::deque<std::pair<common::TimePoint, common::Fingerprint>> cancelled;
  int waiting_granted = 0;  // entries of `waiting` that hold a grant
  std::map<common::GrantId, OutstandingGrant> grants;
  std::uint64_t next_grant = 1;
  std::map<common::ProcessName, RouterPeer> routers;
  std::map<common::ProcessName, LearntRouter> learnt_routers;
  // By control endpoint.
  std::map<common::Endpoint, HeartbeatStamp> heartbeat_stamps;
  common::PauseGuard pause;
  bool has_seen_router = false;
  // Set by a long process pause until a router's heartbeat echoes one that this
  // agent sent after the pause.
  bool unacknowledged_since_pause = false;
  // A router reported that the host list names this agent as leaving. Stays set
  // until the agent restarts, because restarted routers don't know it.
  bool listed_leaving = false;
  // Slots kept empty as back-off after upstream errors, by the end of the
  // back-off.
  std::multiset<common::TimePoint> backoff_slots;
  common::Duration error_backoff{};
  bool upstream_up = true;
  common::TimePoint probed;
  common::TimePoint heartbeat_sent;
  // The last heartbeat or refusal reported that no slots are free.
  bool reported_full = false;
  common::TimePoint shares_sent;
  fairness::ShareRelay relay;
  bool draining = false;
  bool drain_reported = false;
  common::TimePoint drain_started;
};

AgentState MakeAgent(const AgentOptions& options);

// Applies one event at `now`; appends the actions to carry out in order. `now`
// must not go backwards.
void Handle(AgentState& state, common::TimePoint now, const AgentEvent& event,
            AgentActions* actions);

}  // namespace shallotbeam::admission

#endif  // SHALLOTBEAM_CORE_ADMISSION_AGENT_H_
