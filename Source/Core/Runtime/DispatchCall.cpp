#include "Runtime/DispatchCall.h"

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "Runtime/CallRelay.h"
#include "Runtime/HeaderNames.h"
#include "Runtime/OfferHeaders.h"
#include "Runtime/Refusals.h"

namespace shallotbeam::runtime {

namespace {

using routing::DispatchOutcome;
using transport::CallEnd;

// Time after the deadline during which the agent's response may still arrive.
constexpr common::Duration kResponseGrace = std::chrono::seconds(1);

// Forwards the response to one dispatch attempt to the caller.
class ResponseRelay {
 public:
  ResponseRelay(common::RequestId id, std::uint32_t attempt,
                std::shared_ptr<transport::HttpExchange> exchange,
                std::function<void(routing::RouterEvent)> post_event)
      : id_(id),
        attempt_(attempt),
        exchange_(std::move(exchange)),
        post_event_(std::move(post_event)) {}

  void OnHead(const transport::ResponseHead& head) {
    refusal_ = ParseRefusal(head.headers);
    if (refusal_) return;
    response_.status = head.status;
    response_.headers = {
        {"Content-Type", std::string(head.headers["Content-Type"])},
        {std::string(kVerdictHeader),
         std::string(common::ToString(common::Verdict::kCompleted))},
        {std::string(kRequestIdHeader), common::ToString(id_)}};
    streamed_ = head.chunked;
    if (!streamed_) return;
    // The verdict of a stream is known only at its end, so its head has no
    // verdict header.
    response_.headers.erase(response_.headers.begin() + 1);
    exchange_->StartStream(response_, attempt_);
    post_event_(routing::ResponseStarted{.id = id_, .attempt = attempt_});
  }

  bool OnBody(std::string piece, std::function<void()> resume) {
    if (streamed_) {
      exchange_->Write(std::move(piece), std::move(resume), attempt_);
      return true;
    }
    if (!transport::Collect(piece, &response_.body)) return false;
    resume();
    return true;
  }

  void OnEnd(CallEnd end) {
    switch (end) {
      case CallEnd::kCancelled:
        return;
      case CallEnd::kNotSent:
        return Post(DispatchOutcome::kNotSent);
      case CallEnd::kBroken:
      case CallEnd::kTimedOut:
      case CallEnd::kInvalid:
        return Post(DispatchOutcome::kLost);
      case CallEnd::kComplete:
        break;
    }
    if (refusal_) return Post(DispatchOutcome::kRefused);
    if (streamed_) {
      exchange_->Finish(attempt_);
    } else {
      exchange_->Send(std::move(response_), attempt_);
    }
    Post(DispatchOutcome::kCompleted);
  }

 private:
  void Post(DispatchOutcome outcome) {
    post_event_(routing::DispatchEnded{
        .id = id_,
        .attempt = attempt_,
        .outcome = outcome,
        .refusal = refusal_.value_or(common::Refusal())});
  }

  common::RequestId id_;
  std::uint32_t attempt_;
  std::shared_ptr<transport::HttpExchange> exchange_;
  std::function<void(routing::RouterEvent)> post_event_;
  std::optional<common::Refusal> refusal_;
  transport::HttpResponse response_;
  bool streamed_ = false;
};

}  // namespace

std::shared_ptr<transport::HttpCall> StartDispatch(
    transport::HttpClient& client, const common::ProcessName& router,
    const routing::DispatchRequest& action,
    std::shared_ptr<transport::HttpExchange> exchange,
    std::function<void(routing::RouterEvent)> post_event) {
  transport::HttpRequest request =
      SendOffer(router, action, exchange->Request());
  const auto relay = std::make_shared<ResponseRelay>(
      action.id, action.attempt, std::move(exchange), std::move(post_event));
  return client.Start(action.endpoint, std::move(request),
                      action.time_left + kResponseGrace,
                      MakeCallHandlers(relay));
}

}  // namespace shallotbeam::runtime
