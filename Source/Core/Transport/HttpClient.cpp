#include "Transport/HttpClient.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "Forwarding/Framing.h"
#include "Forwarding/Sockets.h"

namespace shallotbeam::transport {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

constexpr std::size_t kMaxIdlePerEndpoint = 64;
constexpr std::size_t kPieceBytes = 16'384;
constexpr std::size_t kHeadReadBytes = 4'096;
// Bytes read and not parsed yet. The parser takes a chunk header and all
// trailers as a whole and has no limit for either.
constexpr std::size_t kMaxUnparsedBytes = 131'072;
constexpr unsigned kHttpVersion = 11;
constexpr int kFirstError = 400;
// Limit for the interim responses to one request.
constexpr int kMaxInterimResponses = 64;
const common::SteadyClock kSteadyClock;

struct Connection {
  explicit Connection(net::io_context& context)
      : stream(net::make_strand(context)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
};

// Whether an idle connection can be reused. Readable bytes or the end of the
// stream mean that the server has closed the connection or is about to.
bool IsReusable(Connection& connection) {
  tcp::socket& socket = connection.stream.socket();
  error_code ec;
  socket.non_blocking(true, ec);
  char byte = 0;
  socket.receive(net::buffer(&byte, 1), net::socket_base::message_peek, ec);
  return ec == net::error::would_block;
}

}  // namespace

// Pool of idle connections by endpoint. Thread-safe.
class HttpClient::ConnectionPool {
 public:
  ConnectionPool(const common::Clock& clock, const HttpClientOptions& options)
      : clock_(clock), options_(options) {}

  std::unique_ptr<Connection> Acquire(const common::Endpoint& endpoint) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const common::TimePoint now = clock_.Now();
    auto& idle = idle_[endpoint];
    while (!idle.empty()) {
      Idle last = std::move(idle.back());
      idle.pop_back();
      const bool recent = now - last.since <= options_.max_idle;
      if (recent && IsReusable(*last.connection)) {
        return std::move(last.connection);
      }
    }
    return nullptr;
  }

  void Release(const common::Endpoint& endpoint,
               std::unique_ptr<Connection> connection) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& idle = idle_[endpoint];
    if (idle.size() < kMaxIdlePerEndpoint) {
      idle.push_back(
          {.connection = std::move(connection), .since = clock_.Now()});
    }
  }

  bool KeepsAfter(int status) const {
    return options_.keep_after_errors || status < kFirstError;
  }

  void CloseIdle(const common::Endpoint& endpoint) {
    const std::lock_guard<std::mutex> lock(mutex_);
    idle_.erase(endpoint);
  }

 private:
  struct Idle {
    std::unique_ptr<Connection> connection;
    common::TimePoint since;
  };

  const common::Clock& clock_;
  const HttpClientOptions options_;
  std::mutex mutex_;
  std::map<common::Endpoint, std::vector<Idle>> idle_;
};

class HttpClient::Call : public HttpCall,
                         public std::enable_shared_from_this<Call> {
 public:
  Call(net::io_context& context, std::shared_ptr<ConnectionPool> pool,
       common::Endpoint endpoint, HttpRequest request, common::Duration timeout,
       CallHandlers handlers)
      : context_(context),
        pool_(std::move(pool)),
        endpoint_(std::move(endpoint)),
        timeout_(timeout),
        handlers_(std::move(handlers)) {
    message_.version(kHttpVersion);
    message_.method_string(request.method);
    message_.target(request.target);
    for (const auto& it : request.headers) {
      message_.set(it.name_string(), it.value());
    }
    message_.set(http::field::host, common::ToString(endpoint_));
    message_.body() = std::move(request.body);
    message_.prepare_payload();
  }

  void Start() {
    connection_ = pool_->Acquire(endpoint_);
    const bool reused = connection_ != nullptr;
    if (!reused) connection_ = std::make_unique<Connection>(context_);
    executor_ = connection_->stream.get_executor();
    net::post(executor_, [self = shared_from_this(), reused] {
      if (self->ended_) return;
      self->connection_->stream.expires_after(self->timeout_);
      if (reused) return self->SendRequest();
      self->Connect();
    });
  }

  void Cancel() override {
    net::post(executor_, [self = shared_from_this()] {
      if (self->ended_) return;
      self->connection_->stream.close();
      self->End(CallEnd::kCancelled);
    });
  }

 private:
  void Connect() {
    error_code ec;
    const auto address = net::ip::make_address(endpoint_.address, ec);
    if (ec) return End(CallEnd::kNotSent);
    connection_->stream.async_connect(
        tcp::endpoint(address, endpoint_.port),
        [self = shared_from_this()](error_code ec) {
          if (self->ended_) return;
          if (ec) return self->End(CallEnd::kNotSent);
          self->connection_->stream.socket().set_option(tcp::no_delay(true),
                                                        ec);
          self->SendRequest();
        });
  }

  void SendRequest() {
    if (ended_) return;
    http::async_write(connection_->stream, message_,
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        if (self->ended_) return;
                        if (ec) return self->Fail(ec);
                        self->ReadHead();
                      });
  }

  void ReadHead() {
    parser_.emplace();
    // Boost 1.74 treats an absent limit as a limit of zero.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    ParseHead();
  }

  // Parses what has been read. The library's own function for a head does not
  // give access to its text.
  void ParseHead() {
    beast::flat_buffer& buffer = connection_->buffer;
    const net::const_buffer input = buffer.data();
    error_code ec;
    const std::size_t used = parser_->put(input, ec);
    const bool folded = forwarding::HasFoldedLine(
        {static_cast<const char*>(input.data()), used});
    buffer.consume(used);
    if (folded) return End(CallEnd::kInvalid);
    if (ec && ec != http::error::need_more) return Fail(ec);
    if (parser_->is_header_done()) return OnHead();
    connection_->stream.async_read_some(
        buffer.prepare(kHeadReadBytes),
        [self = shared_from_this()](error_code ec, std::size_t n) {
          if (self->ended_) return;
          if (ec) return self->Fail(ec);
          self->connection_->buffer.commit(n);
          self->ParseHead();
        });
  }

  void OnHead() {
    const auto& message = parser_->get();
    const ResponseHead head{.status = static_cast<int>(message.result_int()),
                            .headers = message.base(),
                            .chunked = message.chunked()};
    switch (forwarding::KindOfResponse(head.status, head.headers)) {
      case forwarding::ResponseKind::kInvalid:
        return End(CallEnd::kInvalid);
      case forwarding::ResponseKind::kInterim:
        if (++interim_responses_ > kMaxInterimResponses) {
          return End(CallEnd::kInvalid);
        }
        return ReadHead();
      case forwarding::ResponseKind::kFinal:
        break;
    }
    if (handlers_.on_head) handlers_.on_head(head);
    ReadBody();
  }

  void ReadBody() {
    if (ended_) return;
    if (parser_->is_done()) return Complete();
    auto& body = parser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    http::async_read_some(
        connection_->stream, connection_->buffer, *parser_,
        [self = shared_from_this()](error_code ec, std::size_t) {
          if (self->ended_) return;
          if (ec == http::error::need_buffer) ec = {};
          if (ec) return self->Fail(ec);
          self->DeliverPiece();
        });
  }

  void DeliverPiece() {
    const std::size_t n = piece_.size() - parser_->get().body().size;
    if (n == 0 || !handlers_.on_body) return ReadBody();
    const bool accepted = handlers_.on_body(
        std::string(piece_.data(), n), [self = shared_from_this()] {
          net::post(self->executor_, [self] {
            if (!self->ended_) self->ReadBody();
          });
        });
    if (!accepted) End(CallEnd::kBroken);
  }

  void Complete() {
    // A body without length, whose end may be a part of a reset.
    if (parser_->need_eof() &&
        forwarding::WasReset(connection_->stream.socket())) {
      return End(CallEnd::kBroken);
    }
    // Bytes after the response belong to no request.
    const bool reusable =
        parser_->keep_alive() && connection_->buffer.size() == 0 &&
        pool_->KeepsAfter(static_cast<int>(parser_->get().result_int()));
    connection_->stream.expires_never();
    if (reusable) pool_->Release(endpoint_, std::move(connection_));
    End(CallEnd::kComplete);
  }

  void Fail(error_code ec) {
    End(ec == beast::error::timeout ? CallEnd::kTimedOut : CallEnd::kBroken);
  }

  void End(CallEnd end) {
    if (ended_) return;
    ended_ = true;
    if (connection_ != nullptr && end != CallEnd::kComplete) {
      connection_->stream.close();
    }
    if (end == CallEnd::kTimedOut) pool_->CloseIdle(endpoint_);
    // Release the handlers, which hold references to objects of the caller.
    const CallHandlers handlers = std::move(handlers_);
    handlers_ = {};
    if (handlers.on_end) handlers.on_end(end);
  }

  net::io_context& context_;
  std::shared_ptr<ConnectionPool> pool_;
  common::Endpoint endpoint_;
  common::Duration timeout_;
  CallHandlers handlers_;
  http::request<http::string_body> message_;
  std::unique_ptr<Connection> connection_;
  // A copy, because the connection returns to the pool when the call completes.
  net::any_io_executor executor_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::array<char, kPieceBytes> piece_{};
  int interim_responses_ = 0;
  bool ended_ = false;
};

HttpClient::HttpClient(net::io_context& context)
    : HttpClient(context, kSteadyClock, {}) {}

HttpClient::HttpClient(net::io_context& context, const common::Clock& clock,
                       const HttpClientOptions& options)
    : context_(context),
      pool_(std::make_shared<ConnectionPool>(clock, options)) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::Start(const common::Endpoint& endpoint,
                                            HttpRequest request,
                                            common::Duration timeout,
                                            CallHandlers handlers) {
  auto call =
      std::make_shared<Call>(context_, pool_, endpoint, std::move(request),
                             timeout, std::move(handlers));
  call->Start();
  return call;
}

std::shared_ptr<HttpCall> HttpClient::Fetch(const common::Endpoint& endpoint,
                                            HttpRequest request,
                                            common::Duration timeout,
                                            FetchHandler handler) {
  auto response = std::make_shared<HttpResponse>();
  response->status = 0;
  return Start(
      endpoint, std::move(request), timeout,
      {.on_head =
           [response](const ResponseHead& head) {
             response->status = head.status;
             for (const auto& it : head.headers) {
               response->headers.emplace_back(std::string(it.name_string()),
                                              std::string(it.value()));
             }
           },
       .on_body =
           [response](const std::string& piece,
                      const std::function<void()>& resume) {
             resume();
             return Collect(piece, &response->body);
           },
       .on_end = [response, handler = std::move(handler)](
                     CallEnd end) { handler(end, std::move(*response)); }});
}

}  // namespace shallotbeam::transport
