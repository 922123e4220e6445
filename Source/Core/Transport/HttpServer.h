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
class RequestMemory;

// One request of a client and its response. All calls are thread-safe and
// return immediately. They have no effect after the client has disconnected.
//
// A source is a number that identifies the producer of a response, for example
// one attempt to run the request. Output of any source but the current one is
// dropped, so that responses of two attempts never mix. Calling SetSource()
// with a new source after the head was sent closes the connection.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  explicit HttpExchange(HttpRequest request) : request_(std::move(request)) {}

  const HttpRequest& Request() const { return request_; }

  void SetSource(std::uint32_t source);
  // Sends a whole response.
  void Send(HttpResponse response, std::uint32_t source = 0);
  // Starts a chunked response; `head.body` is ignored.
  void StartStream(HttpResponse head, std::uint32_t source = 0);
  // Sends a chunk. Calls `flushed` once the chunk was written to the socket or
  // the client has disconnected, but not if `source` is not the current one.
  void Write(std::string chunk, std::function<void()> flushed,
             std::uint32_t source = 0);
  // Ends a chunked response.
  void Finish(std::uint32_t source = 0);
  // Ends the exchange with a failure: sends `response` if no head was sent yet,
  // otherwise sends `last_chunk` and closes the connection without the
  // terminating chunk, so that the client sees a truncated stream.
  void Fail(HttpResponse response, std::string last_chunk);

  // Calls `handler` once if the client disconnects before the response has
  // ended.
  void OnClientDisconnected(std::function<void()> handler);

 private:
  friend class HttpSession;

  HttpRequest request_;
  std::weak_ptr<HttpSession> session_;
  // Counts the request in the memory of the server while it is in use.
  std::shared_ptr<void> memory_;
};

struct HttpServerOptions {
  common::Endpoint endpoint;
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 4'000'000;
  int max_connections = 10'000;
  // Bytes that all requests together may hold, those that are being received
  // and those without a complete response. Beyond it, requests that are being
  // received are refused with status 503, except small ones.
  std::size_t max_buffered_bytes = 268'435'456;
  common::Duration idle_timeout = std::chrono::seconds(60);
  // Time to receive the body of a request after its header.
  common::Duration receive_timeout = std::chrono::seconds(20);
  // Longest time for writing one piece of a response to a client.
  common::Duration send_timeout = std::chrono::seconds(20);
  // Creates the response to a request that isn't valid HTTP or is too large.
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

  // Stops accepting connections. Open connections are closed after their
  // current response.
  void Close();

  std::uint16_t Port() const { return port_; }

  // Number of requests whose response has not been written to the socket yet. A
  // process that exits before the number is 0 truncates responses.
  int PendingResponses() const;

 private:
  struct Shared;
  HttpServer(std::shared_ptr<Shared> shared, std::uint16_t port);

  std::shared_ptr<Shared> shared_;
  std::uint16_t port_;

  friend class HttpSession;
  friend class RequestMemory;
};

}  // namespace shallotbeam::transport

#endif  // SHALLOTBEAM_CORE_TRANSPORT_HTTPSERVER_H_
