#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>

#include "Commands.h"
#include "Common/StatusText.h"
#include "Runtime/CommandLine.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::commands {

namespace {

namespace po = boost::program_options;

constexpr common::Duration kTimeout = std::chrono::seconds(2);

}  // namespace

int Status(const Arguments& arguments) {
  po::options_description options;
  options.add_options()(
      "admin", po::value<std::string>()->default_value("127.0.0.1:8081"));
  const auto values = runtime::ParseArguments(options, arguments);
  if (!values.ok()) {
    fmt::print(stderr, "shallotbeam status: {}\n",
               common::MessageOf(values.status()));
    return runtime::kExitUsage;
  }
  const auto endpoint = runtime::EndpointOption(*values, "admin");
  if (!endpoint.ok()) {
    fmt::print(stderr, "shallotbeam status: {}\n",
               common::MessageOf(endpoint.status()));
    return runtime::kExitUsage;
  }
  boost::asio::io_context context;
  transport::HttpClient client(context);
  transport::HttpResponse response;
  client.Fetch(*endpoint, {.method = "GET", .target = "/status"}, kTimeout,
               [&](transport::CallEnd, const transport::HttpResponse& it) {
                 response = it;
               });
  context.run();
  if (response.status != 200) {
    fmt::print(stderr, "shallotbeam status: no answer from {}\n",
               common::ToString(*endpoint));
    return runtime::kExitFailure;
  }
  fmt::print("{}", response.body);
  return runtime::kExitOk;
}

}  // namespace shallotbeam::commands
