#ifndef SHALLOTBEAM_CORE_RUNTIME_UPSTREAMCALL_H_
#define SHALLOTBEAM_CORE_RUNTIME_UPSTREAMCALL_H_

#include <functional>
#include <memory>
#include <string>

#include "Admission/Events.h"
#include "Common/Clock.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::runtime {

struct UpstreamCallOptions {
  admission::AttemptId id;
  common::Endpoint upstream;
  std::string path;
  common::Duration timeout{};
  // Buffers the whole response before forwarding it, so that ReplayResult can
  // repeat it.
  bool keep_result = false;
};

struct UpstreamCallHandlers {
  std::function<void(admission::AgentEvent)> post_event;
  // Receives the whole response of a call with `keep_result`, before
  // UpstreamEnded is posted.
  std::function<void(transport::HttpResponse)> on_result;
};

// Sends a request to the upstream and forwards the response to the router.
// Posts UpstreamResponded, UpstreamProgressed and UpstreamEnded; the handlers
// may be called from any thread.
std::shared_ptr<transport::HttpCall> StartUpstreamCall(
    transport::HttpClient& client, const UpstreamCallOptions& options,
    std::shared_ptr<transport::HttpExchange> exchange,
    UpstreamCallHandlers handlers);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_UPSTREAMCALL_H_
