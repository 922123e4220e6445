#include "Transport/HttpSession.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <utility>

#include "Forwarding/Framing.h"

namespace shallotbeam::transport {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace net = boost::asio;
using boost::system::error_code;

constexpr unsigned kHttpVersion = 11;
constexpr std::size_t kReadAheadBytes = 512;
// Bytes read and not parsed yet, beside a head. The parser takes a chunk header
// and all trailers as a whole and has no limit for either.
constexpr std::size_t kMaxUnparsedBytes = 131'072;
// A request that holds at most this much is received whatever the others hold;
// the number of connections bounds the sum.
constexpr std::size_t kMinRequestBytes = 16'384;

constexpr int kUnavailable = 503;

template <typename Body>
void SetHead(http::response<Body>& response, const HttpResponse& head,
             bool keep_alive) {
  response.version(kHttpVersion);
  response.result(static_cast<unsigned>(head.status));
  response.keep_alive(keep_alive);
  for (const auto& [name, value] : head.headers) response.set(name, value);
}

std::string SerialiseResponse(const HttpResponse& source, bool keep_alive) {
  http::response<http::string_body> response;
  SetHead(response, source, keep_alive);
  response.body() = source.body;
  response.prepare_payload();
  std::ostringstream text;
  text << response;
  return text.str();
}

std::string SerialiseHead(const HttpResponse& source, bool keep_alive) {
  http::response<http::empty_body> response;
  SetHead(response, source, keep_alive);
  response.chunked(true);
  std::ostringstream text;
  text << response.base();
  return text.str();
}

}  // namespace

void RequestMemory::Set(std::size_t bytes) {
  shared_->buffered_bytes += bytes - bytes_;
  bytes_ = bytes;
}

HttpSession::HttpSession(net::ip::tcp::socket socket,
                         std::shared_ptr<HttpServer::Shared> shared)
    : stream_(std::move(socket)),
      shared_(std::move(shared)),
      buffer_(shared_->options.max_header_bytes + kMaxUnparsedBytes) {
  ++shared_->connections;
  error_code ec;
  // Disables Nagle's algorithm: small messages must not wait for
  // acknowledgements of earlier messages.
  stream_.socket().set_option(net::ip::tcp::no_delay(true), ec);
}

HttpSession::~HttpSession() { --shared_->connections; }

void HttpSession::Run() {
  net::dispatch(stream_.get_executor(),
                [self = shared_from_this()] { self->ReadHeader(); });
}

void HttpSession::Post(const std::shared_ptr<HttpExchange>& exchange,
                       std::function<void(HttpSession&)> action) {
  const auto session = exchange->session_.lock();
  if (session == nullptr) return;
  net::post(session->stream_.get_executor(),
            [session, exchange, action = std::move(action)] {
              if (session->exchange_ == exchange) action(*session);
            });
}

void HttpSession::ReadHeader() {
  if (closed_ || shared_->closing) return Close();
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(shared_->options.max_header_bytes));
  parser_->body_limit(shared_->options.max_body_bytes);
  stream_.expires_after(shared_->options.idle_timeout);
  http::async_read_header(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](error_code ec, std::size_t) {
        if (ec) return self->RejectRequest(ec);
        self->ReadBody();
      });
}

void HttpSession::ReadBody() {
  const auto& message = parser_->get();
  if (forwarding::IsAmbiguouslyFramed(message)) {
    return RejectRequest(http::error::bad_value);
  }
  const auto read = [self = shared_from_this()] {
    self->stream_.expires_after(self->shared_->options.receive_timeout);
    self->parser_->eager(true);
    self->memory_ = std::make_shared<RequestMemory>(self->shared_);
    self->head_bytes_ = forwarding::MemoryOf(self->parser_->get().base());
    if (!self->CountMemory()) return self->RefuseWith(kUnavailable);
    self->ReadBodyPart();
  };
  if (!beast::iequals(message[http::field::expect], "100-continue")) {
    return read();
  }
  auto bytes = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
  net::async_write(
      stream_, net::buffer(*bytes),
      [bytes, read, self = shared_from_this()](error_code ec, std::size_t) {
        if (ec) return self->Close();
        read();
      });
}

void HttpSession::ReadBodyPart() {
  if (parser_->is_done()) return OnRequest();
  http::async_read_some(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](error_code ec, std::size_t) {
        if (ec) return self->RejectRequest(ec);
        if (!self->CountMemory()) return self->RefuseWith(kUnavailable);
        self->ReadBodyPart();
      });
}

bool HttpSession::CountMemory() {
  const std::size_t bytes =
      head_bytes_ + parser_->get().body().capacity() + buffer_.capacity();
  memory_->Set(bytes);
  return head_bytes_ + parser_->get().body().size() <= kMinRequestBytes ||
         shared_->buffered_bytes <= shared_->options.max_buffered_bytes;
}

void HttpSession::RejectRequest(error_code ec) {
  int status = 0;
  if (ec == http::error::header_limit) status = 431;
  if (ec == http::error::body_limit) status = 413;
  const bool malformed =
      ec.category() == error_code(http::error::bad_method).category() &&
      ec != http::error::end_of_stream && ec != http::error::partial_message;
  if (status == 0 && malformed) status = 400;
  if (status == 0) return Close();
  RefuseWith(status);
}

void HttpSession::RefuseWith(int status) {
  const auto& options = shared_->options;
  parser_.reset();
  memory_.reset();
  if (!options.make_error) return Close();
  keep_alive_ = false;
  response_ended_ = true;
  stream_.expires_after(options.send_timeout);
  Queue(SerialiseResponse(options.make_error(status), /*keep_alive=*/false),
        nullptr);
}

void HttpSession::OnRequest() {
  stream_.expires_never();
  http::request<forwarding::AppendingBody> message = parser_->release();
  keep_alive_ = message.keep_alive();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = std::move(message.body());
  request.headers = std::move(message.base());
  head_sent_ = false;
  response_ended_ = false;
  source_ = 0;
  on_client_disconnected_ = nullptr;
  exchange_ = std::make_shared<HttpExchange>(std::move(request));
  exchange_->session_ = weak_from_this();
  exchange_->memory_ = std::move(memory_);
  SetPending(true);
  WatchForDisconnect();
  shared_->handler(exchange_);
}

// Reads from the socket while the response is being produced, to detect that
// the client disconnects. Bytes that arrive belong to the next request.
void HttpSession::WatchForDisconnect() {
  if (watching_ || closed_) return;
  watching_ = true;
  stream_.async_read_some(
      buffer_.prepare(kReadAheadBytes),
      [self = shared_from_this()](error_code ec, std::size_t n) {
        self->watching_ = false;
        const bool cancelled =
            ec == net::error::operation_aborted && !self->closed_;
        if (ec && !cancelled) return self->Close();
        self->buffer_.commit(n);
        if (self->exchange_ == nullptr) return self->ReadHeader();
        // Bounds the buffer: stops reading ahead once the buffered bytes reach
        // the size limit of one request header.
        if (self->buffer_.size() < self->shared_->options.max_header_bytes) {
          self->WatchForDisconnect();
        }
      });
}

void HttpSession::SetSource(std::uint32_t source) {
  if (source == source_) return;
  if (head_sent_) return Close();
  source_ = source;
}

void HttpSession::Send(const HttpResponse& response, std::uint32_t source) {
  if (source != source_ || head_sent_) return;
  head_sent_ = true;
  keep_alive_ = keep_alive_ && !shared_->closing;
  response_ended_ = true;
  Queue(SerialiseResponse(response, keep_alive_), nullptr);
}

void HttpSession::StartStream(const HttpResponse& head, std::uint32_t source) {
  if (source != source_ || head_sent_) return;
  head_sent_ = true;
  keep_alive_ = keep_alive_ && !shared_->closing;
  Queue(SerialiseHead(head, keep_alive_), nullptr);
}

void HttpSession::Write(std::string chunk, std::function<void()> flushed,
                        std::uint32_t source) {
  if (source != source_ || !head_sent_ || response_ended_) return;
  if (chunk.empty()) {
    if (flushed) flushed();
    return;
  }
  Queue(beast::buffers_to_string(http::make_chunk(net::buffer(chunk))),
        std::move(flushed));
}

void HttpSession::Finish(std::uint32_t source) {
  if (source != source_ || !head_sent_ || response_ended_) return;
  response_ended_ = true;
  Queue(beast::buffers_to_string(http::make_chunk_last()), nullptr);
}

void HttpSession::Fail(const HttpResponse& response,
                       const std::string& last_chunk) {
  if (response_ended_) return;
  if (!head_sent_) return Send(response, source_);
  response_ended_ = true;
  keep_alive_ = false;
  if (last_chunk.empty()) return Close();
  Queue(beast::buffers_to_string(http::make_chunk(net::buffer(last_chunk))),
        nullptr);
}

void HttpSession::OnClientDisconnected(std::function<void()> handler) {
  if (closed_) return handler();
  on_client_disconnected_ = std::move(handler);
}

void HttpSession::Queue(std::string bytes, std::function<void()> flushed) {
  if (closed_) {
    if (flushed) flushed();
    return;
  }
  output_.push_back({.bytes = std::move(bytes), .flushed = std::move(flushed)});
  if (!writing_) WriteNext();
}

void HttpSession::WriteNext() {
  writing_ = true;
  stream_.expires_after(shared_->options.send_timeout);
  net::async_write(stream_, net::buffer(output_.front().bytes),
                   [self = shared_from_this()](error_code ec, std::size_t) {
                     self->writing_ = false;
                     if (ec || self->closed_) return self->Close();
                     self->stream_.expires_never();
                     const auto flushed =
                         std::move(self->output_.front().flushed);
                     self->output_.pop_front();
                     if (flushed) flushed();
                     if (self->closed_ || self->writing_) return;
                     if (!self->output_.empty()) return self->WriteNext();
                     if (self->response_ended_) self->EndResponse();
                   });
}

void HttpSession::SetPending(bool pending) {
  if (pending == pending_) return;
  pending_ = pending;
  shared_->pending_responses += pending ? 1 : -1;
}

void HttpSession::EndResponse() {
  SetPending(false);
  exchange_ = nullptr;
  on_client_disconnected_ = nullptr;
  if (!keep_alive_) return Close();
  if (!watching_) return ReadHeader();
  // The read of WatchForDisconnect() has no timeout: cancel it so that
  // ReadHeader(), which has one, replaces it. Bytes that were already received
  // are still delivered to its handler.
  stream_.cancel();
}

void HttpSession::Close() {
  if (closed_) return;
  closed_ = true;
  SetPending(false);
  memory_.reset();
  stream_.close();
  const auto on_disconnected = std::exchange(on_client_disconnected_, nullptr);
  const bool response_pending = exchange_ != nullptr && !response_ended_;
  exchange_ = nullptr;
  std::deque<Output> dropped;
  // While a write is in flight, its buffer is the front output and must stay.
  if (!writing_) dropped.swap(output_);
  for (Output& it : dropped) {
    if (it.flushed) it.flushed();
  }
  if (on_disconnected && response_pending) on_disconnected();
}

}  // namespace shallotbeam::transport
