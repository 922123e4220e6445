#ifndef SHALLOTBEAM_CORE_TRANSPORT_HTTPSERVER_H_
#define SHALLOTBEAM_CORE_TRANSPORT_HTTPSERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Transport/Http.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace shallotbeam::transport {

class HttpSession;

// One request of a client and its response. All calls are thread-safe and
// return at once; they do nothing after the client has gone.
//
// A response has one source at a time, for example one attempt. Output of
// another source than the current one is dropped, so that answers of two
// attempts never mix. SetSource() after the head was sent aborts instead.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  explicit HttpExchange(HttpRequest request) : request_(std::move(request)) {}

  const HttpRequest& Request() const { return request_; }

  void SetSource(std::uint32_t source);
  // Sends a whole response.
  void Send(HttpResponse response, std::uint32_t source = 0);
  // Starts a chunked response; `head.body` is ignored.
  void StartStream(HttpResponse head, std::uint32_t source = 0);
  // Sends a chunk; `flushed` is called when it left for the client, or when the
  // client has gone. Not called if the source is not the current one.
  void Write(std::string chunk, std::function<void()> flushed,
             std::uint32_t source = 0);
  // Ends a chunked response.
  void Finish(std::uint32_t source = 0);
  // Ends the exchange by a failure: sends `response` if no head was sent yet,
  // else ends the stream after `last_chunk` without the closing chunk.
  void Fail(HttpResponse response, std::string last_chunk);

  // Calls `handler` once if the client goes before the response has ended.
  void OnClientDisconnected(std::function<void()> handler);

 private:
  friend class HttpSession;

  HttpRequest request_;
  std::weak_ptr<HttpSession> session_;
};

struct HttpServerOptions {
  common::Endpoint endpoint;
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 4'000'000;
  int max_connections = 10'000;
  common::Duration idle_timeout = std::chrono::seconds(60);
  // Time to receive the rest of a request after its first byte.
  common::Duration receive_timeout = std::chrono::seconds(20);
  // Time in which a client must take a piece of the response.
  common::Duration send_timeout = std::chrono::seconds(20);
  // Makes the response to a request that isn't valid HTTP or is too large.
  std::function<HttpResponse(int status)> make_error;
};

// Accepts connections until Close(). Handlers run on threads of the context.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  // Returns kUnavailable if the address can't be bound.
  static absl::StatusOr<std::shared_ptr<HttpServer>> Listen(
      boost::asio::io_context& context, HttpServerOptions options,
      Handler handler);

  // Stops accepting connections. Open ones go on; after their current response
  // they are closed.
  void Close();

  std::uint16_t Port() const { return port_; }

  // Requests whose response has not yet left for the client. A process that
  // exits before this is 0 cuts responses off.
  int PendingResponses() const;

 private:
  struct Shared;
  HttpServer(std::shared_ptr<Shared> shared, std::uint16_t port);

  std::shared_ptr<Shared> shared_;
  std::uint16_t port_;

  friend class HttpSession;
};

}  // namespace shallotbeam::transport

#endif  // SHALLOTBEAM_CORE_TRANSPORT_HTTPSERVER_H_
