#ifndef SHALLOTBEAM_CORE_RUNTIME_DISPATCHCALL_H_
#define SHALLOTBEAM_CORE_RUNTIME_DISPATCHCALL_H_

#include <functional>
#include <memory>

#include "Common/Types.h"
#include "Routing/Actions.h"
#include "Routing/Events.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::runtime {

// Sends a caller's request to an agent and forwards the response to the
// caller. Posts ResponseStarted and DispatchEnded; `post_event` may be called
// from any thread.
std::shared_ptr<transport::HttpCall> StartDispatch(
    transport::HttpClient& client, const common::ProcessName& router,
    const routing::DispatchRequest& action,
    std::shared_ptr<transport::HttpExchange> exchange,
    std::function<void(routing::RouterEvent)> post_event);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_DISPATCHCALL_H_
