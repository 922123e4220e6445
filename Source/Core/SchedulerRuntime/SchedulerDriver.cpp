#include "SchedulerRuntime/SchedulerDriver.h"

#include <algorithm>
#include <utility>

#include "Common/Logging.h"
#include "Common/StatusText.h"
#include "Wire/Codec.h"

namespace shallotbeam::scheduler_runtime {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;
using std::chrono::milliseconds;

constexpr common::Duration kReportCheckInterval =
    std::chrono::milliseconds(100);
constexpr common::Duration kMetricsInterval = std::chrono::milliseconds(500);

}  // namespace

SchedulerDriver::SchedulerDriver(SchedulerSettings settings,
                                 common::Incarnation incarnation,
                                 SchedulerEnvironment environment)
    : settings_(std::move(settings)),
      incarnation_(incarnation),
      environment_(std::move(environment)),
      started_(environment_.clock.Now()) {
  constexpr double kPercent = 100;
  scheduler_.options.prefill_ahead = settings_.prefill_ahead;
  scheduler_.prefill_share.share = settings_.prefill_share_percent / kPercent;
  scheduler_.options.memory_share = settings_.memory_share_percent / kPercent;
}

template <typename Other>
void SchedulerDriver::HandleMessage(const protocol::SchedulingEnvelope& from,
                                    const Other& /*message*/) {
  Log(Subsystem::kTransport, LogLevel::kWarning,
      "event=message_misdirected sender={}", from.sender.value);
}

void SchedulerDriver::OnControlMessage(std::string_view bytes) {
  const auto envelope = wire::DecodeScheduling(bytes);
  if (!envelope.ok()) {
    Log(Subsystem::kTransport, LogLevel::kWarning,
        "event=message_unreadable cause=\"{}\"",
        common::MessageOf(envelope.status()));
    return;
  }
  std::visit([&](const auto& it) { HandleMessage(*envelope, it); },
             envelope->body);
}

void SchedulerDriver::HandleMessage(
    const protocol::SchedulingEnvelope& from,
    const protocol::GatewayReport& gateway_report) {
  const common::TimePoint now = environment_.clock.Now();
  if (gateways_.count(from.incarnation) == 0) {
    Log(Subsystem::kMembership, LogLevel::kInfo,
        "event=gateway_heard gateway={} control={}", from.sender.value,
        common::ToString(gateway_report.control));
    SendKnownCrashes(gateway_report.control);
  }
  gateways_[from.incarnation] = {.control = gateway_report.control,
                                 .last_heard = now};
  scheduling::OnGatewayAlive(scheduler_, now, from.incarnation);
  for (const protocol::WorkspaceCounters& it : gateway_report.not_offered) {
    scheduling::OnRejectedWithoutOffer(scheduler_, it.workspace, it.requested);
  }
  if (!UpdateEngineIncarnation(gateway_report, now)) return;
  RecordCold(gateway_report);
  scheduling::SetCapacity(scheduler_,
                          {.slots = gateway_report.slots,
                           .memory_tokens = gateway_report.memory_tokens});
  scheduling::Replies replies;
  scheduling::OnRequestsInProgress(scheduler_, now, from.incarnation,
                                   gateway_report.in_progress, &replies);
  SendReplies(replies);
}

bool SchedulerDriver::UpdateEngineIncarnation(
    const protocol::GatewayReport& gateway_report, common::TimePoint now) {
  const bool same = gateway_report.upstream == upstream_ &&
                    gateway_report.upstream_started == upstream_started_;
  const bool newer = gateway_report.upstream_started > upstream_started_;
  const bool expired =
      now - upstream_last_reported_ > scheduler_.options.gateway_timeout;
  if (!same && !newer && !expired) return false;
  upstream_last_reported_ = now;
  if (same) return true;
  Log(Subsystem::kMembership, LogLevel::kInfo,
      "event=engine_incarnation upstream={} started={} slots={}",
      gateway_report.upstream.value, gateway_report.upstream_started,
      gateway_report.slots);
  if (!upstream_.empty()) scheduling::ResetEngine(scheduler_);
  if (!upstream_.empty() && gateway_report.upstream != upstream_) {
    cold_ = {};
    reported_start_.reset();
  }
  // The next report of the engine states its limit again.
  permit_desk_.limits.limits.erase(upstream_);
  scheduling::SetRateLimit(scheduler_, now, std::nullopt);
  limit_in_force_.reset();
  upstream_ = gateway_report.upstream;
  upstream_started_ = gateway_report.upstream_started;
  return true;
}

void SchedulerDriver::HandleMessage(const protocol::SchedulingEnvelope& from,
                                    const protocol::StartOffer& offer) {
  const common::TimePoint now = environment_.clock.Now();
  gateways_[from.incarnation] = {.control = offer.control, .last_heard = now};
  scheduling::OnOfferFrom(counter_reports_, now, from.incarnation);
  common::Prompt prompt = offer.prompt;
  common::ShortenParts(prompt);
  scheduling::Replies replies;
  scheduling::OnOffer(
      scheduler_, now,
      {.id = {.gateway = from.incarnation, .number = offer.number},
       .request_id = offer.request_id,
       .workspace = offer.workspace,
       .prompt = std::move(prompt),
       .priority = offer.priority,
       .within_share = offer.within_share,
       .first = offer.first,
       .fetchable_tokens = offer.fetchable_tokens,
       .time_to_target = offer.time_to_target,
       .time_to_deadline = offer.time_to_deadline,
       .recent_service = offer.recent_service},
      &replies);
  SendReplies(replies);
}

void SchedulerDriver::HandleMessage(const protocol::SchedulingEnvelope& from,
                                    const protocol::StartProgress& progress) {
  const common::TimePoint now = environment_.clock.Now();
  const scheduling::OfferId id{.gateway = from.incarnation,
                               .number = progress.number};
  scheduling::Replies replies;
  switch (progress.stage) {
    case protocol::StartStage::kWithdrawn:
      scheduling::OnWithdrawn(scheduler_, now, id, &replies);
      break;
    case protocol::StartStage::kFirstEvent:
      scheduling::OnFirstEvent(scheduler_, now, id, &replies);
      break;
    case protocol::StartStage::kStalled:
      LogStreamStall(id);
      scheduling::OnStreamStalled(scheduler_, now, id);
      break;
    case protocol::StartStage::kDone:
      scheduling::OnFinished(scheduler_, now, id, &replies);
      break;
  }
  SendReplies(replies);
}

void SchedulerDriver::HandleMessage(
    const protocol::SchedulingEnvelope& /*from*/,
    const protocol::StartedElsewhere& start) {
  scheduling::OnStartedElsewhere(scheduler_, environment_.clock.Now(),
                                 start.prefix_key, start.upstream);
}

void SchedulerDriver::HandleMessage(
    const protocol::SchedulingEnvelope& /*from*/,
    const protocol::CrashReport& report) {
  const common::TimePoint now = environment_.clock.Now();
  suspects::Enqueue(crash_rows_, now,
                    suspects::Merge(crash_evidence_, now, report.rows).changed);
  SendCrashReports();
}

void SchedulerDriver::SendKnownCrashes(const common::Endpoint& gateway) {
  const common::TimePoint now = environment_.clock.Now();
  suspects::CrashRowQueue queue{.sends = 1};
  suspects::Enqueue(queue, now, suspects::Suspects(crash_evidence_));
  while (!queue.sends_left.empty()) {
    Send(gateway, protocol::CrashReport{.rows = suspects::TakeDueRows(
                                            queue, crash_evidence_, now)});
  }
}

void SchedulerDriver::SendCrashReports() {
  const protocol::CrashReport report{
      .rows = suspects::TakeDueRows(crash_rows_, crash_evidence_,
                                    environment_.clock.Now())};
  if (report.rows.empty()) return;
  for (const auto& [incarnation, it] : gateways_) Send(it.control, report);
}

void SchedulerDriver::OnReport(const scheduling::EngineReport& report) {
  int prefilling = 0;
  double tokens = 0;
  for (const auto& [id, it] : scheduler_.running) {
    if (!it.prefilling) continue;
    ++prefilling;
    tokens += it.uncached;
  }
  Log(Subsystem::kAdmission, LogLevel::kDebug,
      "event=report running={} waiting={} memory={:.0f} known={} reading={} "
      "tokens={:.0f} offers={} read_ms={} paced_ms={} ns={:.0f}",
      report.running, report.waiting, report.memory_used,
      scheduler_.running.size(), prefilling, tokens, scheduler_.waiting.size(),
      (scheduler_.prefill_until - environment_.clock.Now()) /
          std::chrono::milliseconds(1),
      (scheduler_.paced_prefill_until - environment_.clock.Now()) /
          std::chrono::milliseconds(1),
      scheduling::NanosecondsPerToken(scheduler_.prefill_rate));
  scheduling::Replies replies;
  scheduling::OnReport(scheduler_, environment_.clock.Now(), report, &replies);
  SendReplies(replies);
}

void SchedulerDriver::OnTick() {
  const common::TimePoint now = environment_.clock.Now();
  ApplyLimit();
  scheduling::Replies replies;
  scheduling::OnTick(scheduler_, now, &replies);
  SendReplies(replies);
  SendCrashReports();
  if (now < next_report_check_) return;
  next_report_check_ = now + kReportCheckInterval;
  const common::Duration silence = scheduler_.options.gateway_timeout;
  std::erase_if(gateways_, [&](const auto& it) {
    const bool silent = now - it.second.last_heard > silence;
    if (silent) scheduling::RemoveReader(counter_reports_, it.first);
    return silent;
  });
  SendReports();
  if (now < next_metrics_update_) return;
  next_metrics_update_ = now + kMetricsInterval;
  suspects::Expire(crash_evidence_, now);
  pacing::Expire(permit_desk_, now);
  LogLoad();
  metrics_.Update(scheduler_, now, gateways_.size());
}

void SchedulerDriver::SendReplies(const scheduling::Replies& replies) {
  for (const scheduling::OfferReply& it : replies) {
    metrics_.CountReply(it.decision);
    LogReply(it);
    const auto gateway = gateways_.find(it.id.gateway);
    if (gateway == gateways_.end()) continue;
    Send(gateway->second.control,
         protocol::StartReply{.number = it.id.number,
                              .decision = it.decision,
                              .wait = common::ToMicroseconds(it.wait),
                              .cached_tokens = it.cached_tokens,
                              .prefix_holder = it.prefix_holder});
  }
}

void SchedulerDriver::LogReply(const scheduling::OfferReply& reply) const {
  const common::TimePoint now = environment_.clock.Now();
  Log(Subsystem::kAdmission,
      reply.repeated ? LogLevel::kDebug : LogLevel::kInfo,
      "event=offer_{} id={} upstream={} wait_ms={} cached={} cached_at={} "
      "occupied={} "
      "slots={} waiting={} backlog_ms={} ns_per_token={:.0f} share={:.2f} "
      "report_age_ms={}",
      ToString(reply.decision), reply.request_id, upstream_.value,
      reply.wait / milliseconds(1), reply.cached_tokens,
      reply.prefix_holder.value, scheduling::OccupiedSlots(scheduler_),
      scheduler_.spec.slots, scheduler_.waiting.size(),
      std::max(scheduler_.prefill_until - now, common::Duration(0)) /
          milliseconds(1),
      scheduling::NanosecondsPerToken(scheduler_.prefill_rate),
      scheduler_.prefill_share.share,
      scheduler_.report ? (now - scheduler_.last_report) / milliseconds(1)
                        : -1);
}

void SchedulerDriver::LogStreamStall(scheduling::OfferId id) const {
  const auto stream = scheduler_.running.find(id);
  if (stream == scheduler_.running.end() || stream->second.stalled) return;
  // Counts the prompts that were in prefill during the event gap, which is
  // taken to be the last 500 ms.
  const common::TimePoint now = environment_.clock.Now();
  const common::TimePoint since = now - milliseconds(500);
  int prompts = 0;
  int tokens = 0;
  const scheduling::EngineScheduler::Running* largest = nullptr;
  for (const auto& [other, it] : scheduler_.running) {
    if (!it.prefilling && it.first_event < since) continue;
    ++prompts;
    tokens += it.uncached;
    if (largest == nullptr || it.uncached > largest->uncached) largest = &it;
  }
  Log(Subsystem::kAdmission, LogLevel::kInfo,
      "event=stream_paused id={} upstream={} occupied={} prompts={} tokens={} "
      "largest={} largest_id={} ns_per_token={:.0f} share={:.2f}",
      stream->second.request_id, upstream_.value,
      scheduling::OccupiedSlots(scheduler_), prompts, tokens,
      largest == nullptr ? 0 : largest->uncached,
      largest == nullptr ? "" : largest->request_id,
      scheduling::NanosecondsPerToken(scheduler_.prefill_rate),
      scheduler_.prefill_share.share);
}

void SchedulerDriver::SendReports() {
  const common::TimePoint now = environment_.clock.Now();
  protocol::SchedulerReport load_report{
      .control = settings_.control,
      .expected_wait = common::ToMicroseconds(
          scheduling::ExpectedWait(scheduler_, now, {.within_share = true})),
      .over_share_wait = common::ToMicroseconds(
          scheduling::ExpectedWait(scheduler_, now, {.within_share = false})),
      .ns_per_token = scheduling::NanosecondsPerToken(scheduler_.prefill_rate),
      .occupied = scheduling::OccupiedSlots(scheduler_),
      .waiting = static_cast<int>(scheduler_.waiting.size())};
  scheduling::UpdateCounters(counter_reports_, now, scheduler_.service);
  const protocol::LimitReport limits{.rows = LimitRows(),
                                     .gateways = GatewayCount()};
  for (const auto& [incarnation, it] : gateways_) {
    if (!scheduling::IsReportDue(counter_reports_, now, incarnation)) continue;
    load_report.workspaces.clear();
    for (const scheduling::CounterRow& row :
         scheduling::RowsForReport(counter_reports_, now, incarnation)) {
      load_report.workspaces.push_back({.workspace = row.workspace,
                                        .requested = row.counters.requested,
                                        .served = row.counters.served});
    }
    Send(it.control, load_report);
    if (!limits.rows.empty()) Send(it.control, limits);
  }
}

void SchedulerDriver::LogLoad() const {
  const common::TimePoint now = environment_.clock.Now();
  Log(Subsystem::kAdmission, LogLevel::kDebug,
      "event=load occupied={} waiting={} wait_us={} ns_per_token={:.0f} "
      "base_ms={} cached_tokens={:.0f} end_interval_ms={} gateways={}",
      scheduling::OccupiedSlots(scheduler_), scheduler_.waiting.size(),
      common::ToMicroseconds(
          scheduling::ExpectedWait(scheduler_, now, {.within_share = true}))
          .count(),
      scheduling::NanosecondsPerToken(scheduler_.prefill_rate),
      scheduling::BaseLatency(scheduler_.prefill_rate) /
          std::chrono::milliseconds(1),
      scheduler_.cache.Tokens(),
      scheduler_.end_interval / std::chrono::milliseconds(1), gateways_.size());
}

void SchedulerDriver::Send(const common::Endpoint& peer,
                           protocol::SchedulingBody body) {
  environment_.send(peer, wire::Encode(protocol::SchedulingEnvelope{
                              .sender = settings_.name,
                              .incarnation = incarnation_,
                              .body = std::move(body)}));
}

}  // namespace shallotbeam::scheduler_runtime
