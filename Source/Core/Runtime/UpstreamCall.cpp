#include "Runtime/UpstreamCall.h"

#include <utility>

#include "Common/Verdict.h"
#include "Runtime/CallRelay.h"
#include "Runtime/HeaderNames.h"
#include "Runtime/UsageMeter.h"

namespace shallotbeam::runtime {

namespace {

using admission::UpstreamOutcome;
using transport::CallEnd;

constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
// Number of tokens between two progress events, which limits the event rate.
constexpr std::uint64_t kProgressTokens = 32;

UpstreamOutcome OutcomeOf(CallEnd end, int status) {
  switch (end) {
    case CallEnd::kNotSent:
      return UpstreamOutcome::kNotSent;
    case CallEnd::kTimedOut:
      return UpstreamOutcome::kTimedOut;
    case CallEnd::kBroken:
    case CallEnd::kCancelled:
      return UpstreamOutcome::kBroken;
    // An upstream that answers has not crashed.
    case CallEnd::kInvalid:
      return UpstreamOutcome::kError;
    case CallEnd::kComplete:
      break;
  }
  if (status == kTooManyRequests) return UpstreamOutcome::kRefused;
  if (status >= kFirstServerError) return UpstreamOutcome::kError;
  return UpstreamOutcome::kCompleted;
}

// Forwards the response of the upstream to the router.
class UpstreamRelay {
 public:
  UpstreamRelay(const UpstreamCallOptions& options,
                std::shared_ptr<transport::HttpExchange> exchange,
                UpstreamCallHandlers handlers)
      : options_(options),
        exchange_(std::move(exchange)),
        handlers_(std::move(handlers)) {}

  void OnHead(const transport::ResponseHead& head) {
    handlers_.post_event(admission::UpstreamResponded{.id = options_.id});
    response_.status = head.status;
    response_.headers = {
        {"Content-Type", std::string(head.headers["Content-Type"])},
        {std::string(kVerdictHeader),
         std::string(common::ToString(common::Verdict::kCompleted))}};
    const bool served = OutcomeOf(CallEnd::kComplete, head.status) ==
                        UpstreamOutcome::kCompleted;
    streamed_ = head.chunked && served && !options_.keep_result;
    if (streamed_) exchange_->StartStream(response_);
  }

  bool OnBody(std::string piece, std::function<void()> resume) {
    if (!streamed_) {
      too_long_ = !transport::Collect(piece, &response_.body);
      if (!too_long_) resume();
      return !too_long_;
    }
    FeedEventStream(meter_, piece);
    if (meter_.generated_tokens >= reported_tokens_ + kProgressTokens) {
      reported_tokens_ = meter_.generated_tokens;
      handlers_.post_event(admission::UpstreamProgressed{
          .id = options_.id, .generated_tokens = reported_tokens_});
    }
    exchange_->Write(std::move(piece), std::move(resume));
    return true;
  }

  void OnEnd(CallEnd end) {
    if (end == CallEnd::kCancelled) return;
    if (!streamed_ && !too_long_) FeedCompleteBody(meter_, response_.body);
    // Ended by this process, so that it is no sign of a crash.
    const UpstreamOutcome outcome =
        too_long_ ? UpstreamOutcome::kError : OutcomeOf(end, response_.status);
    const std::size_t response_bytes = response_.body.size();
    if (outcome == UpstreamOutcome::kCompleted) Complete();
    handlers_.post_event(
        admission::UpstreamEnded{.id = options_.id,
                                 .outcome = outcome,
                                 .prompt_tokens = meter_.prompt_tokens,
                                 .generated_tokens = meter_.generated_tokens,
                                 .response_bytes = response_bytes});
  }

 private:
  void Complete() {
    if (streamed_) return exchange_->Finish();
    if (options_.keep_result) handlers_.on_result(response_);
    exchange_->Send(std::move(response_));
  }

  UpstreamCallOptions options_;
  std::shared_ptr<transport::HttpExchange> exchange_;
  UpstreamCallHandlers handlers_;
  transport::HttpResponse response_;
  UsageMeter meter_;
  std::uint64_t reported_tokens_ = 0;
  bool streamed_ = false;
  bool too_long_ = false;  // the collected body has exceeded its limit
};

}  // namespace

std::shared_ptr<transport::HttpCall> StartUpstreamCall(
    transport::HttpClient& client, const UpstreamCallOptions& options,
    std::shared_ptr<transport::HttpExchange> exchange,
    UpstreamCallHandlers handlers) {
  transport::HttpRequest request{.method = "POST", .target = options.path};
  const std::string type =
      transport::HeaderOf(exchange->Request(), "Content-Type");
  if (!type.empty()) request.headers.set("Content-Type", type);
  for (const std::string_view name :
       {kWorkspaceHeader, kIdempotencyKeyHeader}) {
    const std::string value = transport::HeaderOf(exchange->Request(), name);
    if (value.empty()) continue;
    request.headers.set(boost::beast::string_view(name.data(), name.size()),
                        value);
  }
  request.body = exchange->Request().body;
  const auto relay = std::make_shared<UpstreamRelay>(
      options, std::move(exchange), std::move(handlers));
  return client.Start(options.upstream, std::move(request), options.timeout,
                      MakeCallHandlers(relay));
}

}  // namespace shallotbeam::runtime
