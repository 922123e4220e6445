#ifndef SHALLOTBEAM_UNITTESTS_CORE_TRANSPORT_HTTPFIXTURE_H_
#define SHALLOTBEAM_UNITTESTS_CORE_TRANSPORT_HTTPFIXTURE_H_

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::transport {

// A server on a free loopback port, with a handler given by the test, and a
// client.
class HttpFixture {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;

  explicit HttpFixture(HttpServer::Handler handler,
                       HttpServerOptions options = {})
      : work_(boost::asio::make_work_guard(context_)), client_(context_) {
    options.endpoint = {.address = "127.0.0.1", .port = 0};
    options.make_error = [](int status) {
      return HttpResponse{.status = status, .headers = {}, .body = "refused"};
    };
    auto server = HttpServer::Listen(context_, options, std::move(handler));
    BOOST_REQUIRE(server.ok());
    server_ = *server;
    thread_ = std::thread([this] { context_.run(); });
  }

  ~HttpFixture() {
    server_->Close();
    context_.stop();
    thread_.join();
  }

  HttpClient& Client() { return client_; }
  HttpServer& Server() { return *server_; }
  common::Endpoint Address() const {
    return {.address = "127.0.0.1", .port = server_->Port()};
  }

  // Opens a raw TCP connection, on which the test writes and reads bytes.
  boost::asio::ip::tcp::socket Connect() {
    boost::asio::ip::tcp::socket socket(raw_context_);
    socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), server_->Port()});
    return socket;
  }

 private:
  boost::asio::io_context context_;
  boost::asio::io_context raw_context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  HttpClient client_;
  std::shared_ptr<HttpServer> server_;
  std::thread thread_;
};

inline void WriteText(boost::asio::ip::tcp::socket& socket,
                      const std::string& text) {
  boost::asio::write(socket, boost::asio::buffer(text));
}

// Reads until `end` has been received or the server has closed the connection;
// only the latter if `end` is empty.
inline std::string ReadUntil(boost::asio::ip::tcp::socket& socket,
                             const std::string& end) {
  std::string text;
  boost::system::error_code ec;
  char buf[4096];
  while (!ec && (end.empty() || text.find(end) == std::string::npos)) {
    const std::size_t n = socket.read_some(boost::asio::buffer(buf), ec);
    text.append(buf, n);
  }
  return text;
}

}  // namespace shallotbeam::transport

#endif  // SHALLOTBEAM_UNITTESTS_CORE_TRANSPORT_HTTPFIXTURE_H_
