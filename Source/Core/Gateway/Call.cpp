#include "Gateway/Call.h"

#include <utility>

#include "Forwarding/Framing.h"
#include "Gateway/Gateway.h"

namespace shallotbeam::gateway {

namespace {

namespace http = boost::beast::http;
using forwarding::ExchangeEnd;

// Responses longer than this are streamed to the caller as they arrive instead
// of being buffered until they are complete.
constexpr std::size_t kMaxBufferedBody = 262'144;
// Reading from the upstream pauses while more than this many bytes wait to be
// sent to the caller, and resumes once all of them were sent.
constexpr std::size_t kMaxBacklog = 131'072;
// Both limits while memory is tight.
constexpr std::size_t kTightBuffer = 16'384;
// Limit for one event of a stream.
constexpr std::size_t kMaxEventBytes = 1'048'576;
// Limit for the body of a refusal, which is not relayed.
constexpr std::size_t kMaxRefusalBytes = 16'384;

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
      request(std::move(request)),
      memory_(gateway.Memory()),
      sent_memory_(gateway.Memory()) {}

void Call::StartAttempt(
    const common::UpstreamName& name, const common::Endpoint& endpoint,
    std::shared_ptr<forwarding::UpstreamConnection> connection,
    common::TimePoint now) {
  upstream = name;
  attempt_started = now;
  tried_upstreams.insert(name);
  ++attempts;
  connection_ = std::move(connection);
  response_ = {};
  outcome_by_head_ = AttemptEnd::kAnswered;
  refusal_bytes_ = 0;
  buffer_.clear();
  scanner_.DropPartial();
  forwarding::UpstreamRequest out{.request_id = metadata.request_id,
                                  .head_only = request.method == "HEAD"};
  out.body = request.body;
  BuildRequest(now, &out.bytes);
  sent_memory_.Set(out.bytes.capacity());
  connection_->Exchange(endpoint, std::move(out), this);
}

void Call::BuildRequest(common::TimePoint now, std::string* bytes) const {
  // A string that grows by itself may take twice its size.
  std::size_t size = 1'024 + request.target.size();
  for (const auto& it : request.fields) {
    size += it.name_string().size() + it.value().size() + 4;
  }
  bytes->reserve(size);
  bytes->append(request.method).append(" ").append(request.target);
  bytes->append(" HTTP/1.1\r\n");
  const forwarding::HeaderCodec& codec = gateway.Codec();
  const std::string& resume_after = scanner_.LastId();
  for (const auto& it : request.fields) {
    const std::string_view name(it.name_string().data(),
                                it.name_string().size());
    if (it.name() == http::field::content_length) continue;
    if (it.name() == http::field::expect) continue;
    if (it.name() == http::field::authorization) continue;
    if (!codec.is_forwarded(name)) continue;
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
      resume_after.empty() ? std::string_view(metadata.last_event_id)
                           : std::string_view(resume_after);
  codec.append_upstream_headers(
      {.time_left = deadline - now,
       .upstream_id = upstream.value,
       .workspace =
           workspace == nullptr ? std::string_view() : workspace->name.value,
       .last_event_id = last_event,
       .cache_source = cache_source},
      bytes);
  bytes->append("\r\n");
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
  gateway.OnStatements(*this, response_.metadata);
  const bool success = IsSuccess(response_.status);
  const bool encoded =
      response_.fields.count(http::field::content_encoding) != 0;
  if (response_.metadata.not_run) {
    outcome_by_head_ = AttemptEnd::kRefused;
    refused_at = gateway.Now();
  } else if (encoded || (success && !response_.metadata.has_digest) ||
             (response_started_ && !ContinuesResponse())) {
    outcome_by_head_ = AttemptEnd::kInvalid;
  }
  if (outcome_by_head_ == AttemptEnd::kInvalid) {
    EndAttempt(AttemptEnd::kInvalid);
  }
}

// A resumed stream has already sent its status and type to the caller, so that
// an error of the next upstream, or a response of another kind, can't follow.
bool Call::ContinuesResponse() const {
  return response_.status == started_status_ &&
         response_.fields[http::field::content_type] == started_type_;
}

void Call::EndAttempt(AttemptEnd end) {
  const auto connection = std::exchange(connection_, nullptr);
  connection->Close();
  gateway.OnAttemptEnd(*this, end, response_);
}

void Call::OnUpstreamBody(std::string_view bytes) {
  if (outcome_by_head_ == AttemptEnd::kRefused) {
    refusal_bytes_ += bytes.size();
    if (refusal_bytes_ > kMaxRefusalBytes) EndRefusedAttempt();
    return;
  }
  if (outcome_by_head_ != AttemptEnd::kAnswered) return;
  if (route->streamed && IsSuccess(response_.status)) {
    if (scanner_.Partial().size() + bytes.size() > kMaxEventBytes) {
      return EndAttempt(AttemptEnd::kBroken);
    }
    const std::string_view complete_events = scanner_.Add(bytes);
    memory_.Set(scanner_.Partial().size());
    if (!complete_events.empty()) Deliver(complete_events);
    return;
  }
  if (response_started_) return Deliver(bytes);
  buffer_.append(bytes);
  memory_.Set(buffer_.capacity());
  if (buffer_.size() <= MaxBufferedBody()) return;
  Deliver(std::exchange(buffer_, {}));
  memory_.Set(0);
}

std::size_t Call::MaxBufferedBody() const {
  return overload::IsTight(*gateway.Memory()) ? kTightBuffer : kMaxBufferedBody;
}

std::size_t Call::MaxBacklog() const {
  return overload::IsTight(*gateway.Memory()) ? kTightBuffer : kMaxBacklog;
}

void Call::OnUpstreamEnd(ExchangeEnd end) {
  const auto connection = std::exchange(connection_, nullptr);
  gateway.ReleaseConnection(upstream, connection);
  AttemptEnd result = AttemptEnd::kBroken;
  if (outcome_by_head_ != AttemptEnd::kAnswered) {
    result = outcome_by_head_;
  } else if (end == ExchangeEnd::kNotConnected) {
    result = AttemptEnd::kNotConnected;
  } else if (end == ExchangeEnd::kComplete && !EndsInsideEvent()) {
    result = !response_started_ && IsServerError(response_.status)
                 ? AttemptEnd::kFailed
                 : AttemptEnd::kAnswered;
    if (!scanner_.Partial().empty()) Deliver(std::string(scanner_.Partial()));
  }
  gateway.OnAttemptEnd(*this, result, response_);
}

// Without a stated length, the end of a stream can't be told from a broken
// connection, except by an incomplete event.
bool Call::EndsInsideEvent() const {
  return response_.ends_with_connection && !scanner_.Partial().empty();
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

void Call::StartResponse() {
  if (response_started_) return;
  response_started_ = true;
  started_status_ = response_.status;
  started_type_ = std::string(response_.fields[http::field::content_type]);
  caller->BeginStream(response_.status, ResponseHeaders());
}

void Call::Deliver(std::string_view bytes) {
  StartResponse();
  gateway.OnProgress(*this);
  caller->Write(bytes);
  if (caller->Backlog() > MaxBacklog() && connection_ != nullptr) {
    connection_->Pause();
  }
}

void Call::DeliverBuffered() {
  if (response_started_) return caller->Finish();
  caller->Send(response_.status, ResponseHeaders(), buffer_);
}

}  // namespace shallotbeam::gateway
