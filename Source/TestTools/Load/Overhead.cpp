#include "Load/Overhead.h"

#include <boost/asio/io_context.hpp>
#include <functional>

#include "Load/Generator.h"
#include "Load/Measures.h"
#include "Runtime/HeaderNames.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::load {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Direct and routed rounds alternate, so that noise affects both equally.
constexpr int kRounds = 10;
constexpr milliseconds kRoundLength{500};
constexpr int kConcurrent = 64;
constexpr milliseconds kTimeout{5000};

Experiment OverheadExperiment() {
  Experiment experiment;
  experiment.fleet.routers = 1;
  experiment.fleet.pools = {
      {.pool = "plain", .agents = 1, .engine = {{"call-ms", "0"}}}};
  experiment.fleet.log = "warning";
  experiment.config = {
      {"pools",
       {{"plain",
         {{"type", "plain"}, {"initial_slots", 128}, {"max_slots", 128}}}}},
      {"kinds",
       {{"call",
         {{"pool", "plain"},
          {"upstream_path", "/v1/call"},
          {"max_queued", 10'000}}}}},
      {"workspaces", {{"w", {{"weight", 1}, {"kinds", {"call"}}}}}}};
  return experiment;
}

struct CallStats {
  std::vector<double> latencies_ms;
  int failed = 0;
  double seconds = 0;
};

// Sends stats in a closed loop for kRoundLength, `concurrent` at a time.
void CallRepeatedly(const common::Endpoint& endpoint, const std::string& target,
                    int concurrent, CallStats* stats) {
  boost::asio::io_context context(1);
  transport::HttpClient client(context);
  const Clock::time_point start = Clock::now();
  int sequence = 0;
  std::function<void()> next = [&] {
    const Clock::time_point sent = Clock::now();
    if (sent - start >= kRoundLength) return;
    transport::HttpRequest request{.method = "POST", .target = target};
    for (const auto& [name, value] :
         {std::pair(runtime::kWorkspaceHeader, "w"),
          std::pair(runtime::kKindHeader, "call")}) {
      request.headers.set(boost::beast::string_view(name.data(), name.size()),
                          value);
    }
    request.body = json({{"n", sequence++}}).dump();
    client.Fetch(
        endpoint, std::move(request), kTimeout,
        [&, sent](transport::CallEnd, const transport::HttpResponse& response) {
          if (response.status == 200) {
            stats->latencies_ms.push_back(
                std::chrono::duration<double, std::milli>(Clock::now() - sent)
                    .count());
          } else {
            ++stats->failed;
          }
          next();
        });
  };
  for (int i = 0; i < concurrent; ++i) next();
  context.run();
  stats->seconds += std::chrono::duration<double>(Clock::now() - start).count();
}

json ToJson(const CallStats& stats) {
  return {{"calls", stats.latencies_ms.size()},
          {"failed", stats.failed},
          {"per_second",
           static_cast<double>(stats.latencies_ms.size()) / stats.seconds},
          {"p50_ms", Percentile(stats.latencies_ms, 0.50)},
          {"p99_ms", Percentile(stats.latencies_ms, 0.99)}};
}

}  // namespace

absl::StatusOr<json> MeasureOverhead(const FleetOptions& options) {
  const auto fleet = Fleet::Start(OverheadExperiment(), options);
  if (!fleet.ok()) return fleet.status();
  const common::Endpoint router = (*fleet)->OfRole("router").front()->http;
  const common::Endpoint engine = (*fleet)->OfRole("engine").front()->http;
  json result;
  for (const auto& [name, concurrent] :
       {std::pair("one_at_a_time", 1), std::pair("concurrent", kConcurrent)}) {
    CallStats direct;
    CallStats routed;
    for (int i = 0; i < kRounds; ++i) {
      CallRepeatedly(engine, "/v1/call", concurrent, &direct);
      CallRepeatedly(router, "/v1/requests", concurrent, &routed);
    }
    const json direct_json = ToJson(direct);
    const json routed_json = ToJson(routed);
    const auto ratio = [&](const char* key) {
      return routed_json[key].get<double>() / direct_json[key].get<double>();
    };
    result[name] = {
        {"concurrent", concurrent},
        {"direct", direct_json},
        {"routed", routed_json},
        {"median_added_ms", routed_json["p50_ms"].get<double>() -
                                direct_json["p50_ms"].get<double>()},
        {"median_ratio", ratio("p50_ms")},
        {"per_second_ratio", ratio("per_second")}};
  }
  return result;
}

}  // namespace shallotbeam::load
