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
  // Collect the whole response before passing it on, for ReplayResult.
  bool keep_result = false;
};

struct UpstreamCallHandlers {
  std::function<void(admission::AgentEvent)> post_event;
  // The whole response of a call with `keep_result`; before UpstreamEnded.
  std::function<void(transport::HttpResponse)> keep;
};

// Sends a request to the upstream and passes the response on to the router.
// Reports UpstreamResponded, UpstreamProgressed and UpstreamEnded, from any
// thread.
std::shared_ptr<transport::HttpCall> StartUpstreamCall(
    transport::HttpClient& client, const UpstreamCallOptions& options,
    std::shared_ptr<transport::HttpExchange> exchange,
    UpstreamCallHandlers handlers);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_UPSTREAMCALL_H_
