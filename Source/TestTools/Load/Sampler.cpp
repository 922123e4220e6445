#include "Load/Sampler.h"

#include <algorithm>
#include <utility>

namespace shallotbeam::load {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kTimeout{400};

}  // namespace

Sampler::Sampler(boost::asio::io_context& context, SampleTarget target)
    : client_(context), target_(std::move(target)), timer_(context) {}

void Sampler::Start() {
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const auto& ec) {
    if (ec || stopped_) return;
    StartRound();
    Start();
  });
}

void Sampler::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void Sampler::StartRound() {
  auto round = std::make_shared<Round>();
  round->sample.taken = Clock::now();
  round->sample.phase = phase_;
  for (const common::Endpoint& it : target_.queues) {
    FetchJson(round, it, "/status", [round](const json& status) {
      for (const json& queue : status["queues"]) {
        const auto& pool = queue["pool"].get_ref<const std::string&>();
        const auto& name = queue["workspace"].get_ref<const std::string&>();
        WaitingRequests& waiting = round->sample.waiting[pool][name];
        waiting.requests += queue.value("waiting", 0);
        waiting.oldest = std::max(
            waiting.oldest,
            std::chrono::milliseconds(queue.value("oldest_wait_ms", 0)));
      }
    });
  }
  for (const auto& it : target_.engines) SampleEngine(round, it);
}

void Sampler::SampleEngine(const std::shared_ptr<Round>& round,
                           const SampleTarget::EngineTarget& target) {
  const std::string& name = target.name;
  round->sample.engines[name].slots = target.fixed_slots;
  FetchJson(round, target.engine, "/counts", [round, name](const json& counts) {
    EngineSample& engine_sample = round->sample.engines[name];
    engine_sample.taken = Clock::now();
    engine_sample.running_ms = counts.value("running_ms", 0.0);
    engine_sample.batch_ms = counts.value("batch_ms", 0.0);
    engine_sample.batch = counts.value("batch", 0);
    engine_sample.service =
        counts.value("service", std::map<std::string, double>());
  });
  if (target.agent_admin.port == 0) return;
  FetchJson(round, target.agent_admin, "/status",
            [round, name](const json& status) {
              round->sample.engines[name].slots = status.value("slots", 0);
            });
}

void Sampler::FetchJson(const std::shared_ptr<Round>& round,
                        const common::Endpoint& endpoint,
                        const std::string& target,
                        std::function<void(const json&)> on_response) {
  ++round->pending;
  client_.Fetch(
      endpoint, {.method = "GET", .target = target}, kTimeout,
      [this, round, on_response = std::move(on_response)](
          transport::CallEnd, const transport::HttpResponse& response) {
        const json document = json::parse(response.body, nullptr, false);
        if (document.is_object()) {
          on_response(document);
        } else {
          round->failed = true;
        }
        // Discard a round with a failed call: the missing data would look as if
        // service had stopped.
        if (--round->pending > 0 || round->failed) return;
        samples_.push_back(std::move(round->sample));
      });
}

}  // namespace shallotbeam::load
