#include "PlatformStandIn/Platform.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"

namespace shallotbeam::testtools {

namespace {

using nlohmann::json;
using Exchange = std::shared_ptr<transport::HttpExchange>;

void SendJson(const Exchange& exchange, const json& body) {
  exchange->Send({.status = 200,
                  .headers = {{"Content-Type", "application/json"}},
                  .body = body.dump()});
}

void SendStatus(const Exchange& exchange, int status) {
  exchange->Send({.status = status, .headers = {}, .body = ""});
}

// Reads a 64-bit number, which the etcd gateway accepts as a JSON string or
// number. Returns 0 if it is missing or malformed.
std::uint64_t ReadNumber(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end()) return 0;
  if (it->is_number_unsigned()) return it->get<std::uint64_t>();
  std::uint64_t number = 0;
  if (!it->is_string() || !absl::SimpleAtoi(it->get<std::string>(), &number)) {
    return 0;
  }
  return number;
}

}  // namespace

void Platform::Handle(const Exchange& exchange) {
  const std::string& target = exchange->Request().target;
  const json request = json::parse(exchange->Request().body, nullptr, false);
  const bool is_post = exchange->Request().method == "POST";
  if (target == "/faults") return SetFaults(exchange, request);
  if (target == "/hosts" && is_post) return SetHosts(exchange, request);
  if (target == "/calls") {
    return SendJson(exchange, {{"reads", calls_["/v3/kv/range"]},
                               {"writes", calls_["/v3/kv/txn"]},
                               {"paths", calls_}});
  }
  ++calls_[target];
  // Simulates an outage: no response, so that the caller runs into its own
  // timeout.
  if (faults_.down) {
    held_.push_back(exchange);
    return;
  }
  if (faults_.delay_ms == 0) return ProcessCall(exchange, request);
  RunAfter(faults_.delay_ms,
           [this, exchange, request] { ProcessCall(exchange, request); });
}

void Platform::ProcessCall(const Exchange& exchange, const json& request) {
  static const std::map<std::string, Handler> handlers = {
      {"/v3/kv/range", &Platform::Range},
      {"/v3/kv/txn", &Platform::Transact},
      {"/v3/lease/grant", &Platform::GrantLease},
      {"/v3/lease/keepalive", &Platform::KeepLeaseAlive},
      {"/v3/lease/revoke", &Platform::RevokeLease},
      {"/v3/watch", &Platform::Watch}};
  const std::string& target = exchange->Request().target;
  if (target == "/hosts") return SendJson(exchange, hosts_);
  const auto it = handlers.find(target);
  if (it == handlers.end()) return SendStatus(exchange, 404);
  if (!request.is_object()) return SendStatus(exchange, 400);
  (this->*it->second)(exchange, request);
}

void Platform::SetFaults(const Exchange& exchange, const json& request) {
  if (!request.is_object()) return SendStatus(exchange, 400);
  faults_.down = request.value("down", faults_.down);
  faults_.lose_answers = request.value("lose_answers", faults_.lose_answers);
  faults_.delay_ms = request.value("delay_ms", faults_.delay_ms);
  faults_.host_lag_ms = request.value("host_lag_ms", faults_.host_lag_ms);
  if (!faults_.down) held_.clear();
  SendJson(exchange, {{"down", faults_.down},
                      {"lose_answers", faults_.lose_answers},
                      {"delay_ms", faults_.delay_ms},
                      {"host_lag_ms", faults_.host_lag_ms}});
}

void Platform::SetHosts(const Exchange& exchange, const json& request) {
  if (!request.is_array()) return SendStatus(exchange, 400);
  const auto publish = [this, request] { hosts_ = request; };
  if (faults_.host_lag_ms == 0) {
    publish();
  } else {
    RunAfter(faults_.host_lag_ms, publish);
  }
  SendJson(exchange, json::object());
}

void Platform::Range(const Exchange& exchange, const json& request) {
  SendJson(exchange, RangeResponse(request.value("key", "")));
}

void Platform::Transact(const Exchange& exchange, const json& request) {
  const json& compare = request.at("compare").at(0);
  const std::string key = compare.value("key", "");
  const std::uint64_t expected = ReadNumber(compare, "mod_revision");
  const auto it = entries_.find(key);
  const std::uint64_t found = it == entries_.end() ? 0 : it->second.revision;
  const bool succeeded = found == expected;
  if (succeeded) Put(key, request.at("success").at(0).at("request_put"));
  if (faults_.lose_answers) {
    held_.push_back(exchange);
    return;
  }
  json response = {{"header", ResponseHeader()}, {"succeeded", succeeded}};
  if (!succeeded) {
    response["responses"] =
        json::array({{{"response_range", RangeResponse(key)}}});
  }
  SendJson(exchange, response);
}

void Platform::GrantLease(const Exchange& exchange, const json& request) {
  const std::uint64_t id = next_lease_++;
  leases_[id] = {.ttl_seconds =
                     static_cast<std::int64_t>(ReadNumber(request, "TTL"))};
  RestartLeaseTimer(id);
  SendJson(exchange, {{"header", ResponseHeader()},
                      {"ID", std::to_string(id)},
                      {"TTL", std::to_string(leases_[id].ttl_seconds)}});
}

void Platform::KeepLeaseAlive(const Exchange& exchange, const json& request) {
  const std::uint64_t id = ReadNumber(request, "ID");
  json result = {{"header", ResponseHeader()}, {"ID", std::to_string(id)}};
  if (leases_.count(id) != 0) {
    RestartLeaseTimer(id);
    result["TTL"] = std::to_string(leases_[id].ttl_seconds);
  }
  SendJson(exchange, {{"result", result}});
}

void Platform::RevokeLease(const Exchange& exchange, const json& request) {
  const std::uint64_t id = ReadNumber(request, "ID");
  if (leases_.count(id) == 0) return SendStatus(exchange, 404);
  RemoveLease(id);
  SendJson(exchange, {{"header", ResponseHeader()}});
}

void Platform::Watch(const Exchange& exchange, const json& request) {
  const json create = request.value("create_request", json::object());
  const std::string key = create.value("key", "");
  const std::uint64_t start = ReadNumber(create, "start_revision");
  exchange->StartStream({.status = 200,
                         .headers = {{"Content-Type", "application/json"}},
                         .body = ""});
  const json created = {
      {"result", {{"header", ResponseHeader()}, {"created", true}}}};
  exchange->Write(created.dump() + "\n", [] {});
  watchers_.push_back({.key = key, .exchange = exchange});
  const std::weak_ptr<transport::HttpExchange> watched = exchange;
  exchange->OnClientDisconnected([this, watched] {
    std::erase_if(watchers_, [&](const Watcher& it) {
      return it.exchange == watched.lock();
    });
  });
  const auto it = entries_.find(key);
  if (it == entries_.end() || start == 0) return;
  if (it->second.revision < start) return;
  exchange->Write(WatchEvent(key).dump() + "\n", [] {});
}

void Platform::Put(const std::string& key, const json& put) {
  entries_[key] = {.value = put.value("value", ""),
                   .revision = ++revision_,
                   .lease = ReadNumber(put, "lease")};
  NotifyWatchers(key);
}

void Platform::RestartLeaseTimer(std::uint64_t id) {
  Lease& lease = leases_[id];
  const std::uint64_t generation = ++lease.generation;
  RunAfter(static_cast<int>(lease.ttl_seconds) * 1000, [this, id, generation] {
    const auto it = leases_.find(id);
    if (it == leases_.end() || it->second.generation != generation) return;
    RemoveLease(id);
  });
}

void Platform::RemoveLease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> removed;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == id) removed.push_back(key);
  }
  for (const std::string& key : removed) {
    entries_.erase(key);
    ++revision_;
    NotifyWatchers(key);
  }
}

void Platform::NotifyWatchers(const std::string& key) {
  for (const Watcher& it : watchers_) {
    if (it.key == key) it.exchange->Write(WatchEvent(key).dump() + "\n", [] {});
  }
}

void Platform::RunAfter(int ms, std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(ms));
  timer->async_wait([timer, action = std::move(action)](const auto& ec) {
    if (!ec) action();
  });
}

json Platform::RangeResponse(const std::string& key) const {
  json result = {{"header", ResponseHeader()}};
  const auto it = entries_.find(key);
  if (it == entries_.end()) return result;
  result["kvs"] =
      json::array({{{"key", key},
                    {"value", it->second.value},
                    {"mod_revision", std::to_string(it->second.revision)}}});
  return result;
}

json Platform::WatchEvent(const std::string& key) const {
  json range = RangeResponse(key);
  json event = {
      {"kv", {{"key", key}, {"mod_revision", std::to_string(revision_)}}}};
  if (range.contains("kvs")) {
    event["kv"] = range["kvs"][0];
  } else {
    event["type"] = "DELETE";
  }
  return {{"result",
           {{"header", ResponseHeader()}, {"events", json::array({event})}}}};
}

json Platform::ResponseHeader() const {
  return {{"revision", std::to_string(revision_)}};
}

struct PlatformServer::State {
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work = boost::asio::make_work_guard(context);
  Platform platform{context};
  std::shared_ptr<transport::HttpServer> server;
  std::thread thread;
};

PlatformServer::PlatformServer() : state_(std::make_unique<State>()) {
  auto server = transport::HttpServer::Listen(
      state_->context, {.endpoint = {"127.0.0.1", 0}},
      [platform = &state_->platform](const Exchange& exchange) {
        platform->Handle(exchange);
      });
  if (!server.ok()) std::abort();
  state_->server = *std::move(server);
  state_->thread =
      std::thread([context = &state_->context] { context->run(); });
}

PlatformServer::~PlatformServer() {
  state_->context.stop();
  state_->thread.join();
}

common::Endpoint PlatformServer::Address() const {
  return {"127.0.0.1", state_->server->Port()};
}

}  // namespace shallotbeam::testtools
