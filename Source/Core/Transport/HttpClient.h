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
  kNotSent,    // no connection was made, so no byte left
  kBroken,     // the connection broke; the server may have acted
  kTimedOut,   // as kBroken, by the timeout of the call
  kCancelled,  // by Cancel(); the server may have acted
};

// Head of a response. `chunked` tells that its length was not announced.
struct ResponseHead {
  int status = 0;
  boost::beast::http::fields headers;
  bool chunked = false;
};

// Called on a thread of the context, one at a time per call.
struct CallHandlers {
  std::function<void(const ResponseHead&)> on_head;
  // The next piece is read once `resume` is called, by any thread.
  std::function<void(std::string piece, std::function<void()> resume)> on_body;
  std::function<void(CallEnd)> on_end;  // last
};

// A request in flight.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  // Closes the connection. `on_end` follows with kCancelled unless the call has
  // ended. Thread-safe.
  virtual void Cancel() = 0;
};

// Sends requests over kept-alive connections.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& context);
  ~HttpClient();

  // `timeout` covers the call from connecting to the end of the response.
  std::shared_ptr<HttpCall> Start(const common::Endpoint& endpoint,
                                  HttpRequest request, common::Duration timeout,
                                  CallHandlers handlers);

  // Whole response at once; `status` 0 in the response tells of a failure.
  using FetchHandler = std::function<void(CallEnd, HttpResponse)>;
  std::shared_ptr<HttpCall> Fetch(const common::Endpoint& endpoint,
                                  HttpRequest request, common::Duration timeout,
                                  FetchHandler handler);

 private:
  class Pool;
  class Call;

  boost::asio::io_context& context_;
  std::shared_ptr<Pool> pool_;
};

}  // namespace shallotbeam::transport

#endif  // SHALLOTBEAM_CORE_TRANSPORT_HTTPCLIENT_H_
