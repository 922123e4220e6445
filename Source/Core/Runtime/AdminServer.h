#ifndef SHALLOTBEAM_CORE_RUNTIME_ADMINSERVER_H_
#define SHALLOTBEAM_CORE_RUNTIME_ADMINSERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "Admission/Agent.h"
#include "Common/Clock.h"
#include "Common/Types.h"
#include "Routing/Router.h"
#include "Transport/HttpServer.h"
#include "Transport/Mailbox.h"
#include "absl/status/statusor.h"

// HTTP for operators: /livez and /status.
namespace shallotbeam::runtime {

using StatusHandler =
    std::function<void(std::shared_ptr<transport::HttpExchange>)>;

absl::StatusOr<std::shared_ptr<transport::HttpServer>> ListenAdmin(
    boost::asio::io_context& context, const common::Endpoint& endpoint,
    StatusHandler on_status);

// `control` counts the control messages of the process since its start.
transport::HttpResponse RouterStatus(const routing::RouterState& state,
                                     common::TimePoint now,
                                     const transport::TrafficCount& control);
transport::HttpResponse AgentStatus(const admission::AgentState& state,
                                    const transport::TrafficCount& control);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_ADMINSERVER_H_
