#include <future>

#include "HttpFixture.h"
#include "ResidentMemory.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::transport {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
namespace net = boost::asio;
using net::ip::tcp;

constexpr std::size_t kMebibyte = 1'048'576;
// A daemon has 96 MB, so that one connection may not take more than a few.
constexpr std::size_t kMemoryBound = 24 * kMebibyte;
constexpr std::size_t kSentBound = 128 * kMebibyte;

const std::string kFiller(16'384, 'a');

void Echo(const std::shared_ptr<HttpExchange>& exchange) {
  exchange->Send({.status = 200, .headers = {}});
}

struct Sent {
  std::size_t bytes = 0;
  std::size_t highest_growth = 0;
};

// Writes `start`, then `repeated` until the peer closes the connection.
Sent SendEndlessly(tcp::socket& socket, const std::string& start,
                   const std::string& repeated) {
  const std::size_t before = ResidentBytes();
  Sent sent;
  boost::system::error_code ec;
  net::write(socket, net::buffer(start), ec);
  while (!ec && sent.bytes < kSentBound) {
    sent.bytes += net::write(socket, net::buffer(repeated), ec);
    const std::size_t now = ResidentBytes();
    if (now > before) {
      sent.highest_growth = std::max(sent.highest_growth, now - before);
    }
  }
  return sent;
}

// Serves one connection with a response that has no end. Returns how the call
// of the client ended.
CallEnd FetchEndless(const std::string& start, const std::string& repeated,
                     Sent* sent) {
  HttpFixture fixture(Echo);
  net::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(net::ip::address_v4::loopback(), 0));
  std::promise<CallEnd> done;
  fixture.Client().Fetch(
      {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()},
      {.method = "GET", .target = "/", .headers = {}}, 60s,
      [&done](CallEnd end, const HttpResponse&) { done.set_value(end); });
  tcp::socket socket = acceptor.accept();
  *sent = SendEndlessly(socket, start, repeated);
  socket.close();
  return done.get_future().get();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EndlessPeersTest)

// Guards against a client that sends bytes without end beside the body of its
// request, which has a limit of its own.
BOOST_AUTO_TEST_CASE(ServerBoundsTheMemoryOfARequest) {
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const auto& [start, repeated] :
       std::vector<std::pair<std::string, std::string>>{
           {"", kFiller},
           {"GET /a HTTP/1.1\r\n", "X: y\r\n"},
           {head + "1;", kFiller},
           {head + "0\r\n", "X: y\r\n"}}) {
    HttpFixture fixture(Echo);
    tcp::socket socket = fixture.Connect();
    const Sent sent = SendEndlessly(socket, start, repeated);
    BOOST_TEST_MESSAGE(sent.highest_growth / 1'024 << " KiB");
    BOOST_CHECK_LT(sent.bytes, kSentBound);
    BOOST_CHECK_LT(sent.highest_growth, kMemoryBound);
  }
}

// Guards against a server, such as the store, whose response has no end.
BOOST_AUTO_TEST_CASE(ClientBoundsTheMemoryOfAResponse) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const auto& [start, repeated] :
       std::vector<std::pair<std::string, std::string>>{
           {"", kFiller},
           {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
           {chunked + "1;", kFiller},
           {chunked + "0\r\n", "X: y\r\n"},
           {chunked, "4000\r\n" + kFiller + "\r\n"},
           {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", kFiller},
           {"HTTP/1.1 200 OK\r\n\r\n", kFiller}}) {
    Sent sent;
    const CallEnd end = FetchEndless(start, repeated, &sent);
    BOOST_TEST_MESSAGE(sent.highest_growth / 1'024 << " KiB");
    BOOST_CHECK(end == CallEnd::kBroken);
    BOOST_CHECK_LT(sent.bytes, kSentBound);
    BOOST_CHECK_LT(sent.highest_growth, kMemoryBound);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::transport
