#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "Common/StatusText.h"
#include "Runtime/CommandLine.h"
#include "Transport/HttpServer.h"
#include "absl/strings/numbers.h"

// Stand-in for the platform: the JSON gateway of etcd v3 (range and txn with
// one comparison) and switches for faults at POST /faults.
namespace {

namespace po = boost::program_options;
namespace runtime = shallotbeam::runtime;
namespace transport = shallotbeam::transport;
using nlohmann::json;
using Exchange = std::shared_ptr<transport::HttpExchange>;

struct Entry {
  std::string value;  // in base64, as sent
  std::uint64_t revision = 0;
};

struct Faults {
  bool down = false;          // no answer, no effect
  bool lose_answers = false;  // writes take effect but get no answer
  int delay_ms = 0;
};

class Platform {
 public:
  explicit Platform(boost::asio::io_context& context) : context_(context) {}

  void Handle(const Exchange& exchange) {
    const std::string& target = exchange->Request().target;
    const json request = json::parse(exchange->Request().body, nullptr, false);
    if (target == "/faults") return SetFaults(exchange, request);
    if (target == "/calls") {
      return Answer(exchange, {{"reads", reads_}, {"writes", writes_}});
    }
    // A caller of a store that is down waits for its own timeout.
    if (faults_.down) {
      held_.push_back(exchange);
      return;
    }
    if (faults_.delay_ms == 0) return Serve(exchange, request);
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, std::chrono::milliseconds(faults_.delay_ms));
    timer->async_wait([this, timer, exchange, request](const auto&) {
      Serve(exchange, request);
    });
  }

 private:
  void Serve(const Exchange& exchange, const json& request) {
    const std::string& target = exchange->Request().target;
    if (target == "/v3/kv/range") return Range(exchange, request);
    if (target == "/v3/kv/txn") return Transact(exchange, request);
    exchange->Send({.status = 404, .headers = {}, .body = ""});
  }

  void SetFaults(const Exchange& exchange, const json& request) {
    faults_.down = request.value("down", faults_.down);
    faults_.lose_answers = request.value("lose_answers", faults_.lose_answers);
    faults_.delay_ms = request.value("delay_ms", faults_.delay_ms);
    if (!faults_.down) held_.clear();
    Answer(exchange, {{"down", faults_.down},
                      {"lose_answers", faults_.lose_answers},
                      {"delay_ms", faults_.delay_ms}});
  }

  json RangeOf(const std::string& key) const {
    const auto it = entries_.find(key);
    json result = {{"header", {{"revision", std::to_string(revision_)}}}};
    if (it == entries_.end()) return result;
    result["kvs"] =
        json::array({{{"key", key},
                      {"value", it->second.value},
                      {"mod_revision", std::to_string(it->second.revision)}}});
    return result;
  }

  void Range(const Exchange& exchange, const json& request) {
    ++reads_;
    Answer(exchange, RangeOf(request.value("key", "")));
  }

  void Transact(const Exchange& exchange, const json& request) {
    ++writes_;
    const json& compare = request["compare"][0];
    const std::string key = compare.value("key", "");
    std::uint64_t expected = 0;
    if (!absl::SimpleAtoi(compare.value("mod_revision", "0"), &expected)) {
      return exchange->Send({.status = 400, .headers = {}, .body = ""});
    }
    const auto it = entries_.find(key);
    const std::uint64_t found = it == entries_.end() ? 0 : it->second.revision;
    if (found == expected) {
      const json& put = request["success"][0]["request_put"];
      entries_[key] = {.value = put.value("value", ""),
                       .revision = ++revision_};
    }
    if (faults_.lose_answers) {
      held_.push_back(exchange);
      return;
    }
    json answer = {{"header", {{"revision", std::to_string(revision_)}}},
                   {"succeeded", found == expected}};
    if (found != expected) {
      answer["responses"] = json::array({{{"response_range", RangeOf(key)}}});
    }
    Answer(exchange, answer);
  }

  static void Answer(const Exchange& exchange, const json& body) {
    exchange->Send({.status = 200,
                    .headers = {{"Content-Type", "application/json"}},
                    .body = body.dump()});
  }

  boost::asio::io_context& context_;
  std::map<std::string, Entry> entries_;
  std::uint64_t revision_ = 1;
  Faults faults_;
  std::vector<Exchange> held_;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace

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
  Platform platform(context);
  const auto server = transport::HttpServer::Listen(
      context, {.endpoint = *endpoint},
      [&](const Exchange& exchange) { platform.Handle(exchange); });
  if (!server.ok()) {
    fmt::print(stderr, "{}\n", shallotbeam::common::MessageOf(server.status()));
    return runtime::kExitFailure;
  }
  context.run();
  return runtime::kExitOk;
}
