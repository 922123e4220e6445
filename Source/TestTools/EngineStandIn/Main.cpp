#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "Common/StatusText.h"
#include "Runtime/CommandLine.h"
#include "Transport/HttpServer.h"

// Stand-in for a model engine (POST /v1/completions, streamed or whole) and for
// a plain service (POST /v1/call).
namespace {

namespace po = boost::program_options;
namespace runtime = shallotbeam::runtime;
namespace transport = shallotbeam::transport;
using nlohmann::json;
using std::chrono::milliseconds;
using Exchange = std::shared_ptr<transport::HttpExchange>;

struct EngineOptions {
  int batch = 16;  // requests that run at full speed at once
  milliseconds first_token{40};
  milliseconds token{5};  // between tokens, up to `batch` requests
  milliseconds call{10};  // of a plain call
};

class Engine {
 public:
  Engine(boost::asio::io_context& context, EngineOptions options)
      : context_(context), options_(options) {}

  void Handle(const Exchange& exchange) {
    const std::string& target = exchange->Request().target;
    if (target == "/health") {
      return exchange->Send({.status = 200, .headers = {}, .body = "ok\n"});
    }
    if (target == "/counts") return SendCounts(exchange);
    if (target == "/v1/completions") return Complete(exchange);
    if (target == "/v1/call") return Call(exchange);
    exchange->Send({.status = 404, .headers = {}, .body = ""});
  }

 private:
  struct Generation {
    Exchange exchange;
    int tokens = 0;
    int sent = 0;
    std::uint64_t prompt_tokens = 0;
    bool stream = false;
    bool ended = false;
    boost::asio::steady_timer timer;
  };

  // Over the batch size all requests slow down together.
  milliseconds TokenTime() const {
    const double load = static_cast<double>(running_) / options_.batch;
    const double factor = std::max(1.0, load);
    return std::chrono::duration_cast<milliseconds>(options_.token * factor);
  }

  void Complete(const Exchange& exchange) {
    const json request = json::parse(exchange->Request().body, nullptr, false);
    if (!request.is_object()) {
      return exchange->Send({.status = 400, .headers = {}, .body = ""});
    }
    const std::string prompt = request.value("prompt", "");
    auto generation = std::make_shared<Generation>(Generation{
        .exchange = exchange,
        .tokens = std::clamp(request.value("max_tokens", 16), 1, 100'000),
        .prompt_tokens = prompt.size() / 4,
        .stream = request.value("stream", false),
        .timer = boost::asio::steady_timer(context_)});
    ++running_;
    ++begun_;
    exchange->OnClientGone([this, generation] { End(*generation); });
    if (generation->stream) {
      exchange->StartStream(
          {.status = 200, .headers = {{"Content-Type", "text/event-stream"}}});
    }
    const auto prefill = milliseconds(generation->prompt_tokens / 100);
    generation->timer.expires_after(options_.first_token + prefill);
    generation->timer.async_wait(
        [this, generation](const auto&) { NextToken(generation); });
  }

  void NextToken(const std::shared_ptr<Generation>& generation) {
    if (generation->ended) return;
    ++generation->sent;
    if (generation->stream) {
      const json event = {{"choices", {{{"text", "tok "}}}}};
      generation->exchange->Write("data: " + event.dump() + "\n\n", nullptr);
    }
    if (generation->sent >= generation->tokens) return Finish(*generation);
    generation->timer.expires_after(TokenTime());
    generation->timer.async_wait(
        [this, generation](const auto&) { NextToken(generation); });
  }

  void Finish(Generation& generation) {
    const json usage = {{"prompt_tokens", generation.prompt_tokens},
                        {"completion_tokens", generation.tokens}};
    if (generation.stream) {
      const json event = {{"choices", json::array()}, {"usage", usage}};
      generation.exchange->Write(
          "data: " + event.dump() + "\n\ndata: [DONE]\n\n", nullptr);
      generation.exchange->Finish();
    } else {
      const json body = {{"choices", {{{"text", "answer"}}}}, {"usage", usage}};
      generation.exchange->Send(
          {.status = 200,
           .headers = {{"Content-Type", "application/json"}},
           .body = body.dump() + "\n"});
    }
    End(generation);
  }

  void End(Generation& generation) {
    if (generation.ended) return;
    generation.ended = true;
    --running_;
  }

  void Call(const Exchange& exchange) {
    ++begun_;
    const std::string key =
        transport::HeaderOf(exchange->Request(), "Idempotency-Key");
    if (!key.empty()) ++runs_by_key_[key];
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(context_, options_.call);
    timer->async_wait([timer, exchange](const auto&) {
      exchange->Send({.status = 200,
                      .headers = {{"Content-Type", "application/json"}},
                      .body = "{\"done\":true}\n"});
    });
  }

  void SendCounts(const Exchange& exchange) {
    const json counts = {{"running", running_},
                         {"begun", begun_},
                         {"runs_by_key", runs_by_key_}};
    exchange->Send({.status = 200,
                    .headers = {{"Content-Type", "application/json"}},
                    .body = counts.dump() + "\n"});
  }

  boost::asio::io_context& context_;
  EngineOptions options_;
  int running_ = 0;
  std::uint64_t begun_ = 0;
  std::map<std::string, int> runs_by_key_;
};

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("Options of shallotbeam-engine-stand-in");
  options.add_options()("help", "print this help")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:9000"),
      "address")("batch", po::value<int>()->default_value(16),
                 "requests that run at full speed at once")(
      "first-token-ms", po::value<int>()->default_value(40),
      "time to the first token")("token-ms", po::value<int>()->default_value(5),
                                 "time between tokens")(
      "call-ms", po::value<int>()->default_value(10), "time of a plain call");
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
  const auto ms = [&](const char* name) {
    return milliseconds((*values)[name].as<int>());
  };
  Engine engine(context, {.batch = (*values)["batch"].as<int>(),
                          .first_token = ms("first-token-ms"),
                          .token = ms("token-ms"),
                          .call = ms("call-ms")});
  const auto server = transport::HttpServer::Listen(
      context, {.endpoint = *endpoint},
      [&](const Exchange& exchange) { engine.Handle(exchange); });
  if (!server.ok()) {
    fmt::print(stderr, "{}\n", shallotbeam::common::MessageOf(server.status()));
    return runtime::kExitFailure;
  }
  context.run();
  return runtime::kExitOk;
}
