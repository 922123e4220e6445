#ifndef SHALLOTBEAM_CORE_RUNTIME_METRICS_H_
#define SHALLOTBEAM_CORE_RUNTIME_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "Admission/Agent.h"
#include "Common/Clock.h"
#include "Common/Types.h"
#include "Common/Verdict.h"
#include "Routing/Router.h"
#include "Transport/Mailbox.h"

// Prometheus metrics of routers and agents. docs/OPERATIONS.md lists them.
namespace shallotbeam::runtime {

// Not thread-safe, except for Text().
class RouterMetrics {
 public:
  RouterMetrics();

  // Counts the final response to a request, sent `elapsed` after its arrival.
  void CountAnswer(const common::WorkspaceName& workspace,
                   const common::KindName& kind, const common::Refusal& outcome,
                   common::Duration elapsed);

  // Sets the gauges to the current state of the router.
  void Update(const routing::RouterState& state,
              const transport::TrafficCount& traffic);

  // All metrics in the Prometheus text format.
  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Family<prometheus::Gauge>& queued_;
  prometheus::Family<prometheus::Gauge>& virtual_time_;
  prometheus::Family<prometheus::Gauge>& fairness_gap_;
  prometheus::Family<prometheus::Gauge>& process_;
  prometheus::Family<prometheus::Gauge>& control_;
};

// Not thread-safe, except for Text().
class AgentMetrics {
 public:
  AgentMetrics();

  // Sets the gauges to the current state of the agent.
  void Update(const admission::AgentState& state,
              const transport::TrafficCount& traffic);

  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Gauge>& slots_;
  prometheus::Family<prometheus::Gauge>& service_;
  prometheus::Family<prometheus::Gauge>& process_;
  prometheus::Family<prometheus::Gauge>& control_;
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_METRICS_H_
