#ifndef SHALLOTBEAM_UNITTESTS_CORE_RUNTIME_RELAYFIXTURE_H_
#define SHALLOTBEAM_UNITTESTS_CORE_RUNTIME_RELAYFIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

#include "Runtime/DispatchCall.h"
#include "Runtime/UpstreamCall.h"

namespace shallotbeam::runtime {

// A process with the request of one caller, and a peer that it calls for it.
struct RelayFixture {
  boost::asio::io_context context;
  std::shared_ptr<transport::HttpExchange> exchange;
  // What the caller has received.
  std::optional<transport::HttpResponse> received;
  std::shared_ptr<transport::HttpServer> server =
      *transport::HttpServer::Listen(
          context, {.endpoint = {.address = "127.0.0.1", .port = 0}},
          [this](const std::shared_ptr<transport::HttpExchange>& it) {
            exchange = it;
          });
  transport::HttpClient client{context};
  boost::asio::ip::tcp::acceptor acceptor{
      context, boost::asio::ip::tcp::endpoint(
                   boost::asio::ip::address_v4::loopback(), 0)};
  boost::asio::ip::tcp::socket peer{context};
  const common::Endpoint address{.address = "127.0.0.1",
                                 .port = acceptor.local_endpoint().port()};
  std::optional<admission::UpstreamOutcome> upstream_outcome;
  std::optional<routing::DispatchOutcome> dispatch_outcome;

  RelayFixture() {
    client.Fetch(
        {.address = "127.0.0.1", .port = server->Port()},
        {.method = "POST", .target = "/"}, std::chrono::minutes(1),
        [this](transport::CallEnd end, const transport::HttpResponse& it) {
          if (end == transport::CallEnd::kComplete) received = it;
        });
    RunUntil([this] { return exchange != nullptr; }, kSetupRounds);
  }

  // Calls the peer as an agent calls its upstream, and accepts the call.
  void StartAsAgent() {
    StartUpstreamCall(
        client,
        {.upstream = address, .path = "/", .timeout = std::chrono::minutes(1)},
        exchange, {.post_event = [this](const admission::AgentEvent& event) {
          const auto* it = std::get_if<admission::UpstreamEnded>(&event);
          if (it != nullptr) upstream_outcome = it->outcome;
        }});
    Accept();
  }

  // Calls the peer as a router calls an agent, and accepts the call.
  void StartAsRouter() {
    StartDispatch(client, common::ProcessName("router"),
                  {.endpoint = address, .time_left = std::chrono::minutes(1)},
                  exchange, [this](const routing::RouterEvent& event) {
                    const auto* it =
                        std::get_if<routing::DispatchEnded>(&event);
                    if (it != nullptr) dispatch_outcome = it->outcome;
                  });
    Accept();
  }

  bool HasEnded() const {
    return upstream_outcome.has_value() || dispatch_outcome.has_value();
  }

  // Fails the test if `condition` does not hold after `rounds` of at most 10
  // ms.
  void RunUntil(const std::function<bool()>& condition, int rounds = 50) {
    for (int i = 0; i < rounds && !condition(); ++i) {
      context.restart();
      context.run_one_for(std::chrono::milliseconds(10));
    }
    BOOST_REQUIRE(condition());
  }

 private:
  static constexpr int kSetupRounds = 500;

  void Accept() {
    acceptor.async_accept(peer, [](boost::system::error_code) {});
    RunUntil([this] { return peer.is_open(); }, kSetupRounds);
  }
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_UNITTESTS_CORE_RUNTIME_RELAYFIXTURE_H_
