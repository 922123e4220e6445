#include "Forwarding/UpstreamConnection.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <limits>
#include <utility>

#include "Forwarding/Framing.h"
#include "Forwarding/Sockets.h"

namespace shallotbeam::forwarding {

namespace {

namespace http = boost::beast::http;
namespace net = boost::asio;
using boost::system::error_code;

// A connection whose peer acknowledges nothing for this long is closed, so that
// a silent network partition is detected.
constexpr std::chrono::milliseconds kUnacknowledgedLimit{2'000};
// Idle connections are reused for this fraction of the upstream's idle timeout,
// because a request that is sent while the upstream closes the connection may
// or may not run.
constexpr double kIdleTimeoutFraction = 0.6;
// Used if the upstream does not state its idle timeout.
constexpr common::Duration kDefaultIdleLimit = std::chrono::seconds(4);
constexpr std::size_t kMaxHeaderBytes = 65'536;
// Limit for interim responses and for responses to earlier requests that arrive
// while a request awaits its response.
constexpr std::size_t kMaxSkippedBytes = 1'048'576;

void SetOptions(net::ip::tcp::socket& socket) {
  error_code ec;
  socket.non_blocking(true, ec);
  socket.set_option(net::ip::tcp::no_delay(true), ec);
  using UserTimeout =
      net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket.set_option(UserTimeout(static_cast<int>(kUnacknowledgedLimit.count())),
                    ec);
}

}  // namespace

UpstreamConnection::UpstreamConnection(const net::any_io_executor& executor,
                                       const common::Clock& clock,
                                       const HeaderCodec& header_codec)
    : socket_(executor),
      clock_(clock),
      header_codec_(header_codec),
      idle_limit_(kDefaultIdleLimit) {}

void UpstreamConnection::Exchange(const common::Endpoint& endpoint,
                                  UpstreamRequest request,
                                  UpstreamListener* listener) {
  request_ = std::move(request);
  sent_ = 0;
  listener_ = listener;
  skipping_ = false;
  skipped_bytes_ = 0;
  message_bytes_ = {};
  parser_.reset();
  if (connected_) return SendRequest();
  Connect(endpoint);
}

void UpstreamConnection::Connect(const common::Endpoint& endpoint) {
  error_code ec;
  const auto address = net::ip::make_address(endpoint.address, ec);
  const net::ip::tcp::endpoint remote(address, endpoint.port);
  if (!ec) socket_.open(remote.protocol(), ec);
  if (ec) {
    // Posted, because the listener must not be called before Exchange() has
    // returned.
    net::post(socket_.get_executor(), [self = shared_from_this()] {
      self->End(ExchangeEnd::kNotConnected);
    });
    return;
  }
  SetOptions(socket_);
  socket_.async_connect(remote, [self = shared_from_this()](error_code ec) {
    if (self->closed_) return;
    if (ec) return self->End(ExchangeEnd::kNotConnected);
    self->connected_ = true;
    self->SendRequest();
  });
}

void UpstreamConnection::SendRequest() {
  error_code ec;
  const std::size_t head_sent = std::min(sent_, request_.bytes.size());
  const std::array<net::const_buffer, 2> rest = {
      net::buffer(request_.bytes) + head_sent,
      net::buffer(request_.body.data(), request_.body.size()) +
          (sent_ - head_sent)};
  const std::size_t n = socket_.write_some(rest, ec);
  if (ec && ec != net::error::would_block) {
    // Part of the request may have arrived before the reset.
    net::post(socket_.get_executor(),
              [self = shared_from_this()] { self->End(ExchangeEnd::kBroken); });
    return;
  }
  sent_ += n;
  const bool sent = sent_ == request_.Size();
  if (eof_ && sent) return EndAtEof();
  Read();
  if (sent) return;
  socket_.async_wait(net::socket_base::wait_write,
                     [self = shared_from_this()](error_code ec) {
                       if (self->closed_ || self->listener_ == nullptr) return;
                       if (ec) return self->End(ExchangeEnd::kBroken);
                       self->SendRequest();
                     });
}

void UpstreamConnection::Read() {
  if (reading_ || closed_ || paused_ || eof_) return;
  reading_ = true;
  socket_.async_read_some(
      net::buffer(read_buffer_),
      [self = shared_from_this()](error_code ec, std::size_t n) {
        self->reading_ = false;
        if (self->closed_) return;
        if (ec == net::error::eof) return self->OnEof();
        if (ec) return self->End(ExchangeEnd::kBroken);
        self->OnBytes(n);
        self->Read();
      });
}

void UpstreamConnection::Resume() {
  if (!paused_) return;
  paused_ = false;
  Read();
}

void UpstreamConnection::OnBytes(std::size_t n) {
  // Without a request in progress, the bytes are unsolicited.
  if (listener_ == nullptr) return Close();
  input_.append(read_buffer_.data(), n);
  Parse();
}

void UpstreamConnection::Parse() {
  while (!input_.empty() && !closed_ && listener_ != nullptr) {
    if (!parser_) {
      parser_.emplace();
      parser_->header_limit(kMaxHeaderBytes);
      // Boost 1.74 treats an unset limit as a limit of zero.
      parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
      if (request_.head_only) parser_->skip(true);
    }
    error_code ec;
    const bool had_head = parser_->is_header_done();
    parser_->eager(had_head);
    const std::size_t used =
        parser_->put(net::buffer(input_.data(), input_.size()), ec);
    const bool folded =
        !had_head && HasFoldedLine(std::string_view(input_).substr(0, used));
    input_.erase(0, used);
    message_bytes_.consumed += used;
    message_bytes_.body += parser_->get().body().size();
    if (skipping_) skipped_bytes_ += used;
    if (ec && ec != http::error::need_more) return End(ExchangeEnd::kBroken);
    if (folded) return End(ExchangeEnd::kBroken);
    if (!had_head && parser_->is_header_done() && !OnHead()) return;
    DeliverBody();
    if (closed_ || listener_ == nullptr) return;
    if (ExceedsLimits()) return End(ExchangeEnd::kBroken);
    if (parser_->is_done()) {
      OnMessageDone();
    } else if (ec == http::error::need_more && used == 0) {
      // The parser takes a chunk header and all trailers as a whole and has no
      // limit for either.
      if (input_.size() > kMaxHeaderBytes) End(ExchangeEnd::kBroken);
      return;
    }
  }
}

bool UpstreamConnection::ExceedsLimits() const {
  return skipped_bytes_ > kMaxSkippedBytes ||
         HasExcessiveFraming(message_bytes_, kMaxHeaderBytes);
}

std::optional<bool> UpstreamConnection::IsSkipped(
    const UpstreamResponse& response) const {
  switch (KindOfResponse(response.status, response.fields)) {
    case ResponseKind::kInvalid:
      return std::nullopt;
    case ResponseKind::kInterim:
      return true;
    case ResponseKind::kFinal:
      break;
  }
  const std::string& id = response.metadata.request_id;
  // Without an id it may be a late copy of an earlier response.
  if (id.empty()) return reused_ ? std::nullopt : std::optional(false);
  if (id == request_.request_id) return false;
  // Whether a body follows a response to HEAD is only known for the current
  // request.
  if (request_.head_only || served_head_only_) return std::nullopt;
  return true;
}

// Returns false if the exchange has ended.
bool UpstreamConnection::OnHead() {
  auto& message = parser_->get();
  UpstreamResponse response{.status = static_cast<int>(message.result_int()),
                            .fields = message.base(),
                            .ends_with_connection = parser_->need_eof()};
  response.metadata =
      header_codec_.decode_response(response.status, response.fields);
  const auto skipped = IsSkipped(response);
  if (!skipped) {
    End(ExchangeEnd::kBroken);
    return false;
  }
  skipping_ = *skipped;
  if (skipping_) {
    skipped_bytes_ += message_bytes_.consumed;
    return true;
  }
  keep_alive_ = parser_->keep_alive() && !parser_->need_eof();
  if (const auto seconds = KeepAliveSeconds(message.base())) {
    idle_limit_ = std::chrono::duration_cast<common::Duration>(
        std::chrono::duration<double>(*seconds * kIdleTimeoutFraction));
  }
  listener_->OnUpstreamHead(std::move(response));
  return !closed_ && listener_ != nullptr;
}

void UpstreamConnection::DeliverBody() {
  std::string& body = parser_->get().body();
  if (body.empty()) return;
  const std::string piece = std::exchange(body, {});
  if (!skipping_) listener_->OnUpstreamBody(piece);
}

void UpstreamConnection::OnMessageDone() {
  parser_.reset();
  message_bytes_ = {};
  // The response to the current request is still to come.
  if (std::exchange(skipping_, false)) return;
  End(ExchangeEnd::kComplete);
}

void UpstreamConnection::OnEof() {
  if (listener_ == nullptr) return Close();
  if (!parser_ || !parser_->is_header_done() || !parser_->need_eof() ||
      skipping_) {
    return End(ExchangeEnd::kBroken);
  }
  eof_ = true;
  // While the request is still being sent, the upstream may have closed the
  // connection early, with only a part of the body sent. Writing the rest then
  // fails.
  if (sent_ == request_.Size()) EndAtEof();
}

void UpstreamConnection::EndAtEof() {
  error_code ec;
  parser_->put_eof(ec);
  const bool complete = !ec && parser_->is_done() && !WasReset(socket_);
  keep_alive_ = false;
  End(complete ? ExchangeEnd::kComplete : ExchangeEnd::kBroken);
}

void UpstreamConnection::End(ExchangeEnd end) {
  if (closed_ || listener_ == nullptr) return;
  UpstreamListener* const listener = std::exchange(listener_, nullptr);
  idle_since_ = clock_.Now();
  reused_ = true;
  // An idle connection reads, to notice that its peer closes it.
  paused_ = false;
  served_head_only_ = served_head_only_ || request_.head_only;
  const bool reusable = end == ExchangeEnd::kComplete && keep_alive_ &&
                        input_.empty() && sent_ == request_.Size();
  if (!reusable) Close();
  if (sent_ == request_.Size()) {
    // An idle connection keeps no memory for its last request.
    std::string().swap(request_.bytes);
    request_.body = {};
    sent_ = 0;
  }
  listener->OnUpstreamEnd(end);
}

void UpstreamConnection::Close() {
  if (closed_) return;
  closed_ = true;
  listener_ = nullptr;
  error_code ec;
  socket_.close(ec);
}

bool UpstreamConnection::IsReusable(common::TimePoint now) const {
  return !closed_ && connected_ && listener_ == nullptr &&
         now - idle_since_ < idle_limit_;
}

}  // namespace shallotbeam::forwarding
