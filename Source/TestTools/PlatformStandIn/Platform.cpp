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

void Answer(const Exchange& exchange, const json& body) {
  exchange->Send({.status = 200,
                  .headers = {{"Content-Type", "application/json"}},
                  .body = body.dump()});
}

void Refuse(const Exchange& exchange, int status) {
  exchange->Send({.status = status, .headers = {}, .body = ""});
}

// The gateway accepts 64-bit numbers as strings and as numbers.
std::uint64_t NumberOf(const json& object, const char* key) {
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
    return Answer(exchange, {{"reads", calls_["/v3/kv/range"]},
                             {"writes", calls_["/v3/kv/txn"]},
                             {"paths", calls_}});
  }
  ++calls_[target];
  // A caller of a service that is down waits for its own timeout.
  if (faults_.down) {
    held_.push_back(exchange);
    return;
  }
  if (faults_.delay_ms == 0) return Serve(exchange, request);
  After(faults_.delay_ms,
        [this, exchange, request] { Serve(exchange, request); });
}

void Platform::Serve(const Exchange& exchange, const json& request) {
  static const std::map<std::string, Handler> handlers = {
      {"/v3/kv/range", &Platform::Range},
      {"/v3/kv/txn", &Platform::Transact},
      {"/v3/lease/grant", &Platform::GrantLease},
      {"/v3/lease/keepalive", &Platform::KeepLease},
      {"/v3/lease/revoke", &Platform::RevokeLease},
      {"/v3/watch", &Platform::Watch}};
  const std::string& target = exchange->Request().target;
  if (target == "/hosts") return Answer(exchange, hosts_);
  const auto it = handlers.find(target);
  if (it == handlers.end()) return Refuse(exchange, 404);
  if (!request.is_object()) return Refuse(exchange, 400);
  (this->*it->second)(exchange, request);
}

void Platform::SetFaults(const Exchange& exchange, const json& request) {
  if (!request.is_object()) return Refuse(exchange, 400);
  faults_.down = request.value("down", faults_.down);
  faults_.lose_answers = request.value("lose_answers", faults_.lose_answers);
  faults_.delay_ms = request.value("delay_ms", faults_.delay_ms);
  faults_.host_lag_ms = request.value("host_lag_ms", faults_.host_lag_ms);
  if (!faults_.down) held_.clear();
  Answer(exchange, {{"down", faults_.down},
                    {"lose_answers", faults_.lose_answers},
                    {"delay_ms", faults_.delay_ms},
                    {"host_lag_ms", faults_.host_lag_ms}});
}

void Platform::SetHosts(const Exchange& exchange, const json& request) {
  if (!request.is_array()) return Refuse(exchange, 400);
  const auto publish = [this, request] { hosts_ = request; };
  if (faults_.host_lag_ms == 0) {
    publish();
  } else {
    After(faults_.host_lag_ms, publish);
  }
  Answer(exchange, json::object());
}

void Platform::Range(const Exchange& exchange, const json& request) {
  Answer(exchange, RangeOf(request.value("key", "")));
}

void Platform::Transact(const Exchange& exchange, const json& request) {
  const json& compare = request.at("compare").at(0);
  const std::string key = compare.value("key", "");
  const std::uint64_t expected = NumberOf(compare, "mod_revision");
  const auto it = entries_.find(key);
  const std::uint64_t found = it == entries_.end() ? 0 : it->second.revision;
  const bool succeeded = found == expected;
  if (succeeded) Put(key, request.at("success").at(0).at("request_put"));
  if (faults_.lose_answers) {
    held_.push_back(exchange);
    return;
  }
  json answer = {{"header", HeaderOf()}, {"succeeded", succeeded}};
  if (!succeeded) {
    answer["responses"] = json::array({{{"response_range", RangeOf(key)}}});
  }
  Answer(exchange, answer);
}

void Platform::GrantLease(const Exchange& exchange, const json& request) {
  const std::uint64_t id = next_lease_++;
  leases_[id] = {.ttl_seconds =
                     static_cast<std::int64_t>(NumberOf(request, "TTL"))};
  StartLease(id);
  Answer(exchange, {{"header", HeaderOf()},
                    {"ID", std::to_string(id)},
                    {"TTL", std::to_string(leases_[id].ttl_seconds)}});
}

void Platform::KeepLease(const Exchange& exchange, const json& request) {
  const std::uint64_t id = NumberOf(request, "ID");
  json result = {{"header", HeaderOf()}, {"ID", std::to_string(id)}};
  if (leases_.count(id) != 0) {
    StartLease(id);
    result["TTL"] = std::to_string(leases_[id].ttl_seconds);
  }
  Answer(exchange, {{"result", result}});
}

void Platform::RevokeLease(const Exchange& exchange, const json& request) {
  const std::uint64_t id = NumberOf(request, "ID");
  if (leases_.count(id) == 0) return Refuse(exchange, 404);
  EndLease(id);
  Answer(exchange, {{"header", HeaderOf()}});
}

void Platform::Watch(const Exchange& exchange, const json& request) {
  const json create = request.value("create_request", json::object());
  const std::string key = create.value("key", "");
  const std::uint64_t start = NumberOf(create, "start_revision");
  exchange->StartStream({.status = 200,
                         .headers = {{"Content-Type", "application/json"}},
                         .body = ""});
  const json created = {
      {"result", {{"header", HeaderOf()}, {"created", true}}}};
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
  exchange->Write(EventOf(key).dump() + "\n", [] {});
}

void Platform::Put(const std::string& key, const json& put) {
  entries_[key] = {.value = put.value("value", ""),
                   .revision = ++revision_,
                   .lease = NumberOf(put, "lease")};
  Notify(key);
}

void Platform::StartLease(std::uint64_t id) {
  Lease& lease = leases_[id];
  const std::uint64_t generation = ++lease.generation;
  After(static_cast<int>(lease.ttl_seconds) * 1000, [this, id, generation] {
    const auto it = leases_.find(id);
    if (it == leases_.end() || it->second.generation != generation) return;
    EndLease(id);
  });
}

void Platform::EndLease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> removed;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == id) removed.push_back(key);
  }
  for (const std::string& key : removed) {
    entries_.erase(key);
    ++revision_;
    Notify(key);
  }
}

void Platform::Notify(const std::string& key) {
  for (const Watcher& it : watchers_) {
    if (it.key == key) it.exchange->Write(EventOf(key).dump() + "\n", [] {});
  }
}

void Platform::After(int ms, std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(ms));
  timer->async_wait([timer, action = std::move(action)](const auto& ec) {
    if (!ec) action();
  });
}

json Platform::RangeOf(const std::string& key) const {
  json result = {{"header", HeaderOf()}};
  const auto it = entries_.find(key);
  if (it == entries_.end()) return result;
  result["kvs"] =
      json::array({{{"key", key},
                    {"value", it->second.value},
                    {"mod_revision", std::to_string(it->second.revision)}}});
  return result;
}

json Platform::EventOf(const std::string& key) const {
  json range = RangeOf(key);
  json event = {
      {"kv", {{"key", key}, {"mod_revision", std::to_string(revision_)}}}};
  if (range.contains("kvs")) {
    event["kv"] = range["kvs"][0];
  } else {
    event["type"] = "DELETE";
  }
  return {
      {"result", {{"header", HeaderOf()}, {"events", json::array({event})}}}};
}

json Platform::HeaderOf() const {
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
