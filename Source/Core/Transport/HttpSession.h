#ifndef SHALLOTBEAM_CORE_TRANSPORT_HTTPSESSION_H_
#define SHALLOTBEAM_CORE_TRANSPORT_HTTPSESSION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Forwarding/AppendingBody.h"
#include "Transport/HttpServer.h"

// Server side of one client connection; used only by HttpServer.
namespace shallotbeam::transport {

struct HttpServer::Shared {
  HttpServerOptions options;
  Handler handler;
  std::atomic<int> connections = 0;
  std::atomic<int> pending_responses = 0;
  std::atomic<std::size_t> buffered_bytes = 0;
  std::atomic<bool> closing = false;
  std::function<void()> close_acceptor;
};

// Bytes that one request holds, counted in Shared::buffered_bytes.
class RequestMemory {
 public:
  explicit RequestMemory(std::shared_ptr<HttpServer::Shared> shared)
      : shared_(std::move(shared)) {}
  ~RequestMemory() { Set(0); }
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  void Set(std::size_t bytes);

 private:
  std::shared_ptr<HttpServer::Shared> shared_;
  std::size_t bytes_ = 0;
};

// All members are accessed only on the strand of `stream_`.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket,
              std::shared_ptr<HttpServer::Shared> shared);
  ~HttpSession();

  void Run();

  // Runs `action(session)` on the strand if `exchange` is still the current
  // exchange of its session.
  static void Post(const std::shared_ptr<HttpExchange>& exchange,
                   std::function<void(HttpSession&)> action);

  void SetSource(std::uint32_t source);
  void Send(const HttpResponse& response, std::uint32_t source);
  void StartStream(const HttpResponse& head, std::uint32_t source);
  void Write(std::string chunk, std::function<void()> flushed,
             std::uint32_t source);
  void Finish(std::uint32_t source);
  void Fail(const HttpResponse& response, const std::string& last_chunk);
  void OnClientDisconnected(std::function<void()> handler);

 private:
  struct Output {
    std::string bytes;
    std::function<void()> flushed;
  };

  void ReadHeader();
  void ReadBody();
  void ReadBodyPart();
  // Counts what the request holds. Returns whether that is allowed.
  bool CountMemory();
  void OnRequest();
  void WatchForDisconnect();
  void RejectRequest(boost::system::error_code ec);
  // Responds with an error and closes the connection.
  void RefuseWith(int status);
  void Queue(std::string bytes, std::function<void()> flushed);
  void WriteNext();
  void EndResponse();
  void SetPending(bool pending);
  void Close();

  boost::beast::tcp_stream stream_;
  std::shared_ptr<HttpServer::Shared> shared_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<forwarding::AppendingBody>>
      parser_;
  std::shared_ptr<RequestMemory> memory_;  // of the request being received
  std::size_t head_bytes_ = 0;             // memory for its head
  std::shared_ptr<HttpExchange> exchange_;
  std::function<void()> on_client_disconnected_;
  std::deque<Output> output_;
  bool writing_ = false;
  bool watching_ = false;
  bool head_sent_ = false;
  bool response_ended_ = false;
  bool keep_alive_ = false;
  bool closed_ = false;
  bool pending_ = false;  // counted in Shared::pending_responses
  std::uint32_t source_ = 0;
};

}  // namespace shallotbeam::transport

#endif  // SHALLOTBEAM_CORE_TRANSPORT_HTTPSESSION_H_
