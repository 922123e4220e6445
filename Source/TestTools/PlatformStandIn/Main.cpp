#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "Common/StatusText.h"
#include "PlatformStandIn/Platform.h"
#include "Runtime/CommandLine.h"
#include "Transport/HttpServer.h"

namespace po = boost::program_options;
namespace runtime = shallotbeam::runtime;
namespace transport = shallotbeam::transport;

int main(int argc, char** argv) {
  po::options_description options("Options of shallotbeam-platform-stand-in");
  options.add_options()("help", "print this help")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:2379"),
      "address");
  const auto values = runtime::ParseArguments(
      options, std::vector<std::string>(argv + 1, argv + argc));
  if (!values.ok() || values->count("help") != 0) {
    std::cout << options;
    return values.ok() ? runtime::kExitOk : runtime::kExitUsage;
  }
  const auto endpoint = runtime::EndpointOption(*values, "listen");
  if (!endpoint.ok()) {
    fmt::print(stderr, "{}\n",
               shallotbeam::common::MessageOf(endpoint.status()));
    return runtime::kExitUsage;
  }
  // One thread, so that the platform needs no locks.
  boost::asio::io_context context(1);
  shallotbeam::testtools::Platform platform(context);
  const auto server = transport::HttpServer::Listen(
      context, {.endpoint = *endpoint},
      [&](const auto& exchange) { platform.Handle(exchange); });
  if (!server.ok()) {
    fmt::print(stderr, "{}\n", shallotbeam::common::MessageOf(server.status()));
    return runtime::kExitFailure;
  }
  context.run();
  return runtime::kExitOk;
}
