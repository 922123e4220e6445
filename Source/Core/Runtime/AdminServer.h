#ifndef SHALLOTBEAM_CORE_RUNTIME_ADMINSERVER_H_
#define SHALLOTBEAM_CORE_RUNTIME_ADMINSERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "Admission/Agent.h"
#include "Common/Types.h"
#include "Routing/Router.h"
#include "Transport/HttpServer.h"
#include "absl/status/statusor.h"

// HTTP for operators: /livez and /status.
namespace shallotbeam::runtime {

using StatusHandler =
    std::function<void(std::shared_ptr<transport::HttpExchange>)>;

absl::StatusOr<std::shared_ptr<transport::HttpServer>> ListenAdmin(
    boost::asio::io_context& context, const common::Endpoint& endpoint,
    StatusHandler on_status);

transport::HttpResponse RouterStatus(const routing::RouterState& state);
transport::HttpResponse AgentStatus(const admission::AgentState& state);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_ADMINSERVER_H_
