#include "Forwarding/CallerConnection.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <iterator>
#include <utility>

#include "Forwarding/Framing.h"

namespace shallotbeam::forwarding {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace net = boost::asio;
using boost::system::error_code;

// Time for the caller to receive the last response before the connection is
// closed.
constexpr common::Duration kLingerTime = std::chrono::seconds(1);
// A response is abandoned if the caller reads nothing of it for this long.
constexpr common::Duration kWriteTimeout = std::chrono::seconds(20);

// A caller that sends the body of a request more slowly than this is rejected
// after the idle timeout.
constexpr std::size_t kMinBodyBytesPerSecond = 1'024;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
int StatusOf(error_code ec) {
  if (ec == http::error::header_limit) return kHeadersTooLarge;
  if (ec == http::error::body_limit) return kPayloadTooLarge;
  return kBadRequest;
}

}  // namespace

CallerConnection::CallerConnection(net::ip::tcp::socket socket, Options options)
    : socket_(std::move(socket)),
      options_(std::move(options)),
      opened_(options_.clock.Now()),
      state_since_(opened_),
      last_progress_(state_since_),
      buffer_memory_(options_.memory),
      request_memory_(options_.memory) {}

void CallerConnection::Start() {
  error_code ec;
  socket_.non_blocking(true, ec);
  // Disables Nagle's algorithm, so that events do not wait for acknowledgements
  // of earlier ones.
  socket_.set_option(net::ip::tcp::no_delay(true), ec);
  Read();
}

bool CallerConnection::IsConnected() {
  if (state_ == State::kClosed) return false;
  char byte = 0;
  error_code ec;
  socket_.receive(net::buffer(&byte, 1), net::socket_base::message_peek, ec);
  return !ec || ec == net::error::would_block;
}

bool CallerConnection::HasUnansweredBytes() {
  switch (state_) {
    case State::kReading:
    case State::kServing:
      return true;
    case State::kIdle: {
      error_code ec;
      return !input_.empty() || socket_.available(ec) != 0;
    }
    case State::kLingering:
      return !output_.empty();
    case State::kClosed:
      return false;
  }
  return false;
}

void CallerConnection::Read() {
  if (reading_ || state_ == State::kClosed) return;
  if (input_.size() > MaxReadAhead() && state_ == State::kServing) return;
  reading_ = true;
  socket_.async_read_some(
      net::buffer(read_buffer_),
      [self = shared_from_this()](error_code ec, std::size_t n) {
        self->reading_ = false;
        if (self->state_ == State::kClosed) return;
        if (ec) return self->Close();
        self->OnBytes(n);
        self->Read();
      });
}

void CallerConnection::OnBytes(std::size_t n) {
  last_progress_ = options_.clock.Now();
  if (state_ == State::kLingering) return;
  input_.append(read_buffer_.data(), n);
  if (state_ != State::kServing) ParseInput();
  CountBuffers();
  if (PartialBytes() > 0 && !MayHold(0)) RefuseForMemory();
}

void CallerConnection::ParseInput() {
  while (!input_.empty() &&
         (state_ == State::kIdle || state_ == State::kReading)) {
    if (state_ == State::kIdle) {
      state_ = State::kReading;
      state_since_ = options_.clock.Now();
      continue_sent_ = false;
      head_bytes_ = 0;
      message_bytes_ = {};
      parser_.emplace();
      parser_->header_limit(
          static_cast<std::uint32_t>(options_.limits.header_bytes));
      parser_->body_limit(options_.limits.body_bytes);
    }
    if (parser_->is_header_done() && !ReserveBody()) return RefuseForMemory();
    error_code ec;
    // The head is parsed alone first, because its framing headers determine the
    // body.
    parser_->eager(parser_->is_header_done());
    const std::size_t used =
        parser_->put(net::buffer(input_.data(), input_.size()), ec);
    input_.erase(0, used);
    message_bytes_.consumed += used;
    message_bytes_.body = parser_->get().body().size();
    if (ec && ec != http::error::need_more) return Reject(StatusOf(ec));
    const std::size_t limit = options_.limits.header_bytes;
    if (HasExcessiveFraming(message_bytes_, limit)) return Reject(kBadRequest);
    if (ec == http::error::need_more) {
      if (used != 0) continue;
      // The parser takes a chunk header and all trailers as a whole and has no
      // limit for either.
      if (input_.size() > limit) Reject(kBadRequest);
      return;
    }
    if (!parser_->is_header_done()) continue;
    if (IsAmbiguouslyFramed(parser_->get().base())) return Reject(kBadRequest);
    if (!CountHead()) return RefuseForMemory();
    if (parser_->is_done()) return OnParsed();
    const bool waits =
        beast::iequals(parser_->get()[http::field::expect], "100-continue");
    if (waits && !continue_sent_) {
      continue_sent_ = true;
      WriteOrBuffer("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
}

void CallerConnection::OnParsed() {
  auto& message = parser_->get();
  version_ = message.version();
  keep_alive_ = message.keep_alive();
  head_sent_ = false;
  const std::size_t hosts = message.count(http::field::host);
  const auto target = message.target();
  if (hosts != 1 || target.empty() || target.front() != '/') {
    return Reject(kBadRequest);
  }
  state_ = State::kServing;
  state_since_ = options_.clock.Now();
  CallerRequest request{.method = std::string(message.method_string()),
                        .target = std::string(target),
                        .host = std::string(message[http::field::host]),
                        .body = std::move(message.body()),
                        .arrived = state_since_,
                        .memory = std::move(request_memory_)};
  request_memory_ = overload::MemoryCharge(options_.memory);
  request.fields = std::move(message.base());
  parser_.reset();
  options_.handler.OnRequest(shared_from_this(), std::move(request));
}

void CallerConnection::Reject(int status) {
  options_.handler.OnMalformed(status);
  Refuse(status, "");
}

void CallerConnection::Refuse(int status, std::string_view headers) {
  keep_alive_ = false;
  FreeBuffers();
  state_ = State::kServing;
  head_sent_ = false;
  Send(status, headers, "");
}

bool CallerConnection::ClosesAfterResponse() const {
  return !keep_alive_ || close_when_idle_;
}

void CallerConnection::AppendFraming(std::string* head) {
  if (options_.clock.Now() - opened_ > options_.max_age) keep_alive_ = false;
  if (ClosesAfterResponse()) {
    AppendHeader("Connection", "close", head);
  } else if (version_ < 11) {
    AppendHeader("Connection", "keep-alive", head);
  }
}

void CallerConnection::Send(int status, std::string_view headers,
                            std::string_view body) {
  if (state_ != State::kServing || head_sent_) return;
  head_sent_ = true;
  std::string bytes;
  bytes.reserve(headers.size() + body.size() + 128);
  fmt::format_to(std::back_inserter(bytes), "HTTP/1.1 {} {}\r\n", status,
                 ReasonPhrase(status));
  bytes.append(headers);
  fmt::format_to(std::back_inserter(bytes), "Content-Length: {}\r\n",
                 body.size());
  AppendFraming(&bytes);
  bytes.append("\r\n").append(body);
  WriteOrBuffer(bytes);
  EndResponse();
}

void CallerConnection::BeginStream(int status, std::string_view headers) {
  if (state_ != State::kServing || head_sent_) return;
  head_sent_ = true;
  ends_with_connection_ = version_ < 11;
  if (ends_with_connection_) keep_alive_ = false;
  std::string bytes;
  fmt::format_to(std::back_inserter(bytes), "HTTP/1.1 {} {}\r\n", status,
                 ReasonPhrase(status));
  bytes.append(headers);
  if (!ends_with_connection_) {
    AppendHeader("Transfer-Encoding", "chunked", &bytes);
  }
  AppendFraming(&bytes);
  bytes.append("\r\n");
  // Sent together with the first piece of the body.
  output_.append(bytes);
}

void CallerConnection::Write(std::string_view bytes) {
  if (state_ != State::kServing || !head_sent_ || bytes.empty()) return;
  if (ends_with_connection_) return WriteOrBuffer(bytes);
  std::string chunk;
  chunk.reserve(bytes.size() + 16);
  AppendChunk(bytes, &chunk);
  WriteOrBuffer(chunk);
}

void CallerConnection::Finish() {
  if (state_ != State::kServing || !head_sent_) return;
  WriteOrBuffer(ends_with_connection_ ? std::string_view() : kLastChunk);
  EndResponse();
}

void CallerConnection::Abort() {
  if (state_ != State::kServing) return;
  if (head_sent_) Flush();
  Close();
}

void CallerConnection::WriteOrBuffer(std::string_view bytes) {
  if (state_ == State::kClosed) return;
  if (awaiting_writable_) {
    output_.append(bytes);
    return CountBuffers();
  }
  if (!output_.empty()) {
    output_.append(bytes);
    return Flush();
  }
  error_code ec;
  const std::size_t n =
      bytes.empty()
          ? 0
          : socket_.write_some(net::buffer(bytes.data(), bytes.size()), ec);
  if (ec && ec != net::error::would_block) return Close();
  if (n == bytes.size()) return;
  output_.assign(bytes.substr(n));
  CountBuffers();
  AwaitWritable();
}

void CallerConnection::Flush() {
  if (awaiting_writable_ || output_.empty()) return;
  error_code ec;
  const std::size_t n = socket_.write_some(net::buffer(output_), ec);
  if (ec && ec != net::error::would_block) return Close();
  output_.erase(0, n);
  CountBuffers();
  if (!output_.empty()) AwaitWritable();
}

void CallerConnection::AwaitWritable() {
  awaiting_writable_ = true;
  last_progress_ = options_.clock.Now();
  socket_.async_wait(net::socket_base::wait_write,
                     [self = shared_from_this()](error_code ec) {
                       self->awaiting_writable_ = false;
                       if (self->state_ == State::kClosed) return;
                       if (ec) return self->Close();
                       self->last_progress_ = self->options_.clock.Now();
                       self->Flush();
                       if (!self->output_.empty()) return;
                       if (self->state_ == State::kLingering) {
                         return self->Linger();
                       }
                       if (self->callbacks_.on_writable) {
                         self->callbacks_.on_writable();
                       }
                     });
}

void CallerConnection::EndResponse() {
  if (state_ != State::kServing) return;
  callbacks_ = {};
  state_since_ = options_.clock.Now();
  if (ClosesAfterResponse()) {
    state_ = State::kLingering;
    if (!awaiting_writable_) Linger();
    return;
  }
  state_ = State::kIdle;
  // Pipelined requests are handled once this call has returned.
  if (input_.empty()) return Read();
  net::post(socket_.get_executor(), [self = shared_from_this()] {
    self->last_progress_ = self->options_.clock.Now();
    if (self->state_ == State::kIdle) self->ParseInput();
    self->CountBuffers();
    self->Read();
  });
}

// Shuts down the sending side and keeps reading. Closing a socket with unread
// bytes would reset the connection, and the caller could lose the response in
// transit.
void CallerConnection::Linger() {
  error_code ec;
  socket_.shutdown(net::ip::tcp::socket::shutdown_send, ec);
  if (ec) return Close();
  Read();
}

void CallerConnection::Close() {
  if (state_ == State::kClosed) return;
  const bool unanswered = state_ == State::kServing;
  error_code ec;
  // The caller would take the end of the stream for the end of the body.
  if (ends_with_connection_ && (unanswered || !output_.empty())) {
    socket_.set_option(net::socket_base::linger(true, 0), ec);
  }
  state_ = State::kClosed;
  socket_.close(ec);
  FreeOutput();
  FreeBuffers();
  const CallerCallbacks callbacks = std::exchange(callbacks_, {});
  if (unanswered && callbacks.on_disconnected) callbacks.on_disconnected();
}

void CallerConnection::CloseWhenIdle() {
  close_when_idle_ = true;
  CloseIfUnused();
}

void CallerConnection::CloseIfIdleFor(common::TimePoint now,
                                      common::Duration time) {
  if (state_ == State::kIdle && now - state_since_ >= time) CloseIfUnused();
}

void CallerConnection::CloseIfUnused() {
  // Posted, so that bytes that a pending read has already received are handled
  // first.
  net::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->state_ != State::kIdle) return;
    error_code ec;
    if (self->socket_.available(ec) == 0) self->Close();
  });
}

// Bytes of framing do not extend the time for a body.
bool CallerConnection::IsRequestLate(common::TimePoint now) const {
  const catalogue::CallerLimits& limits = options_.limits;
  const common::Duration time = now - state_since_;
  if (!parser_ || !parser_->is_header_done()) {
    return time > limits.header_timeout;
  }
  if (now - last_progress_ > limits.idle_timeout) return true;
  const std::chrono::duration<double> body_time(
      static_cast<double>(message_bytes_.body) / kMinBodyBytesPerSecond);
  return time - limits.idle_timeout > body_time;
}

void CallerConnection::CheckTimeouts(common::TimePoint now) {
  const catalogue::CallerLimits& limits = options_.limits;
  const common::Duration in_state = now - state_since_;
  switch (state_) {
    case State::kIdle:
      if (in_state > limits.idle_timeout) CloseIfUnused();
      return;
    case State::kReading:
      if (IsRequestLate(now)) Reject(kRequestTimeout);
      return;
    case State::kServing:
      if (awaiting_writable_ && now - last_progress_ > kWriteTimeout) Close();
      return;
    case State::kLingering:
      if (in_state > kLingerTime && !awaiting_writable_) Close();
      if (in_state > kWriteTimeout) Close();
      return;
    case State::kClosed:
      return;
  }
}

}  // namespace shallotbeam::forwarding
