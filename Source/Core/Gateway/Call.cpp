#include "Gateway/Call.h"

#include <utility>

#include "Forwarding/Framing.h"
#include "Gateway/Gateway.h"

namespace shallotbeam::gateway {

namespace {

namespace http = boost::beast::http;
using forwarding::ExchangeEnd;

// A longer response is relayed as it arrives instead of being kept until it is
// whole.
constexpr std::size_t kMaxBuffered = 262'144;
// The upstream is read again once the caller has taken its backlog.
constexpr std::size_t kMaxBacklog = 131'072;

bool IsSuccess(int status) { return status >= 200 && status < 300; }
bool IsServerError(int status) { return status >= 500; }

}  // namespace

std::string_view ToString(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kNotConnected:
      return "not_connected";
    case AttemptEnd::kRefused:
      return "refused";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kInvalid:
      return "invalid";
    case AttemptEnd::kBroken:
      return "broken";
  }
  return "";
}

Call::Call(Gateway& gateway,
           std::shared_ptr<forwarding::CallerConnection> caller,
           forwarding::CallerRequest request)
    : gateway(gateway),
      caller(std::move(caller)),
      request(std::move(request)) {}

void Call::StartAttempt(
    const common::UpstreamName& name, const common::Endpoint& endpoint,
    std::shared_ptr<forwarding::UpstreamConnection> connection,
    common::TimePoint now) {
  upstream = name;
  attempt_started = now;
  tried.insert(name);
  ++attempts;
  connection_ = std::move(connection);
  have_head_ = false;
  rejected_ = AttemptEnd::kAnswered;
  body_.clear();
  events_.DropRest();
  forwarding::UpstreamRequest out{.request_id = facts.request_id,
                                  .head_only = request.method == "HEAD"};
  BuildRequest(now, &out.bytes);
  connection_->Exchange(endpoint, std::move(out), this);
}

void Call::BuildRequest(common::TimePoint now, std::string* bytes) const {
  bytes->reserve(request.body.size() + 1'024);
  bytes->append(request.method).append(" ").append(request.target);
  bytes->append(" HTTP/1.1\r\n");
  const forwarding::Dialect& dialect = gateway.TheDialect();
  const std::string& resume_after = events_.LastId();
  for (const auto& it : request.fields) {
    const std::string_view name(it.name_string().data(),
                                it.name_string().size());
    if (it.name() == http::field::content_length) continue;
    if (it.name() == http::field::expect) continue;
    if (it.name() == http::field::authorization) continue;
    if (!dialect.is_forwarded(name)) continue;
    if (forwarding::IsHopByHop(request.fields, name)) continue;
    forwarding::AppendHeader(name, {it.value().data(), it.value().size()},
                             bytes);
  }
  const bool has_body =
      !request.body.empty() ||
      request.fields.count(http::field::content_length) != 0 ||
      request.fields.count(http::field::transfer_encoding) != 0;
  if (has_body) {
    forwarding::AppendHeader("Content-Length",
                             std::to_string(request.body.size()), bytes);
  }
  const std::string_view last_event =
      resume_after.empty() ? std::string_view(facts.last_event_id)
                           : std::string_view(resume_after);
  dialect.append_stamp(
      {.time_left = deadline - now,
       .upstream_id = upstream.value,
       .workspace =
           workspace == nullptr ? std::string_view() : workspace->name.value,
       .last_event_id = last_event,
       .cache_source = cache_source},
      bytes);
  bytes->append("\r\n").append(request.body);
}

void Call::ResumeReading() {
  if (connection_ != nullptr) connection_->Resume();
}

void Call::StopAttempt() {
  if (connection_ == nullptr) return;
  connection_->Close();
  connection_ = nullptr;
}

void Call::OnUpstreamHead(forwarding::UpstreamResponse response) {
  response_ = std::move(response);
  have_head_ = true;
  const bool success = IsSuccess(response_.status);
  const bool encoded =
      response_.fields.count(http::field::content_encoding) != 0;
  if (response_.facts.not_run) {
    rejected_ = AttemptEnd::kRefused;
  } else if (encoded || (success && !response_.facts.sealed) ||
             (begun_ && !success)) {
    // A stream that goes on at this upstream can't turn into a failure.
    rejected_ = AttemptEnd::kInvalid;
  }
  if (rejected_ == AttemptEnd::kInvalid) {
    const auto connection = std::exchange(connection_, nullptr);
    connection->Close();
    gateway.OnAttemptEnd(*this, AttemptEnd::kInvalid, response_);
  }
}

void Call::OnUpstreamBody(std::string_view bytes) {
  if (rejected_ != AttemptEnd::kAnswered) return;
  if (route->streamed && IsSuccess(response_.status)) {
    const std::string_view whole = events_.Add(bytes);
    if (!whole.empty()) Deliver(whole);
    return;
  }
  if (begun_) return Deliver(bytes);
  body_.append(bytes);
  if (body_.size() > kMaxBuffered) Deliver(std::exchange(body_, {}));
}

void Call::OnUpstreamEnd(ExchangeEnd end) {
  const auto connection = std::exchange(connection_, nullptr);
  gateway.OnConnectionFree(upstream, connection);
  AttemptEnd result = AttemptEnd::kBroken;
  if (rejected_ != AttemptEnd::kAnswered) {
    result = rejected_;
  } else if (end == ExchangeEnd::kNotConnected) {
    result = AttemptEnd::kNotConnected;
  } else if (end == ExchangeEnd::kComplete) {
    result = !begun_ && IsServerError(response_.status) ? AttemptEnd::kFailed
                                                        : AttemptEnd::kAnswered;
    if (!events_.Rest().empty()) Deliver(std::string(events_.Rest()));
  }
  gateway.OnAttemptEnd(*this, result, response_);
}

std::string Call::ResponseHeaders() const {
  std::string headers;
  for (const auto& it : response_.fields) {
    const std::string_view name(it.name_string().data(),
                                it.name_string().size());
    if (it.name() == http::field::content_length) continue;
    if (forwarding::IsHopByHop(response_.fields, name)) continue;
    forwarding::AppendHeader(name, {it.value().data(), it.value().size()},
                             &headers);
  }
  return headers;
}

void Call::Begin() {
  if (begun_) return;
  begun_ = true;
  caller->BeginStream(response_.status, ResponseHeaders());
}

void Call::Deliver(std::string_view bytes) {
  Begin();
  gateway.OnProgress(*this);
  caller->Write(bytes);
  if (caller->Backlog() > kMaxBacklog && connection_ != nullptr) {
    connection_->Pause();
  }
}

void Call::DeliverBuffered() {
  if (begun_) return caller->Finish();
  caller->Send(response_.status, ResponseHeaders(), body_);
}

}  // namespace shallotbeam::gateway
