#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "Transport/HttpServer.h"

namespace shallotbeam::transport {

namespace {

using boost::asio::ip::tcp;

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t n = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++n;
  }
  return n;
}

// Guards against a request that is never answered because all of it arrived
// before the response to the previous one had been written.
BOOST_AUTO_TEST_CASE(AnswersARequestThatArrivedBeforeThePreviousResponse) {
  boost::asio::io_context context(1);
  const auto server = HttpServer::Listen(
      context, {.endpoint = {.address = "127.0.0.1", .port = 0}},
      [&](const std::shared_ptr<HttpExchange>& exchange) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(
            context, std::chrono::milliseconds(20));
        timer->async_wait([timer, exchange](const auto&) {
          exchange->Send({.status = 200, .headers = {}, .body = "answer"});
        });
      });
  BOOST_REQUIRE(server.ok());
  tcp::socket socket(context);
  socket.connect(
      {boost::asio::ip::make_address("127.0.0.1"), (*server)->Port()});
  const std::string request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request + request + request));
  std::string received;
  std::array<char, 4096> piece{};
  std::function<void()> read = [&] {
    socket.async_read_some(boost::asio::buffer(piece),
                           [&](const auto& ec, std::size_t n) {
                             if (ec) return;
                             received.append(piece.data(), n);
                             if (CountOf(received, "answer") < 3) return read();
                             context.stop();
                           });
  };
  read();
  context.run_for(std::chrono::seconds(5));
  BOOST_TEST(CountOf(received, "answer") == 3U);
}

}  // namespace

}  // namespace shallotbeam::transport
