#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

#include "Runtime/AgentProcess.h"
#include "Runtime/RouterProcess.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::runtime {

namespace {

// Loopback ports of these tests; no other test uses ports from 28500 up.
constexpr std::uint16_t kFirstPort = 28'500;

common::Endpoint Local(int offset) {
  return {.address = "127.0.0.1",
          .port = static_cast<std::uint16_t>(kFirstPort + offset)};
}

// Returns the result of `run`. Fails the test if `run` does not return within
// 20 s.
template <typename Run>
absl::Status Await(Run&& run) {
  auto result = std::async(std::launch::async, std::forward<Run>(run));
  const auto ready = result.wait_for(std::chrono::seconds(20));
  BOOST_REQUIRE(ready == std::future_status::ready);
  return result.get();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ProcessTest)

// Guards against a process that hangs, instead of returning an error, if an
// address is already in use. The address is bound after the actor has started.
BOOST_AUTO_TEST_CASE(AddressInUseEndsTheProcess) {
  boost::asio::io_context context;
  const auto taken = transport::HttpServer::Listen(
      context, {.endpoint = Local(0)}, [](const auto&) {});
  BOOST_REQUIRE(taken.ok());

  RouterSettings router;
  router.callers = Local(0);
  router.admin = Local(1);
  router.control = Local(2);
  BOOST_CHECK(absl::IsUnavailable(Await([&] { return RunRouter(router); })));

  AgentSettings agent;
  agent.data = Local(3);
  agent.admin = Local(0);
  agent.control = Local(4);
  agent.upstream = Local(5);
  agent.routers = {Local(6)};
  BOOST_CHECK(absl::IsUnavailable(Await([&] { return RunAgent(agent); })));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::runtime
