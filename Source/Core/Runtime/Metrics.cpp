#include "Runtime/Metrics.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <string_view>

#include "Runtime/MetricsPage.h"

namespace shallotbeam::runtime {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildHistogram;

// In seconds. The range covers the latency that routers and agents add to a
// request up to the longest deadlines.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.5,   1,      2.5,   5,    10,    30,   60,  300};

void SetTraffic(prometheus::Family<prometheus::Gauge>& family,
                const transport::TrafficCount& traffic) {
  const auto set = [&](const char* direction, const char* unit,
                       std::uint64_t value) {
    family.Add({{"direction", direction}, {"unit", unit}})
        .Set(static_cast<double>(value));
  };
  set("sent", "messages", traffic.messages_sent);
  set("sent", "bytes", traffic.bytes_sent);
  set("received", "messages", traffic.messages_received);
  set("received", "bytes", traffic.bytes_received);
  set("dropped", "messages", traffic.messages_dropped);
}

// Largest difference between the virtual times of workspaces that have requests
// waiting in the pool.
double FairnessGap(const routing::RouterState& state,
                   const common::PoolName& pool,
                   const routing::WorkQueue& queue) {
  double low = std::numeric_limits<double>::infinity();
  double high = -low;
  for (const auto& [name, workspace] : queue.workspaces) {
    if (workspace.waiting == 0) continue;
    const double time = fairness::VirtualTime(state.ledger, {pool, name});
    low = std::min(low, time);
    high = std::max(high, time);
  }
  return std::max(0.0, high - low);
}

}  // namespace

RouterMetrics::RouterMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      answers_(BuildCounter()
                   .Name("shallotbeam_answers_total")
                   .Help("Final answers by verdict and reason")
                   .Register(*registry_)),
      latency_(BuildHistogram()
                   .Name("shallotbeam_request_seconds")
                   .Help("Time from arrival to the end of a complete response")
                   .Register(*registry_)),
      queued_(AddGauge(*registry_, "shallotbeam_queued_requests",
                       "Requests that wait at this router")),
      virtual_time_(AddGauge(*registry_, "shallotbeam_virtual_time",
                             "Service per weight plus lift, in cost units")),
      fairness_gap_(
          AddGauge(*registry_, "shallotbeam_fairness_gap",
                   "Largest difference of virtual times of workspaces that "
                   "wait, in cost units per weight")),
      process_(
          AddGauge(*registry_, "shallotbeam_router", "State of this router")),
      control_(AddGauge(*registry_, "shallotbeam_control_traffic",
                        "Control messages and bytes since the start")) {}

void RouterMetrics::CountAnswer(const common::WorkspaceName& workspace,
                                const common::KindName& kind,
                                const common::Refusal& outcome,
                                common::Duration elapsed) {
  answers_
      .Add({{"workspace", workspace.value},
            {"kind", kind.value},
            {"verdict", std::string(common::ToString(outcome.verdict))},
            {"reason", std::string(common::ToString(outcome.reason))}})
      .Increment();
  if (outcome.verdict != common::Verdict::kCompleted) return;
  latency_.Add({{"kind", kind.value}}, kLatencyBuckets)
      .Observe(std::chrono::duration<double>(elapsed).count());
}

void RouterMetrics::Update(const routing::RouterState& state,
                           const transport::TrafficCount& traffic) {
  for (const auto& [pool, pool_state] : state.pools) {
    for (const auto& [name, queue] : pool_state.queue.workspaces) {
      queued_.Add({{"pool", pool.value}, {"workspace", name.value}})
          .Set(queue.waiting);
    }
    fairness_gap_.Add({{"pool", pool.value}})
        .Set(FairnessGap(state, pool, pool_state.queue));
  }
  for (const auto& [key, share] : state.ledger.shares) {
    virtual_time_
        .Add({{"pool", key.first.value}, {"workspace", key.second.value}})
        .Set(fairness::VirtualTime(state.ledger, key));
  }
  SetGaugeItem(process_, "config_version",
               static_cast<double>(common::ToNumber(state.config.version)));
  SetGaugeItem(process_, "requests",
               static_cast<double>(state.requests.size()));
  SetGaugeItem(process_, "agents",
               static_cast<double>(state.agents.agents.size()));
  SetGaugeItem(process_, "draining", state.draining ? 1 : 0);
  SetTraffic(control_, traffic);
}

std::string RouterMetrics::Text() const { return MetricsText(*registry_); }

AgentMetrics::AgentMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      slots_(AddGauge(*registry_, "shallotbeam_slots",
                      "Slots of the upstream by state; running / limit is the "
                      "utilisation")),
      service_(AddGauge(*registry_, "shallotbeam_service",
                        "Service given by the whole pool, in cost units")),
      process_(
          AddGauge(*registry_, "shallotbeam_agent", "State of this agent")),
      control_(AddGauge(*registry_, "shallotbeam_control_traffic",
                        "Control messages and bytes since the start")) {}

void AgentMetrics::Update(const admission::AgentState& state,
                          const transport::TrafficCount& traffic) {
  const auto set_slots = [&](const char* name, std::size_t value) {
    slots_.Add({{"state", name}}).Set(static_cast<double>(value));
  };
  set_slots("limit", static_cast<std::size_t>(SlotLimit(state.limit)));
  set_slots("running", state.running.size());
  set_slots("waiting", state.waiting.size());
  set_slots("granted", state.grants.size());
  set_slots("held", state.backoff_slots.size());
  for (const auto& [key, share] : state.ledger.shares) {
    service_.Add({{"pool", key.first.value}, {"workspace", key.second.value}})
        .Set(share.net_service);
  }
  SetGaugeItem(process_, "config_version",
               static_cast<double>(common::ToNumber(state.config.version)));
  SetGaugeItem(process_, "upstream_up", state.upstream_up ? 1 : 0);
  SetGaugeItem(process_, "draining", state.draining ? 1 : 0);
  SetGaugeItem(process_, "routers", static_cast<double>(state.routers.size()));
  SetTraffic(control_, traffic);
}

std::string AgentMetrics::Text() const { return MetricsText(*registry_); }

}  // namespace shallotbeam::runtime
