#include "SchedulerRuntime/SchedulerMetrics.h"

#include "Runtime/MetricsPage.h"

namespace shallotbeam::scheduler_runtime {

const char* ToString(common::OfferDecision decision) {
  switch (decision) {
    case common::OfferDecision::kStart:
      return "start";
    case common::OfferDecision::kQueued:
      return "queued";
    case common::OfferDecision::kDeclined:
      return "declined";
  }
  return "";
}

SchedulerMetrics::SchedulerMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      replies_(prometheus::BuildCounter()
                   .Name("shallotbeam_scheduler_replies_total")
                   .Help("Replies to offers, by verdict")
                   .Register(*registry_)),
      served_(runtime::AddGauge(*registry_, "shallotbeam_scheduler_served",
                                "Tokens of service given, by workspace")),
      state_(runtime::AddGauge(*registry_, "shallotbeam_scheduler",
                               "State of this scheduler and its engine")) {}

void SchedulerMetrics::CountReply(common::OfferDecision decision) {
  replies_.Add({{"verdict", ToString(decision)}}).Increment();
}

void SchedulerMetrics::Update(const scheduling::EngineScheduler& scheduler,
                              common::TimePoint now, std::size_t gateways) {
  const auto set = [this](const char* item, double value) {
    runtime::SetGaugeItem(state_, item, value);
  };
  const auto wait = scheduling::ExpectedWait(scheduler, now, {});
  set("slots", scheduler.spec.slots);
  set("occupied", scheduling::OccupiedSlots(scheduler));
  set("waiting", static_cast<double>(scheduler.waiting.size()));
  set("expected_wait_seconds", std::chrono::duration<double>(wait).count());
  set("cached_tokens", scheduler.cache.Tokens());
  set("nanoseconds_per_token",
      scheduling::NanosecondsPerToken(scheduler.prefill_rate));
  set("reading_share", scheduler.prefill_share.share);
  set("gateways", static_cast<double>(gateways));
  for (const auto& [workspace, tokens] : scheduler.service) {
    served_.Add({{"workspace", workspace.value}}).Set(tokens.served);
  }
}

std::string SchedulerMetrics::Text() const {
  return runtime::MetricsText(*registry_);
}

}  // namespace shallotbeam::scheduler_runtime
