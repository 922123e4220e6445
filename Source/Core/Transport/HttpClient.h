#ifndef SHALLOTBEAM_CORE_TRANSPORT_HTTPCLIENT_H_
#define SHALLOTBEAM_CORE_TRANSPORT_HTTPCLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Transport/Http.h"

namespace shallotbeam::transport {

enum class CallEnd : std::uint8_t {
  kComplete,   // the whole response arrived
  kNotSent,    // no connection was established, so nothing was sent
  kBroken,     // the connection was lost; the server may have run the request
  kTimedOut,   // the call timed out; the server may have run the request
  kCancelled,  // by Cancel(); the server may have run the request
  // The server answered with a head that is not a response; it may have run the
  // request.
  kInvalid,
};

// Limit for what a process collects of a response in memory. A faulty server
// may send a body without end.
inline constexpr std::size_t kMaxCollectedBytes = 8'388'608;

// Appends a piece to a collected body. Returns false if it does not fit.
inline bool Collect(const std::string& piece, std::string* body) {
  if (piece.size() > kMaxCollectedBytes - body->size()) return false;
  body->append(piece);
  return true;
}

// Status line and headers of a response. `chunked` means that the length of the
// body is not known in advance.
struct ResponseHead {
  int status = 0;
  boost::beast::http::fields headers;
  bool chunked = false;
};

// Called on threads of the context, never concurrently for one call.
struct CallHandlers {
  std::function<void(const ResponseHead&)> on_head;  // of the final response
  // Receives a piece of the body. The next piece is read only after `resume`
  // has been called, on any thread. Returns false to end the call as broken.
  std::function<bool(std::string piece, std::function<void()> resume)> on_body;
  std::function<void(CallEnd)> on_end;  // always the last call
};

// A request in flight.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  // Closes the connection and calls `on_end` with kCancelled, unless the call
  // has ended already. Thread-safe.
  virtual void Cancel() = 0;
};

struct HttpClientOptions {
  // Idle connections are kept for this long. A connection can go silent without
  // being closed, which only the timeout of the next call on it would show, so
  // that calls which must be answered soon need a short time.
  common::Duration max_idle = std::chrono::hours(1);
  // Whether a connection is kept after a response with status 400 or above. A
  // faulty server may send a refusal twice, which would then be taken for the
  // response to the next request.
  bool keep_after_errors = true;
};

// Sends requests over keep-alive connections from a pool. When a call times
// out, the idle connections to its endpoint are closed as well, because they
// may be as silent as the one that it used.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& context);
  // `clock` must outlive the client.
  HttpClient(boost::asio::io_context& context, const common::Clock& clock,
             const HttpClientOptions& options);
  ~HttpClient();

  // `timeout` covers the whole call, from connecting to the end of the
  // response.
  std::shared_ptr<HttpCall> Start(const common::Endpoint& endpoint,
                                  HttpRequest request, common::Duration timeout,
                                  CallHandlers handlers);

  // Like Start(), but collects the whole response. `status` is 0 if no response
  // head was received. The call ends as broken if the body is longer than
  // `kMaxCollectedBytes`.
  using FetchHandler = std::function<void(CallEnd, HttpResponse)>;
  std::shared_ptr<HttpCall> Fetch(const common::Endpoint& endpoint,
                                  HttpRequest request, common::Duration timeout,
                                  FetchHandler handler);

 private:
  class ConnectionPool;
  class Call;

  boost::asio::io_context& context_;
  std::shared_ptr<ConnectionPool> pool_;
};

}  // namespace shallotbeam::transport

#endif  // SHALLOTBEAM_CORE_TRANSPORT_HTTPCLIENT_H_
