#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <memory>
#include <string>

#include "EngineStandIn/Engine.h"
#include "StandIn/Serve.h"

namespace {

namespace po = boost::program_options;
namespace engine = shallotbeam::engine_stand_in;

po::options_description Options() {
  po::options_description options("Options of shallotbeam-engine-stand-in");
  options.add_options()("help", "print this help")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:9000"),
      "address to listen on")(
      "batch", po::value<int>()->default_value(16),
      "number of concurrent requests that run at full speed")(
      "first-token-ms", po::value<double>()->default_value(40),
      "time to the first token, without prefill")(
      "token-ms", po::value<double>()->default_value(5), "time between tokens")(
      "call-ms", po::value<double>()->default_value(10),
      "duration of a plain call")("prefill-tokens-per-ms",
                                  po::value<double>()->default_value(100),
                                  "prompt tokens prefilled per millisecond")(
      "cache-tokens", po::value<std::size_t>()->default_value(200'000),
      "size of the prefix cache in tokens")(
      "max-running", po::value<int>()->default_value(0),
      "maximum number of concurrent requests; 0: no limit")(
      "refuse-over-limit", po::bool_switch(),
      "respond 429 beyond --max-running instead of queueing")(
      "load-lag-ms", po::value<int>()->default_value(500),
      "age of the load that GET /load reports")(
      "crash-mark", po::value<std::string>()->default_value("CRASH-ENGINE"),
      "text in a request that crashes the process")(
      "seed", po::value<std::uint64_t>()->default_value(1),
      "random seed for injected errors")(
      "runs-file", po::value<std::string>()->default_value(""),
      "file that preserves the runs with idempotency keys across restarts");
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
      .crash_marker = values["crash-mark"].as<std::string>(),
      .seed = values["seed"].as<std::uint64_t>(),
      .runs_file = values["runs-file"].as<std::string>()};
}

}  // namespace

int main(int argc, char** argv) {
  return shallotbeam::testtools::ServeStandIn(
      argc, argv, Options(),
      [](boost::asio::io_context& context, const po::variables_map& values)
          -> shallotbeam::transport::HttpServer::Handler {
        const auto stand_in =
            std::make_shared<engine::Engine>(context, ReadOptions(values));
        return [stand_in](const engine::Exchange& exchange) {
          stand_in->Handle(exchange);
        };
      });
}
