#include "Load/BaselineProxy.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "Runtime/HeaderNames.h"

namespace shallotbeam::load {

namespace {

using nlohmann::json;
using transport::CallEnd;
using transport::HeaderOf;

constexpr std::chrono::seconds kTimeout{60};

}  // namespace

std::optional<Policy> ParsePolicy(std::string_view text) {
  if (text == "first-come-first-served") return Policy::kFirstComeFirstServed;
  if (text == "least-loaded") return Policy::kLeastLoaded;
  if (text == "round-robin") return Policy::kRoundRobin;
  return std::nullopt;
}

BaselineProxy::BaselineProxy(Policy policy, const config::FleetConfig& config)
    : policy_(policy), config_(config) {}

absl::StatusOr<std::unique_ptr<BaselineProxy>> BaselineProxy::Start(
    const common::Endpoint& endpoint, Policy policy,
    const config::FleetConfig& config,
    const std::map<std::string, std::vector<common::Endpoint>>& engines) {
  std::unique_ptr<BaselineProxy> proxy(new BaselineProxy(policy, config));
  for (const auto& [name, endpoints] : engines) {
    Pool& pool = proxy->pools_[name];
    const auto it = config.pools.find(common::PoolName(name));
    if (it != config.pools.end()) pool.slots = it->second.initial_slots;
    for (const common::Endpoint& engine : endpoints) {
      pool.engines.push_back({.endpoint = engine});
    }
  }
  auto server = transport::HttpServer::Listen(
      proxy->context_, {.endpoint = endpoint},
      [self = proxy.get()](const Exchange& exchange) {
        self->Handle(exchange);
      });
  if (!server.ok()) return server.status();
  proxy->server_ = *std::move(server);
  proxy->thread_ = std::thread([self = proxy.get()] { self->context_.run(); });
  return proxy;
}

BaselineProxy::~BaselineProxy() {
  context_.stop();
  if (thread_.joinable()) thread_.join();
}

void BaselineProxy::Handle(const Exchange& exchange) {
  const transport::HttpRequest& request = exchange->Request();
  if (request.target == "/status") return SendStatus(exchange);
  const auto kind = config_.kinds.find(
      common::KindName(HeaderOf(request, runtime::kKindHeader)));
  if (kind == config_.kinds.end()) {
    return exchange->Send({.status = 404, .headers = {}, .body = ""});
  }
  auto job = std::make_shared<Job>();
  job->exchange = exchange;
  job->arrived = std::chrono::steady_clock::now();
  job->workspace = HeaderOf(request, runtime::kWorkspaceHeader);
  job->path = kind->second.upstream_path;
  job->pool = kind->second.pool.value;
  exchange->OnClientDisconnected([this, job] {
    if (job->call != nullptr) job->call->Cancel();
    FinishJob(job);
  });
  Pool& pool = pools_[job->pool];
  pool.queue.push_back(job);
  DispatchQueued(pool);
}

void BaselineProxy::SendStatus(const Exchange& exchange) {
  const auto now = std::chrono::steady_clock::now();
  json queues = json::array();
  for (const auto& [name, pool] : pools_) {
    std::map<std::string, std::pair<int, std::int64_t>> queued;
    for (const JobPtr& it : pool.queue) {
      auto& [count, oldest_ms] = queued[it->workspace];
      const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - it->arrived);
      ++count;
      oldest_ms = std::max(oldest_ms, std::int64_t{wait.count()});
    }
    for (const auto& [workspace, it] : queued) {
      queues.push_back({{"pool", name},
                        {"workspace", workspace},
                        {"waiting", it.first},
                        {"oldest_wait_ms", it.second}});
    }
  }
  exchange->Send({.status = 200,
                  .headers = {},
                  .body = json({{"queues", queues}}).dump()});
}

void BaselineProxy::DispatchQueued(Pool& pool) {
  while (!pool.queue.empty()) {
    Engine* engine = PickEngine(pool);
    if (engine == nullptr) return;
    const JobPtr job = pool.queue.front();
    pool.queue.pop_front();
    if (job->ended) continue;
    job->engine = engine;
    ++engine->in_flight;
    Forward(job);
  }
}

BaselineProxy::Engine* BaselineProxy::PickEngine(Pool& pool) const {
  if (pool.engines.empty()) return nullptr;
  if (policy_ == Policy::kRoundRobin) {
    return &pool.engines[pool.next_engine++ % pool.engines.size()];
  }
  const auto least_loaded = std::min_element(
      pool.engines.begin(), pool.engines.end(),
      [](const auto& a, const auto& b) { return a.in_flight < b.in_flight; });
  const bool full = policy_ == Policy::kFirstComeFirstServed &&
                    least_loaded->in_flight >= pool.slots;
  return full ? nullptr : &*least_loaded;
}

void BaselineProxy::Forward(const JobPtr& job) {
  const transport::HttpRequest& source = job->exchange->Request();
  transport::HttpRequest request{.method = "POST", .target = job->path};
  for (const std::string_view name :
       {runtime::kWorkspaceHeader, runtime::kIdempotencyKeyHeader}) {
    const std::string value = HeaderOf(source, name);
    if (value.empty()) continue;
    request.headers.set(boost::beast::string_view(name.data(), name.size()),
                        value);
  }
  request.body = source.body;
  job->call = client_.Start(
      job->engine->endpoint, std::move(request), kTimeout,
      {.on_head =
           [job](const transport::ResponseHead& head) {
             job->response.status = head.status;
             job->streamed = head.chunked;
             if (job->streamed) job->exchange->StartStream(job->response);
           },
       .on_body =
           [job](std::string piece, std::function<void()> resume) {
             if (job->streamed) {
               job->exchange->Write(std::move(piece), std::move(resume));
               return true;
             }
             job->response.body += piece;
             resume();
             return true;
           },
       .on_end = [this, job](CallEnd end) { OnEnd(job, end); }});
}

void BaselineProxy::OnEnd(const JobPtr& job, CallEnd end) {
  job->call = nullptr;
  if (end != CallEnd::kComplete) {
    job->exchange->Fail({.status = 502, .headers = {}, .body = ""}, "");
  } else if (job->streamed) {
    job->exchange->Finish();
  } else {
    job->exchange->Send(job->response);
  }
  FinishJob(job);
}

void BaselineProxy::FinishJob(const JobPtr& job) {
  if (job->ended) return;
  job->ended = true;
  if (job->engine == nullptr) return;  // DispatchQueued() skips it in the queue
  --job->engine->in_flight;
  DispatchQueued(pools_[job->pool]);
}

}  // namespace shallotbeam::load
