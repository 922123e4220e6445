#include "ProcessScenarios/Callers.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "Runtime/HeaderNames.h"

namespace shallotbeam::process_scenarios {

namespace {

using nlohmann::json;
using transport::CallEnd;

// The fleet answers every request by its deadline. A call without an answer
// this long after its deadline counts as broken.
constexpr std::chrono::seconds kTimeoutMargin{15};

std::string HeaderValue(const boost::beast::http::fields& headers,
                        std::string_view name) {
  const auto it =
      headers.find(boost::beast::string_view(name.data(), name.size()));
  return it == headers.end() ? "" : std::string(it->value());
}

boost::beast::string_view ToStringView(std::string_view text) {
  return {text.data(), text.size()};
}

transport::HttpRequest MakeRequest(const CallOptions& options,
                                   const std::string& target) {
  transport::HttpRequest request{.method = "POST", .target = target};
  request.headers.set(ToStringView(runtime::kWorkspaceHeader),
                      options.workspace);
  request.headers.set(ToStringView(runtime::kKindHeader), options.kind);
  request.headers.set(ToStringView(runtime::kDeadlineHeader),
                      std::to_string(options.deadline.count()));
  if (!options.key.empty()) {
    request.headers.set(ToStringView(runtime::kIdempotencyKeyHeader),
                        options.key);
  }
  return request;
}

}  // namespace

std::string ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOpen:
      return "open";
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kTruncated:
      return "truncated";
    case Outcome::kBroken:
      return "broken";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kMayHaveRun:
      break;
  }
  return "may-have-run";
}

std::size_t Callers::Send(CallOptions options) {
  const std::size_t index = calls_.size();
  json body = {{"prompt", options.crashes ? "CRASH-ENGINE" : "innocent"},
               {"max_tokens", options.tokens},
               {"stream", options.stream},
               {"name_run", options.stream}};
  // All sends with one key must have the same body.
  const bool keyed = options.ticket || !options.key.empty();
  if (!keyed) body["tag"] = std::to_string(index);
  calls_.push_back({.options = std::move(options),
                    .body = body.dump(),
                    .sent = Clock::now()});
  const CallOptions& call = calls_.back().options;
  if (call.ticket && call.key.empty()) {
    FetchTicket(index);
  } else {
    Start(index);
  }
  return index;
}

std::size_t Callers::SendAgain(std::size_t first, const std::string& router) {
  Call call{.options = calls_[first].options,
            .body = calls_[first].body,
            .sent = Clock::now()};
  call.options.router = router;
  calls_.push_back(std::move(call));
  Start(calls_.size() - 1);
  return calls_.size() - 1;
}

void Callers::FetchTicket(std::size_t index) {
  Call& call = calls_[index];
  call.http = client_.Fetch(
      router_lookup_(call.options.router),
      MakeRequest(call.options, "/v1/tickets"),
      call.options.deadline + kTimeoutMargin,
      [this, index](CallEnd end, const transport::HttpResponse& response) {
        Call& call = calls_[index];
        const json body = json::parse(response.body, nullptr, false);
        if (end == CallEnd::kComplete && body.is_object() &&
            body.contains("ticket")) {
          call.options.key = body["ticket"].get<std::string>();
          call.sent = Clock::now();
          return Start(index);
        }
        call.status = response.status;
        call.response = response.body;
        if (body.is_object()) call.reason = body.value("reason", "");
        // The request itself was not sent, so the checks must not take this as
        // an answer for a key.
        call.outcome = Outcome::kBroken;
        call.ended = Clock::now();
      });
}

void Callers::Start(std::size_t index) {
  Call& call = calls_[index];
  auto request = MakeRequest(call.options, "/v1/requests");
  request.body = call.body;
  request.headers.set("Content-Type",
                      "application/json; tag=" + std::to_string(index));
  auto verdict = std::make_shared<std::string>();
  transport::CallHandlers handlers;
  handlers.on_head = [this, index, verdict](const auto& head) {
    Call& call = calls_[index];
    call.status = head.status;
    call.reason = HeaderValue(head.headers, runtime::kReasonHeader);
    *verdict = HeaderValue(head.headers, runtime::kVerdictHeader);
  };
  handlers.on_body = [this, index](const std::string& chunk,
                                   const auto& continue_reading) {
    calls_[index].response += chunk;
    continue_reading();
    return true;
  };
  handlers.on_end = [this, index, verdict](CallEnd end) {
    End(calls_[index], end, *verdict);
  };
  call.http = client_.Start(
      router_lookup_(call.options.router), std::move(request),
      call.options.deadline + kTimeoutMargin, std::move(handlers));
}

void Callers::End(Call& call, CallEnd end, const std::string& verdict) {
  call.ended = Clock::now();
  const bool error_event =
      call.response.find("event: error") != std::string::npos;
  if (end != CallEnd::kComplete) {
    call.outcome = call.options.stream && call.status == 200 && error_event
                       ? Outcome::kTruncated
                       : Outcome::kBroken;
  } else if (verdict == "not-run") {
    call.outcome = Outcome::kNotRun;
  } else if (verdict == "may-have-run") {
    call.outcome = Outcome::kMayHaveRun;
  } else {
    call.outcome =
        call.status == 200 ? Outcome::kCompleted : Outcome::kMayHaveRun;
  }
}

void Callers::RunFor(std::chrono::milliseconds period) {
  context_.restart();
  context_.run_for(period);
  // Without calls in flight, run_for() returns immediately.
  const auto remaining =
      context_.stopped() ? period : std::chrono::milliseconds(0);
  if (remaining.count() > 0) {
    boost::asio::steady_timer pause(context_, remaining);
    pause.async_wait([](const auto&) {});
    context_.restart();
    context_.run_for(remaining);
  }
}

}  // namespace shallotbeam::process_scenarios
