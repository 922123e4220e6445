#ifndef SHALLOTBEAM_CORE_GATEWAY_GATEWAYMETRICS_H_
#define SHALLOTBEAM_CORE_GATEWAY_GATEWAYMETRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Clock.h"

// Prometheus metrics of a gateway. docs/OPERATIONS.md lists them.
namespace shallotbeam::gateway {

// State at the time of a scrape.
struct GatewayGauges {
  std::size_t calls = 0;  // requests without their whole answer
  std::size_t caller_connections = 0;
  std::size_t upstreams = 0;  // that take work
  double passing_share = 1;   // of the offered load, while shedding
  bool ready = false;
  std::optional<common::Duration> store_age;  // absent: nothing known yet
  std::uint64_t configuration_version = 0;
  std::uint64_t log_lines_dropped = 0;
};

// Used by one thread.
class GatewayMetrics {
 public:
  GatewayMetrics();

  // The gateway answered a request itself; `reason` as in its log line.
  void CountAnswer(int status, std::string_view reason);
  // An upstream's whole answer was delivered. `first` and `done` are times
  // since the request's arrival.
  void CountServed(std::string_view route, common::Duration first,
                   common::Duration done);
  // An attempt ended without an answer to deliver; `end` as in its log line.
  void CountFailedAttempt(std::string_view end);
  void CountCallerLeft();
  void CountEjection();

  // All metrics in the Prometheus text format.
  std::string Text(const GatewayGauges& gauges);

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& failed_attempts_;
  prometheus::Family<prometheus::Counter>& callers_left_;
  prometheus::Family<prometheus::Counter>& ejections_;
  prometheus::Family<prometheus::Histogram>& first_;
  prometheus::Family<prometheus::Histogram>& done_;
  prometheus::Family<prometheus::Gauge>& state_;
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_GATEWAYMETRICS_H_
