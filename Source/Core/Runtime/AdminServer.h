#ifndef SHALLOTBEAM_CORE_RUNTIME_ADMINSERVER_H_
#define SHALLOTBEAM_CORE_RUNTIME_ADMINSERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "Admission/Agent.h"
#include "Common/Clock.h"
#include "Common/Types.h"
#include "Routing/Router.h"
#include "Runtime/ConfigHolder.h"
#include "Runtime/PeerDirectory.h"
#include "Transport/HttpServer.h"
#include "Transport/Mailbox.h"
#include "absl/status/statusor.h"

// HTTP for operators: /livez, /readyz, /metrics and /status.
namespace shallotbeam::runtime {

using StatusHandler =
    std::function<void(std::shared_ptr<transport::HttpExchange>)>;

// Serves /livez itself and passes requests for /readyz, /metrics and /status to
// `on_status`.
absl::StatusOr<std::shared_ptr<transport::HttpServer>> ListenAdmin(
    boost::asio::io_context& context, const common::Endpoint& endpoint,
    StatusHandler on_status);

// `control` holds the control traffic of the process since its start.
transport::HttpResponse RouterStatus(const routing::RouterState& state,
                                     common::TimePoint now,
                                     const transport::TrafficCount& control);
transport::HttpResponse AgentStatus(const admission::AgentState& state,
                                    const transport::TrafficCount& control);

// The response to /metrics: `text` in the Prometheus text format.
transport::HttpResponse MetricsResponse(std::string text);

// The state that /status reports about configuration and peers.
struct ConfigReport {
  const ConfigHolder& config;
  const PeerDirectory& peers;
  common::DataCentreName data_centre;  // of this process
  bool ready = false;
  common::TimePoint now;
};

// Adds to a /status response the data centre, the readiness, a rejected
// configuration version and the version of each peer that sent a heartbeat.
void AddConfigReport(const ConfigReport& report,
                     transport::HttpResponse* status);

// The response to /readyz: 200, or 503 with the cause.
transport::HttpResponse ReadyResponse(const ConfigHolder& config, bool ready,
                                      bool draining);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_ADMINSERVER_H_
