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

// `on_status` answers all but /livez.
absl::StatusOr<std::shared_ptr<transport::HttpServer>> ListenAdmin(
    boost::asio::io_context& context, const common::Endpoint& endpoint,
    StatusHandler on_status);

// `control` counts the control messages of the process since its start.
transport::HttpResponse RouterStatus(const routing::RouterState& state,
                                     common::TimePoint now,
                                     const transport::TrafficCount& control);
transport::HttpResponse AgentStatus(const admission::AgentState& state,
                                    const transport::TrafficCount& control);

// Answers /metrics with the Prometheus text format.
transport::HttpResponse MetricsResponse(std::string text);

// What /status says about the configuration.
struct ConfigReport {
  const ConfigHolder& config;
  const PeerDirectory& peers;
  common::DataCentreName data_centre;  // of this process
  bool ready = false;
  common::TimePoint now;
};

// Adds data centre, readiness, a rejected version and the version of each
// process heard of to a /status response.
void AddConfigReport(const ConfigReport& report,
                     transport::HttpResponse* status);

// Answers /readyz: 200, or 503 with the cause.
transport::HttpResponse ReadyResponse(const ConfigHolder& config, bool ready,
                                      bool draining);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_ADMINSERVER_H_
