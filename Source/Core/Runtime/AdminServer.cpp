#include "Runtime/AdminServer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace shallotbeam::runtime {

namespace {

using nlohmann::json;
using transport::HttpResponse;

HttpResponse ToResponse(const json& body) {
  HttpResponse response;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = body.dump(2) + "\n";
  return response;
}

json TrafficToJson(const transport::TrafficCount& control) {
  return {{"messages_sent", control.messages_sent},
          {"bytes_sent", control.bytes_sent},
          {"messages_received", control.messages_received},
          {"bytes_received", control.bytes_received},
          {"messages_dropped", control.messages_dropped}};
}

json SharesToJson(const fairness::ShareLedger& ledger) {
  json shares = json::array();
  for (const auto& [key, share] : ledger.shares) {
    shares.push_back({{"pool", key.first.value},
                      {"workspace", key.second.value},
                      {"weight", share.weight},
                      {"net_service", share.net_service},
                      {"virtual_time", fairness::VirtualTime(ledger, key)}});
  }
  return shares;
}

}  // namespace

absl::StatusOr<std::shared_ptr<transport::HttpServer>> ListenAdmin(
    boost::asio::io_context& context, const common::Endpoint& endpoint,
    StatusHandler on_status) {
  return transport::HttpServer::Listen(
      context, {.endpoint = endpoint},
      [on_status = std::move(on_status)](
          std::shared_ptr<transport::HttpExchange> exchange) {
        const std::string& target = exchange->Request().target;
        if (target == "/status" || target == "/readyz" ||
            target == "/metrics") {
          return on_status(std::move(exchange));
        }
        const int status = target == "/livez" ? 200 : 404;
        exchange->Send({.status = status, .headers = {}, .body = "\n"});
      });
}

HttpResponse MetricsResponse(std::string text) {
  HttpResponse response;
  response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
  response.body = std::move(text);
  return response;
}

HttpResponse RouterStatus(const routing::RouterState& state,
                          common::TimePoint now,
                          const transport::TrafficCount& control) {
  json agents = json::array();
  for (const auto& [name, agent] : state.agents.agents) {
    agents.push_back({{"name", name.value},
                      {"pool", agent.pool.value},
                      {"upstream", agent.upstream.value},
                      {"alive", agent.alive},
                      {"leaving", agent.leaving},
                      {"free_slots", agent.free_slots},
                      {"in_flight", agent.in_flight.size()}});
  }
  json queues = json::array();
  for (const auto& [pool, pool_state] : state.pools) {
    for (const auto& it : routing::SummariseDemand(pool_state.queue, now)) {
      queues.push_back({{"pool", pool.value},
                        {"workspace", it.workspace.value},
                        {"waiting", it.waiting},
                        {"oldest_wait_ms", it.oldest_wait.count()}});
    }
  }
  return ToResponse({{"name", state.options.name.value},
                     {"role", "router"},
                     {"config_version", common::ToNumber(state.config.version)},
                     {"requests", state.requests.size()},
                     {"draining", state.draining},
                     {"agents", agents},
                     {"queues", queues},
                     {"control", TrafficToJson(control)},
                     {"shares", SharesToJson(state.ledger)}});
}

HttpResponse AgentStatus(const admission::AgentState& state,
                         const transport::TrafficCount& control) {
  return ToResponse({{"name", state.options.name.value},
                     {"role", "agent"},
                     {"config_version", common::ToNumber(state.config.version)},
                     {"running", state.running.size()},
                     {"waiting", state.waiting.size()},
                     {"slots", admission::SlotLimit(state.limit)},
                     {"upstream_up", state.upstream_up},
                     {"draining", state.draining},
                     {"routers", state.routers.size()},
                     {"control", TrafficToJson(control)},
                     {"shares", SharesToJson(state.ledger)}});
}

void AddConfigReport(const ConfigReport& report, HttpResponse* status) {
  const ConfigHolder& config = report.config;
  json body = json::parse(status->body, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) return;
  json processes = json::array();
  for (const auto& [name, peer] : report.peers.direct_peers) {
    const auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(
        report.now - peer.last_heard);
    processes.push_back(
        {{"name", name.value},
         {"role", peer.role == protocol::Role::kRouter ? "router" : "agent"},
         {"data_centre", peer.data_centre.value},
         {"config_version", common::ToNumber(peer.config_version)},
         {"silent_ms", silent.count()}});
  }
  body["data_centre"] = report.data_centre.value;
  body["ready"] = report.ready;
  body["config_rejected"] = {
      {"version", common::ToNumber(config.RejectedVersion())},
      {"cause", config.RejectedVersion() == common::ConfigVersion::kNone
                    ? ""
                    : config.RejectionCause()}};
  body["processes"] = std::move(processes);
  status->body = body.dump(2) + "\n";
}

HttpResponse ReadyResponse(const ConfigHolder& config, bool ready,
                           bool draining) {
  constexpr int kServiceUnavailable = 503;
  if (ready && !draining) return {.headers = {}, .body = "ready\n"};
  std::string cause = "listening to peers";
  if (config.Version() == common::ConfigVersion::kNone) {
    cause = "no_configuration";
  }
  if (draining) cause = "draining";
  return {.status = kServiceUnavailable, .headers = {}, .body = cause + "\n"};
}

}  // namespace shallotbeam::runtime
