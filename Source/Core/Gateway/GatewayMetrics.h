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
  std::size_t calls = 0;  // requests without a complete response
  std::size_t caller_connections = 0;
  std::size_t buffered_bytes = 0;  // held for callers
  std::size_t upstreams = 0;       // that accept requests
  // Fraction of the offered load that the load shedder admits.
  double passing_share = 1;
  std::size_t evacuated_data_centres = 0;
  std::size_t cold_upstreams = 0;  // that get a limited number of requests
  // Largest fraction of a pool's engines that is reserved for long prompts;
  // absent before the first prompt.
  std::optional<double> long_prompt_fraction;
  bool ready = false;
  std::optional<common::Duration> store_age;  // absent before the first list
  std::uint64_t configuration_version = 0;
  std::uint64_t log_lines_dropped = 0;
  std::uint64_t handler_failures = 0;
};

// Used by one thread.
class GatewayMetrics {
 public:
  GatewayMetrics();

  // The gateway responded to a request itself; `reason` is the same as in the
  // log line.
  void CountErrorResponse(int status, std::string_view reason);
  // The complete response of an upstream was relayed. `first_event` and `total`
  // are measured from the request's arrival.
  void CountServed(std::string_view route, common::Duration first_event,
                   common::Duration total);
  // An attempt ended without a response to relay; `end` is the same as in the
  // log line.
  void CountFailedAttempt(std::string_view end);
  void CountCallerDisconnected();
  void CountEjection();
  // An upstream stated something of itself that it had not stated before.
  void CountStatement();

  // All metrics in the Prometheus text format.
  std::string Text(const GatewayGauges& gauges);

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& error_responses_;
  prometheus::Family<prometheus::Counter>& failed_attempts_;
  prometheus::Family<prometheus::Counter>& disconnected_callers_;
  prometheus::Family<prometheus::Counter>& ejections_;
  prometheus::Family<prometheus::Counter>& statements_;
  prometheus::Family<prometheus::Histogram>& first_event_latency_;
  prometheus::Family<prometheus::Histogram>& request_latency_;
  prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_GATEWAYMETRICS_H_
