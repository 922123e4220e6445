#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <list>
#include <string>

#include "Common/Clock.h"
#include "Forwarding/CallerServer.h"

namespace shallotbeam::forwarding {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
namespace net = boost::asio;

constexpr std::size_t kMaxConnections = 8;

// Rejects every request, as an overloaded gateway does.
class RefusingHandler : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerConnection>& connection,
                 CallerRequest /*request*/) override {
    connection->Send(503, "", "");
  }
  void OnMalformed(int /*status*/) override {}
};

// Answers when the test does.
class SlowHandler : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerConnection>& connection,
                 CallerRequest /*request*/) override {
    waiting.push_back(connection);
  }
  void OnMalformed(int /*status*/) override {}

  std::vector<std::shared_ptr<CallerConnection>> waiting;
};

struct Fixture {
  net::io_context context;
  common::ManualClock clock;
  RefusingHandler handler;
  catalogue::CallerLimits limits;
  CallerServer server{context,
                      {.clock = clock, .handler = handler, .limits = limits},
                      kMaxConnections};
  std::list<net::ip::tcp::socket> sockets;

  Fixture() {
    clock.Advance(1h);
    BOOST_REQUIRE(server.Listen({.address = "127.0.0.1", .port = 0}).ok());
  }

  net::ip::tcp::socket& Connect() {
    net::ip::tcp::socket& socket = sockets.emplace_back(context);
    socket.connect({net::ip::make_address("127.0.0.1"), server.Port()});
    SendRequest(socket);
    return socket;
  }
  static void SendRequest(net::ip::tcp::socket& socket) {
    net::write(socket,
               net::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }
  // Sends a request on a new connection, which stays open. Returns the head of
  // the response, or an empty string if none arrives.
  std::string SendAndReceive() { return Receive(Connect()); }
  std::string Receive(net::ip::tcp::socket& socket) {
    std::string head;
    bool done = false;
    net::async_read_until(
        socket, net::dynamic_buffer(head), "\r\n\r\n",
        [&done](boost::system::error_code, std::size_t) { done = true; });
    for (int i = 0; i < 50 && !done; ++i) context.run_one_for(20ms);
    socket.cancel();
    context.poll();
    return done ? head : "";
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CallerServerTest, Fixture)

// Load pattern: rejected callers reconnect and leave their old connections
// idle. Guards against an entry host (a host that runs a gateway) that has
// no connection left for other callers.
BOOST_AUTO_TEST_CASE(IdleConnectionsMakeRoomForNewCallers) {
  for (int i = 0; i < 40; ++i) {
    const std::string head = SendAndReceive();
    BOOST_CHECK_MESSAGE(!head.empty(), "request " << i << " got no response");
    clock.Advance(500ms);
    server.CheckTimeouts(clock.Now());
    context.poll();
  }
  BOOST_CHECK_LE(server.Connections(), kMaxConnections / 2 + 1);
}

// Load pattern: many callers connect while no file descriptor is left. Guards
// against callers that wait in the listen backlog until they give up, and
// against a server that accepts no connections afterwards.
BOOST_AUTO_TEST_CASE(CallersAreDisconnectedWhenNoDescriptorIsLeft) {
  std::vector<net::ip::tcp::socket*> waiting;
  waiting.reserve(5);
  for (int i = 0; i < 5; ++i) waiting.push_back(&Connect());
  rlimit limit{};
  BOOST_REQUIRE_EQUAL(getrlimit(RLIMIT_NOFILE, &limit), 0);
  const int next = dup(0);  // the lowest free descriptor
  close(next);
  const rlimit none{.rlim_cur = static_cast<rlim_t>(next),
                    .rlim_max = limit.rlim_max};
  BOOST_REQUIRE_EQUAL(setrlimit(RLIMIT_NOFILE, &none), 0);
  for (int i = 0; i < 20; ++i) context.run_one_for(5ms);
  BOOST_REQUIRE_EQUAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
  for (net::ip::tcp::socket* it : waiting) {
    char byte = 0;
    boost::system::error_code ec;
    it->non_blocking(true);
    it->read_some(net::buffer(&byte, 1), ec);
    BOOST_CHECK_NE(ec, net::error::would_block);
  }
  for (int i = 0; i < 20; ++i) context.run_one_for(5ms);
  BOOST_CHECK(!SendAndReceive().empty());
}

// Load pattern: an overloaded process stops accepting connections. Guards
// against requests that have arrived but get no response.
BOOST_AUTO_TEST_CASE(PendingConnectionsAreAnsweredWhenAcceptingStops) {
  std::vector<net::ip::tcp::socket*> waiting;
  waiting.reserve(3);
  for (int i = 0; i < 3; ++i) waiting.push_back(&Connect());
  server.SetAccepting(false);
  for (net::ip::tcp::socket* it : waiting) BOOST_CHECK(!Receive(*it).empty());
}

// Load pattern: callers that reconnect for each request, faster than closed
// connections are removed. Guards against closed connections that count towards
// the limit, so that callers are disconnected although there is room.
BOOST_AUTO_TEST_CASE(ClosedConnectionsMakeRoomAtOnce) {
  for (std::size_t i = 0; i < 4 * kMaxConnections; ++i) {
    BOOST_CHECK(!SendAndReceive().empty());
    sockets.back().close();
    context.poll();
    context.restart();
  }
}

// Load pattern: a busy process is told to stop, or was suspended for longer
// than the idle timeout. Guards against requests that have arrived, on new or
// reused connections, but get no response.
BOOST_AUTO_TEST_CASE(UnreadRequestsAreAnsweredBeforeConnectionsClose) {
  SendAndReceive();
  net::ip::tcp::socket& frozen = sockets.back();
  SendRequest(frozen);
  clock.Advance(limits.idle_timeout + 1s);
  server.CheckTimeouts(clock.Now());
  BOOST_CHECK(!Receive(frozen).empty());
  SendAndReceive();
  net::ip::tcp::socket& kept = sockets.back();
  SendRequest(kept);
  net::ip::tcp::socket& waiting = Connect();
  server.SetAccepting(false);
  server.Drain();
  BOOST_CHECK(!Receive(kept).empty());
  BOOST_CHECK(!Receive(waiting).empty());
}

// Guards against memory that refused requests and closed connections keep.
BOOST_AUTO_TEST_CASE(RefusedRequestsFreeTheirMemory) {
  constexpr std::size_t kBudget = 100'000;
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n";
  CallerServer small(context,
                     {.clock = clock, .handler = handler, .limits = limits},
                     kMaxConnections, {.bytes = kBudget});
  BOOST_REQUIRE(small.Listen({.address = "127.0.0.1", .port = 0}).ok());
  for (int i = 0; i < 4; ++i) {
    net::ip::tcp::socket& socket = sockets.emplace_back(context);
    socket.connect({net::ip::make_address("127.0.0.1"), small.Port()});
    net::write(socket, net::buffer(head + std::string(80'000, 'u')));
    for (int round = 0; round < 50; ++round) context.run_one_for(1ms);
    BOOST_CHECK_LE(small.Memory()->used, kBudget);
    clock.Advance(2s);
  }
  for (net::ip::tcp::socket& it : sockets) it.close();
  for (int round = 0; round < 100; ++round) context.run_one_for(1ms);
  BOOST_CHECK_EQUAL(small.Memory()->used, 0);
}

// Guards against a process that ends because a request that waited behind a
// slow response needs memory while its connection looks stalled.
BOOST_AUTO_TEST_CASE(RequestBehindASlowResponseIsNotItsOwnVictim) {
  constexpr std::size_t kBudget = 49'152;
  SlowHandler slow;
  CallerServer small(context,
                     {.clock = clock, .handler = slow, .limits = limits},
                     kMaxConnections, {.bytes = kBudget});
  BOOST_REQUIRE(small.Listen({.address = "127.0.0.1", .port = 0}).ok());
  net::ip::tcp::socket& socket = sockets.emplace_back(context);
  socket.connect({net::ip::make_address("127.0.0.1"), small.Port()});
  net::write(socket,
             net::buffer("GET / HTTP/1.1\r\nHost: h\r\n\r\n"
                         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
                         "30000\r\n\r\n" +
                         std::string(30'000, 'u')));
  for (int round = 0; round < 50; ++round) context.run_one_for(1ms);
  BOOST_REQUIRE_EQUAL(slow.waiting.size(), 1);
  clock.Advance(2s);
  slow.waiting.front()->Send(200, "", "");
  for (int round = 0; round < 50; ++round) context.run_one_for(1ms);
  BOOST_CHECK(Receive(socket).find("200") != std::string::npos);
  // The process goes on, whether the request found room or was refused.
  BOOST_CHECK(slow.waiting.size() == 2 || small.Memory()->used <= kBudget);
}

// Load pattern: callers connect faster than the host has processor time for.
// Guards against a server that takes more than was permitted, that cuts callers
// whose requests have arrived, that closes open connections, or that stays
// closed after more is permitted.
BOOST_AUTO_TEST_CASE(ListenerClosesWhenThePermittedConnectionsHaveCome) {
  server.SetPermitted(2);
  SendAndReceive();
  net::ip::tcp::socket& kept = sockets.back();
  net::ip::tcp::socket& second = Connect();
  net::ip::tcp::socket& pending = Connect();
  BOOST_CHECK(!Receive(second).empty());
  BOOST_CHECK(!Receive(pending).empty());
  BOOST_CHECK_EQUAL(server.Accepted(), 3);
  net::ip::tcp::socket refused(context);
  boost::system::error_code ec;
  const net::ip::tcp::endpoint address(net::ip::make_address("127.0.0.1"),
                                       server.Port());
  refused.connect(address, ec);
  BOOST_CHECK(ec == net::error::connection_refused);
  SendRequest(kept);
  BOOST_CHECK_EQUAL(Receive(kept).find("Connection: close"), std::string::npos);
  server.SetPermitted(0);
  refused = net::ip::tcp::socket(context);
  refused.connect(address, ec);
  BOOST_CHECK(ec == net::error::connection_refused);
  server.SetPermitted(1);
  BOOST_CHECK(!SendAndReceive().empty());
}

// Guards against connections that are closed although more are allowed.
BOOST_AUTO_TEST_CASE(ConnectionsAreKeptWhileThereIsRoom) {
  for (std::size_t i = 0; i < kMaxConnections / 2; ++i) {
    BOOST_CHECK_EQUAL(SendAndReceive().find("Connection: close"),
                      std::string::npos);
  }
  clock.Advance(2s);
  server.CheckTimeouts(clock.Now());
  BOOST_CHECK_EQUAL(server.Connections(), kMaxConnections / 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::forwarding
