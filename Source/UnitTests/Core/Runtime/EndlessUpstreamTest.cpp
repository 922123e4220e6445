#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "Core/Forwarding/EndlessSender.h"
#include "Runtime/DispatchCall.h"
#include "Runtime/UpstreamCall.h"

namespace shallotbeam::runtime {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using boost::asio::ip::tcp;

// Beside the collected body, the receive buffers of both processes.
constexpr std::size_t kGrowthBound = 24 * forwarding::kMebibyte;

// A process with the request of one caller, and a peer that it calls for it.
struct Fixture {
  boost::asio::io_context context;
  std::shared_ptr<transport::HttpExchange> exchange;
  std::shared_ptr<transport::HttpServer> server =
      *transport::HttpServer::Listen(
          context, {.endpoint = {.address = "127.0.0.1", .port = 0}},
          [this](const std::shared_ptr<transport::HttpExchange>& it) {
            exchange = it;
          });
  transport::HttpClient client{context};
  tcp::acceptor acceptor{
      context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
  tcp::socket peer{context};
  const common::Endpoint address{.address = "127.0.0.1",
                                 .port = acceptor.local_endpoint().port()};

  Fixture() {
    client.Fetch({.address = "127.0.0.1", .port = server->Port()},
                 {.method = "POST", .target = "/"}, 60s,
                 [](transport::CallEnd, const transport::HttpResponse&) {});
    while (exchange == nullptr) context.run_one_for(1s);
  }

  // Accepts the call, sends a body of stated length without end, and checks
  // that the call ends before the body takes much memory.
  void CheckEndlessBodyEnds(const std::function<bool()>& ended) {
    bool accepted = false;
    acceptor.async_accept(peer,
                          [&](boost::system::error_code) { accepted = true; });
    while (!accepted) context.run_one_for(1s);
    boost::asio::write(
        peer, boost::asio::buffer(std::string(
                  "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")));
    peer.non_blocking(true);
    const auto result =
        forwarding::SendEndlessly(context, peer, forwarding::kFiller, ended);
    for (int i = 0; i < 50 && !ended(); ++i) context.run_one_for(10ms);
    BOOST_REQUIRE(ended());
    BOOST_CHECK_LT(result.growth, kGrowthBound);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EndlessUpstreamTest, Fixture)

// Guards against a faulty upstream that fills the memory of its agent with a
// body without end. It has not crashed, so that no request becomes a suspect.
BOOST_AUTO_TEST_CASE(AgentEndsABodyWithoutEnd) {
  std::optional<admission::UpstreamEnded> ended;
  StartUpstreamCall(
      client, {.upstream = address, .path = "/", .timeout = 60s}, exchange,
      {.post_event = [&](const admission::AgentEvent& event) {
        const auto* it = std::get_if<admission::UpstreamEnded>(&event);
        if (it != nullptr) ended = *it;
      }});
  CheckEndlessBodyEnds([&] { return ended.has_value(); });
  BOOST_CHECK(ended->outcome == admission::UpstreamOutcome::kError);
}

// The same for a router and the response of an agent.
BOOST_AUTO_TEST_CASE(RouterEndsABodyWithoutEnd) {
  std::optional<routing::DispatchEnded> ended;
  StartDispatch(client, common::ProcessName("router"),
                {.endpoint = address, .time_left = 60s}, exchange,
                [&](const routing::RouterEvent& event) {
                  const auto* it = std::get_if<routing::DispatchEnded>(&event);
                  if (it != nullptr) ended = *it;
                });
  CheckEndlessBodyEnds([&] { return ended.has_value(); });
  BOOST_CHECK(ended->outcome == routing::DispatchOutcome::kLost);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::runtime
