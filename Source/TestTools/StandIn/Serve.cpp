#include "StandIn/Serve.h"

#include <fmt/format.h>

#include <iostream>
#include <string>
#include <vector>

#include "Common/StatusText.h"
#include "Runtime/CommandLine.h"

namespace shallotbeam::testtools {

int ServeStandIn(int argc, char** argv,
                 const boost::program_options::options_description& options,
                 const MakeHandler& make_handler) {
  const auto values = runtime::ParseArguments(
      options, std::vector<std::string>(argv + 1, argv + argc));
  if (!values.ok() || values->count("help") != 0) {
    std::cout << options;
    return values.ok() ? runtime::kExitOk : runtime::kExitUsage;
  }
  const auto endpoint = runtime::EndpointOption(*values, "listen");
  if (!endpoint.ok()) {
    fmt::print(stderr, "{}\n", common::MessageOf(endpoint.status()));
    return runtime::kExitUsage;
  }
  // A single thread, so that stand-ins need no locking.
  boost::asio::io_context context(1);
  const auto server = transport::HttpServer::Listen(
      context, {.endpoint = *endpoint}, make_handler(context, *values));
  if (!server.ok()) {
    fmt::print(stderr, "{}\n", common::MessageOf(server.status()));
    return runtime::kExitFailure;
  }
  context.run();
  return runtime::kExitOk;
}

}  // namespace shallotbeam::testtools
