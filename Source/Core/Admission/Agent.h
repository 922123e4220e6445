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

// The decisions of an agent: a deterministic state machine without I/O.
namespace shallotbeam::admission {

struct AgentOptions {
  common::ProcessName name;
  common::Incarnation incarnation = common::Incarnation::kNone;
  common::DataCentreName data_centre;
  common::PoolName pool;
  common::UpstreamName upstream;
  common::Endpoint control;  // this agent's inbox
  common::Endpoint data;     // where routers hand requests over
  // Inboxes of routers to announce this agent to.
  std::vector<common::Endpoint> seed_routers;
  LimitOptions limit;
  KeyTableOptions keys;
  suspects::SuspectOptions suspects;
  common::Duration heartbeat_interval = std::chrono::milliseconds(250);
  // Least time between heartbeats when slots are on offer again after a report
  // of none. Bounds the traffic of an agent that changes often between the two.
  common::Duration reopen_interval = std::chrono::milliseconds(100);
  common::Duration shares_interval = std::chrono::milliseconds(200);
  fairness::RelayOptions relay;
  common::Duration grant_timeout = std::chrono::milliseconds(500);
  common::Duration router_timeout = std::chrono::seconds(1);
  // How long an upstream may still work on a cancelled request.
  common::Duration cancel_grace = std::chrono::seconds(1);
  common::Duration probe_interval = std::chrono::milliseconds(500);
  // A workspace without demand for this long starts level on its return. With
  // 500 ms, the credit of shorter pauses exceeded the bound on the gap.
  common::Duration idle_after{};
  // A workspace that had demand within this time counts as backlogged for the
  // debt cap and for the level of those that return.
  common::Duration debt_window = std::chrono::milliseconds(500);
  common::Duration debt_cap = std::chrono::seconds(2);
  // Time until the charges of one agent are known to all others.
  common::Duration exchange_lag = std::chrono::milliseconds(500);
  common::Duration urgency_boost = std::chrono::milliseconds(500);
  common::Duration first_error_backoff = std::chrono::milliseconds(50);
  common::Duration max_error_backoff = std::chrono::seconds(2);
  common::Duration drain_deadline = std::chrono::seconds(60);
  int max_waiting = 256;  // requests bound to this agent that wait here
  // How long a router learnt from another router is announced to unanswered.
  common::Duration forget_router_after = std::chrono::seconds(10);
  common::Duration forget_stamp_after = std::chrono::minutes(5);
};

// A request that this agent has accepted.
struct Attempt {
  AttemptId id;
  common::ProcessName router;
  common::WorkspaceName workspace;
  common::KindName kind;
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  bool suspect = false;  // by the router's word
  bool movable = true;   // the router may choose another agent
  std::string key;       // with the workspace; empty if idempotent
  bool granted = false;
  bool urgent = false;  // set while it waits
  common::TimePoint deadline;
  common::TimePoint started;
  common::TimePoint progressed;    // end of the last measured piece
  common::Duration first_token{};  // zero until the upstream responded
  std::uint64_t generated_tokens = 0;
  common::Cost charged = 0;
};

struct OutstandingGrant {
  common::ProcessName router;
  common::WorkspaceName workspace;
  common::TimePoint expires;
  common::Cost charged = 0;
};

// Requests of one workspace that wait at one router.
struct RouterDemand {
  int waiting = 0;
  common::TimePoint since;  // arrival of the oldest
  common::Urgency urgency = common::Urgency::kNormal;
};

// What an agent knows of one router.
struct RouterPeer {
  common::Incarnation incarnation = common::Incarnation::kNone;
  // Late messages of this incarnation are ignored.
  common::Incarnation previous = common::Incarnation::kNone;
  common::Endpoint control;  // empty until the first heartbeat
  common::TimePoint last_heard;
  std::uint64_t demand_sequence = 0;
  std::map<common::WorkspaceName, RouterDemand> demand;  // waiting > 0 only
};

// Everything a workspace has waiting; exists only while there is something, so
// that choosing the next workspace doesn't depend on the number of routers.
struct WorkspaceBacklog {
  fairness::ShareKey key;
  // The router whose request has waited longest comes first.
  std::set<std::pair<common::TimePoint, common::ProcessName>> routers;
  int bound = 0;   // attempts that wait here without a grant
  int urgent = 0;  // routers and bound attempts with urgent requests
};

// The last heartbeat of a router; kept when the router falls silent, because
// the answers to it tell a paused router which of its heartbeats are fresh.
struct RouterStamp {
  std::uint64_t sent = 0;  // by the router's clock
  common::TimePoint heard;
};

struct LearntRouter {
  common::Endpoint control;
  common::TimePoint mentioned;
};

// Measured rates that size the debt cap and the urgency boost.
struct ShareRate {
  common::TimePoint measured;
  common::Cost service_then = 0;
  std::deque<double> samples;  // cost per second; the latest ones
  double cost_per_second = 0;  // of the whole pool; median of `samples`
  double backlogged_weight = 0;
  common::Cost largest_request = 1;
  int costs_seen = 0;  // requests whose cost is known
};

struct MeanCost {
  common::Cost cost = 0;
  double square = 0;  // mean of the squared costs
  int count = 0;
};

// Own charges that other agents don't know of yet, fading with time.
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
  // No workspace whose backlog begins starts below this virtual time.
  double system_time = 0;
  ShareRate rate;
  std::map<common::WorkspaceName, RecentCharge> recent_charges;
  // Other agents that give service in this pool, by the last sign of it.
  std::map<common::Incarnation, common::TimePoint> other_writers;
  // Mean cost of a request by workspace and kind; the empty kind stands for
  // all, because a grant is charged before its kind is known.
  std::map<std::pair<common::WorkspaceName, common::KindName>, MeanCost>
      estimates;
  // Largest cost so far of running requests, where there is no mean yet.
  std::map<std::pair<common::WorkspaceName, common::KindName>, common::Cost>
      costs_so_far;
  std::map<common::WorkspaceName, WorkspaceBacklog> backlog;
  // When each workspace without backlog last had one.
  std::map<common::WorkspaceName, common::TimePoint> last_demand;
  std::map<AttemptId, Attempt> running;
  std::list<Attempt> waiting;  // accepted, not begun
  // Attempts cancelled within `cancel_grace`, which may still crash the
  // upstream.
  std::deque<std::pair<common::TimePoint, common::Fingerprint>> cancelled;
  int waiting_granted = 0;  // those that hold a grant
  std::map<common::GrantId, OutstandingGrant> grants;
  std::uint64_t next_grant = 1;
  std::map<common::ProcessName, RouterPeer> routers;
  std::map<common::ProcessName, LearntRouter> learnt_routers;
  std::map<common::Endpoint, RouterStamp> router_stamps;  // by inbox
  common::PauseGuard pause;
  bool met_router = false;
  // Since a long pause, no heartbeat of a router answered one of this process.
  bool deaf = false;
  // A router reported that the host list names this agent as leaving. Holds
  // until the agent restarts: routers that restart don't know it.
  bool listed_leaving = false;
  // Slots held back after errors, by the end of the hold.
  std::multiset<common::TimePoint> held_slots;
  common::Duration error_backoff{};
  bool upstream_up = true;
  common::TimePoint probed;
  common::TimePoint heartbeat_sent;
  bool reported_full = false;  // by the last heartbeat or refusal
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
