#include "Transport/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

#include "Transport/HttpSession.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::transport {

namespace {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

constexpr common::Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

}  // namespace

void HttpExchange::SetSource(std::uint32_t source) {
  HttpSession::Post(shared_from_this(), [source](HttpSession& session) {
    session.SetSource(source);
  });
}

void HttpExchange::Send(HttpResponse response, std::uint32_t source) {
  HttpSession::Post(shared_from_this(), [response = std::move(response),
                                         source](HttpSession& session) {
    session.Send(response, source);
  });
}

void HttpExchange::StartStream(HttpResponse head, std::uint32_t source) {
  HttpSession::Post(shared_from_this(),
                    [head = std::move(head), source](HttpSession& session) {
                      session.StartStream(head, source);
                    });
}

void HttpExchange::Write(std::string chunk, std::function<void()> flushed,
                         std::uint32_t source) {
  HttpSession::Post(
      shared_from_this(),
      [chunk = std::move(chunk), flushed = std::move(flushed), source](
          HttpSession& session) { session.Write(chunk, flushed, source); });
}

void HttpExchange::Finish(std::uint32_t source) {
  HttpSession::Post(shared_from_this(),
                    [source](HttpSession& session) { session.Finish(source); });
}

void HttpExchange::Fail(HttpResponse response, std::string last_chunk) {
  HttpSession::Post(
      shared_from_this(),
      [response = std::move(response), last_chunk = std::move(last_chunk)](
          HttpSession& session) { session.Fail(response, last_chunk); });
}

void HttpExchange::OnClientDisconnected(std::function<void()> handler) {
  HttpSession::Post(shared_from_this(),
                    [handler = std::move(handler)](HttpSession& session) {
                      session.OnClientDisconnected(handler);
                    });
}

namespace {

// Accepts connections one by one until the acceptor is closed.
class Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(net::io_context& context, tcp::acceptor acceptor,
           std::function<void(tcp::socket)> on_accept)
      : context_(context),
        acceptor_(std::move(acceptor)),
        retry_timer_(acceptor_.get_executor()),
        on_accept_(std::move(on_accept)) {}

  void Accept() {
    acceptor_.async_accept(
        net::make_strand(context_),
        [self = shared_from_this()](error_code ec, tcp::socket socket) {
          if (!self->acceptor_.is_open()) return;
          if (ec) return self->RetryAccept();
          self->on_accept_(std::move(socket));
          self->Accept();
        });
  }

  // Retries after a delay. Retrying immediately would be a busy loop, for
  // example while the process is out of file descriptors.
  void RetryAccept() {
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([self = shared_from_this()](error_code) {
      if (self->acceptor_.is_open()) self->Accept();
    });
  }

  void Close() {
    net::post(acceptor_.get_executor(), [self = shared_from_this()] {
      error_code ec;
      self->acceptor_.close(ec);
    });
  }

 private:
  net::io_context& context_;
  tcp::acceptor acceptor_;
  net::steady_timer retry_timer_;
  std::function<void(tcp::socket)> on_accept_;
};

}  // namespace

absl::StatusOr<std::shared_ptr<HttpServer>> HttpServer::Listen(
    net::io_context& context, HttpServerOptions options, Handler handler) {
  error_code ec;
  const auto address = net::ip::make_address(options.endpoint.address, ec);
  tcp::acceptor acceptor(net::make_strand(context));
  const tcp::endpoint endpoint(address, options.endpoint.port);
  if (!ec) acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(net::socket_base::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(net::socket_base::max_listen_connections, ec);
  if (ec) {
    return absl::UnavailableError(absl::StrCat(
        "address ", common::ToString(options.endpoint), ": ", ec.message()));
  }
  const std::uint16_t port = acceptor.local_endpoint().port();
  auto shared = std::make_shared<Shared>();
  shared->options = std::move(options);
  shared->handler = std::move(handler);
  const auto on_accept = [shared](tcp::socket socket) {
    // Over the limit: the socket is closed as it goes out of scope.
    if (shared->connections >= shared->options.max_connections) return;
    std::make_shared<HttpSession>(std::move(socket), shared)->Run();
  };
  const auto listener =
      std::make_shared<Listener>(context, std::move(acceptor), on_accept);
  shared->close_acceptor = [listener] { listener->Close(); };
  listener->Accept();
  return std::shared_ptr<HttpServer>(new HttpServer(std::move(shared), port));
}

HttpServer::HttpServer(std::shared_ptr<Shared> shared, std::uint16_t port)
    : shared_(std::move(shared)), port_(port) {}

int HttpServer::PendingResponses() const { return shared_->pending_responses; }

void HttpServer::Close() {
  shared_->closing = true;
  shared_->close_acceptor();
}

}  // namespace shallotbeam::transport
