#ifndef SHALLOTBEAM_UNITTESTS_CORE_PLATFORMCLIENTS_AWAIT_H_
#define SHALLOTBEAM_UNITTESTS_CORE_PLATFORMCLIENTS_AWAIT_H_

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>

#include "PlatformStandIn/Platform.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::test {

// Runs `context` until `start(done)` has called `done` and returns the result.
template <typename Result, typename Start>
Result Await(boost::asio::io_context& context, Start start) {
  std::optional<Result> result;
  start([&](Result it) { result.emplace(std::move(it)); });
  context.restart();
  while (!result && context.run_one() > 0) {
  }
  BOOST_REQUIRE(result.has_value());
  return *std::move(result);
}

// Sends a command to the stand-in of the platform, for example
// ("/faults", "{...}").
inline std::string SendCommand(const testtools::PlatformServer& platform,
                               const std::string& target,
                               const std::string& body) {
  boost::asio::io_context context;
  transport::HttpClient client(context);
  return Await<std::string>(context, [&](auto done) {
    transport::HttpRequest request{.method = "POST", .target = target};
    request.body = body;
    client.Fetch(platform.Address(), std::move(request),
                 std::chrono::seconds(5),
                 [done](transport::CallEnd, transport::HttpResponse it) {
                   done(std::move(it.body));
                 });
  });
}

}  // namespace shallotbeam::test

#endif  // SHALLOTBEAM_UNITTESTS_CORE_PLATFORMCLIENTS_AWAIT_H_
