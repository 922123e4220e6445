#ifndef SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERMETRICS_H_
#define SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERMETRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "Common/Clock.h"
#include "Scheduling/EngineScheduler.h"

// Prometheus metrics of a scheduler. docs/OPERATIONS.md lists them.
namespace shallotbeam::scheduler_runtime {

// Returns the name of a decision for log lines and metrics.
const char* ToString(common::OfferDecision decision);

// Not thread-safe, except for Text().
class SchedulerMetrics {
 public:
  SchedulerMetrics();

  void CountReply(common::OfferDecision decision);
  // Sets the gauges to the scheduler's current state.
  void Update(const scheduling::EngineScheduler& scheduler,
              common::TimePoint now, std::size_t gateways);

  // All metrics in the Prometheus text format. Thread-safe.
  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& replies_;
  prometheus::Family<prometheus::Gauge>& served_;
  prometheus::Family<prometheus::Gauge>& state_;
};

}  // namespace shallotbeam::scheduler_runtime

#endif  // SHALLOTBEAM_CORE_SCHEDULERRUNTIME_SCHEDULERMETRICS_H_
