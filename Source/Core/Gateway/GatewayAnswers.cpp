#include <fmt/format.h>

#include <utility>

#include "Common/Logging.h"
#include "Forwarding/Framing.h"
#include "Gateway/Gateway.h"
#include "Gateway/GatewayResponses.h"

// The part of Gateway that ends calls: with a response of its own, with that of
// an upstream, or because the caller has left.
namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;
using std::chrono::milliseconds;

}  // namespace

void Gateway::Respond(Call& call, int status, std::string_view reason,
                      std::optional<common::Duration> retry_after) {
  const bool claims_not_run =
      status == kUnavailable || status == kTooManyRequests;
  if (claims_not_run && call.verdict != common::Verdict::kNotRun) {
    status = kBadGateway;
    retry_after = std::nullopt;
  }
  const common::Duration delay = retry_after.value_or(milliseconds(-1));
  metrics_.CountErrorResponse(status, reason);
  const auto age = StoreAge();
  Log(Subsystem::kRouting, LogLevel::kInfo,
      "event=answer id={} status={} reason={} route={} workspace={} "
      "attempts={} upstream={} elapsed_ms={} wait_ms={} retry_ms={} "
      "config_version={} store_age_ms={} passing_share={:.2f} tokens={} "
      "output={} within_share={} long_prompt={} elsewhere_ms={}",
      call.metadata.request_id, status, reason,
      call.route == nullptr ? "" : call.route->name,
      call.workspace == nullptr ? "" : call.workspace->name.value,
      call.attempts, call.upstream.value,
      (environment_.clock.Now() - call.request.arrived) / milliseconds(1),
      call.declined_wait / milliseconds(1), delay / milliseconds(1),
      VersionOf(call.table.get()),
      age.value_or(milliseconds(-1)) / milliseconds(1), load_shedder_.share,
      call.metadata.prompt ? call.metadata.prompt->prompt_tokens : 0,
      call.metadata.prompt ? call.metadata.prompt->expected_output_tokens : 0,
      call.within_share,
      call.route != nullptr && call.metadata.prompt &&
          HasLongPrompt(call).value_or(false),
      call.wait_elsewhere.value_or(milliseconds(-1)) / milliseconds(1));
  if (call.HasResponseStarted()) {
    call.caller->Abort();
    return RemoveCall(call);
  }
  std::string headers;
  if (!call.metadata.request_id.empty()) {
    forwarding::AppendHeader(environment_.header_codec.request_id_header,
                             call.metadata.request_id, &headers);
  }
  if (retry_after) {
    const double seconds = std::chrono::duration<double>(delay).count();
    forwarding::AppendHeader("Retry-After", fmt::format("{:.3f}", seconds),
                             &headers);
  }
  call.caller->Send(status, headers, "");
  RemoveCall(call);
}

void Gateway::OnCallerDisconnected(Call& call) {
  metrics_.CountCallerDisconnected();
  const common::TimePoint now = environment_.clock.Now();
  Log(Subsystem::kRouting, LogLevel::kInfo,
      "event=caller_left id={} route={} phase={} elapsed_ms={} upstream={} "
      "attempt_ms={} begun={} tokens={} output={} workspace={} "
      "within_share={}",
      call.metadata.request_id, call.route == nullptr ? "" : call.route->name,
      call.search ? "waiting" : "sent",
      (now - call.request.arrived) / milliseconds(1), call.upstream.value,
      call.IsAttemptActive() ? (now - call.attempt_started) / milliseconds(1)
                             : -1,
      call.HasResponseStarted(),
      call.metadata.prompt ? call.metadata.prompt->prompt_tokens : 0,
      call.metadata.prompt ? call.metadata.prompt->expected_output_tokens : 0,
      call.workspace == nullptr ? "" : call.workspace->name.value,
      call.within_share);
  RemoveCall(call);
}

void Gateway::LogServed(const Call& call, int status) {
  const auto since_arrival = [&call](common::TimePoint time) {
    return (time - call.request.arrived) / milliseconds(1);
  };
  const common::TimePoint now = environment_.clock.Now();
  const bool streamed = call.first_event != common::TimePoint();
  const common::TimePoint first = streamed ? call.first_event : now;
  metrics_.CountServed(call.route->name, first - call.request.arrived,
                       now - call.request.arrived);
  Log(Subsystem::kRouting, LogLevel::kInfo,
      "event=served id={} status={} route={} workspace={} upstream={} "
      "attempts={} sent_ms={} first_ms={} done_ms={} pause_ms={} home={} "
      "tokens={} shared={} subject={:x} cached={} source={} output={} "
      "target_ms={} within_share={}",
      call.metadata.request_id, status, call.route->name,
      call.workspace == nullptr ? "" : call.workspace->name.value,
      call.upstream.value, call.attempts, since_arrival(call.attempt_started),
      since_arrival(first), since_arrival(now),
      call.longest_event_gap / milliseconds(1),
      call.preferred_engine == call.upstream,
      call.metadata.prompt ? call.metadata.prompt->prompt_tokens : 0,
      call.metadata.prompt ? common::SharedTokens(*call.metadata.prompt) : 0,
      call.metadata.prompt ? common::SharedPrefixKey(*call.metadata.prompt) : 0,
      call.cached_tokens, call.cache_source,
      call.metadata.prompt ? call.metadata.prompt->expected_output_tokens : 0,
      call.route->latency_target / milliseconds(1), call.within_share);
}

}  // namespace shallotbeam::gateway
