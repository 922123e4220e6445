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
    Take();
    Start();
  });
}

void Sampler::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void Sampler::Take() {
  auto round = std::make_shared<Round>();
  round->sample.taken = Clock::now();
  round->sample.phase = phase_;
  for (const common::Endpoint& it : target_.queues) {
    Ask(round, it, "/status", [round](const json& status) {
      for (const json& queue : status["queues"]) {
        const auto& pool = queue["pool"].get_ref<const std::string&>();
        const auto& name = queue["workspace"].get_ref<const std::string&>();
        Waiting& waiting = round->sample.waiting[pool][name];
        waiting.requests += queue.value("waiting", 0);
        waiting.oldest = std::max(
            waiting.oldest,
            std::chrono::milliseconds(queue.value("oldest_wait_ms", 0)));
      }
    });
  }
  for (const auto& it : target_.engines) AskEngine(round, it);
}

void Sampler::AskEngine(const std::shared_ptr<Round>& round,
                        const SampleTarget::EngineTarget& target) {
  const std::string& name = target.name;
  round->sample.engines[name].slots = target.fixed_slots;
  Ask(round, target.engine, "/counts", [round, name](const json& counts) {
    EngineReading& reading = round->sample.engines[name];
    reading.taken = Clock::now();
    reading.running_ms = counts.value("running_ms", 0.0);
    reading.batch_ms = counts.value("batch_ms", 0.0);
    reading.batch = counts.value("batch", 0);
    reading.service = counts.value("service", std::map<std::string, double>());
  });
  if (target.agent_admin.port == 0) return;
  Ask(round, target.agent_admin, "/status", [round, name](const json& status) {
    round->sample.engines[name].slots = status.value("slots", 0);
  });
}

void Sampler::Ask(const std::shared_ptr<Round>& round,
                  const common::Endpoint& endpoint, const std::string& target,
                  std::function<void(const json&)> on_answer) {
  ++round->open;
  client_.Fetch(
      endpoint, {.method = "GET", .target = target}, kTimeout,
      [this, round, on_answer = std::move(on_answer)](
          transport::CallEnd, const transport::HttpResponse& response) {
        const json answer = json::parse(response.body, nullptr, false);
        if (answer.is_object()) {
          on_answer(answer);
        } else {
          round->failed = true;
        }
        // A round with a gap would look like service that stopped.
        if (--round->open > 0 || round->failed) return;
        samples_.push_back(std::move(round->sample));
      });
}

}  // namespace shallotbeam::load
