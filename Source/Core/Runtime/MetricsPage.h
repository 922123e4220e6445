#ifndef SHALLOTBEAM_CORE_RUNTIME_METRICSPAGE_H_
#define SHALLOTBEAM_CORE_RUNTIME_METRICSPAGE_H_

#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "Common/Types.h"
#include "Transport/HttpServer.h"
#include "absl/status/statusor.h"

namespace shallotbeam::runtime {

prometheus::Family<prometheus::Gauge>& AddGauge(prometheus::Registry& registry,
                                                const char* name,
                                                const char* help);

// Sets the gauge of `family` with the label item=`item`.
void SetGaugeItem(prometheus::Family<prometheus::Gauge>& family,
                  const char* item, double value);

// All metrics in the Prometheus text format. Thread-safe.
std::string MetricsText(const prometheus::Registry& registry);

// Starts an admin server that serves only /metrics and /livez. `text` returns
// the metrics; it is called on a thread of the context.
absl::StatusOr<std::shared_ptr<transport::HttpServer>> ServeMetrics(
    boost::asio::io_context& context, const common::Endpoint& endpoint,
    std::function<std::string()> text);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_METRICSPAGE_H_
