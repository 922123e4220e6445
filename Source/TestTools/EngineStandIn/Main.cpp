#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "Common/StatusText.h"
#include "EngineStandIn/Engine.h"
#include "Runtime/CommandLine.h"
#include "Transport/HttpServer.h"

namespace {

namespace po = boost::program_options;
namespace engine = shallotbeam::engine_stand_in;
namespace runtime = shallotbeam::runtime;
namespace transport = shallotbeam::transport;

po::options_description Options() {
  po::options_description options("Options of shallotbeam-engine-stand-in");
  options.add_options()("help", "print this help")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:9000"),
      "address")("batch", po::value<int>()->default_value(16),
                 "requests that run at full speed at once")(
      "first-token-ms", po::value<double>()->default_value(40),
      "time to the first token, without the prompt")(
      "token-ms", po::value<double>()->default_value(5), "time between tokens")(
      "call-ms", po::value<double>()->default_value(10),
      "time of a plain call")("prefill-tokens-per-ms",
                              po::value<double>()->default_value(100),
                              "prompt tokens processed per millisecond")(
      "cache-tokens", po::value<std::size_t>()->default_value(200'000),
      "size of the prefix cache")("max-running",
                                  po::value<int>()->default_value(0),
                                  "requests that run at once; 0 is no limit")(
      "refuse-over-limit", po::bool_switch(),
      "answer 429 beyond --max-running instead of queueing")(
      "load-lag-ms", po::value<int>()->default_value(500),
      "age of the load that GET /load reports")(
      "crash-mark", po::value<std::string>()->default_value("CRASH-ENGINE"),
      "text in a request that ends the process")(
      "seed", po::value<std::uint64_t>()->default_value(1),
      "seed of injected errors");
  return options;
}

engine::EngineOptions ReadOptions(const po::variables_map& values) {
  const auto ms = [&](const char* name) {
    return engine::Milliseconds(values[name].as<double>());
  };
  return {
      .model = {.batch = std::max(1, values["batch"].as<int>()),
                .first_token = ms("first-token-ms"),
                .token = ms("token-ms"),
                .call = ms("call-ms"),
                .prefill_tokens_per_ms = std::max(
                    0.001, values["prefill-tokens-per-ms"].as<double>()),
                .cache_tokens = values["cache-tokens"].as<std::size_t>(),
                .max_running = values["max-running"].as<int>(),
                .refuse_over_limit = values["refuse-over-limit"].as<bool>()},
      .load_lag = std::chrono::milliseconds(values["load-lag-ms"].as<int>()),
      .crash_mark = values["crash-mark"].as<std::string>(),
      .seed = values["seed"].as<std::uint64_t>()};
}

}  // namespace

int main(int argc, char** argv) {
  const po::options_description options = Options();
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
  // One thread, so that the engine needs no locks.
  boost::asio::io_context context(1);
  engine::Engine engine(context, ReadOptions(*values));
  const auto server = transport::HttpServer::Listen(
      context, {.endpoint = *endpoint},
      [&](const engine::Exchange& exchange) { engine.Handle(exchange); });
  if (!server.ok()) {
    fmt::print(stderr, "{}\n", shallotbeam::common::MessageOf(server.status()));
    return runtime::kExitFailure;
  }
  context.run();
  return runtime::kExitOk;
}
