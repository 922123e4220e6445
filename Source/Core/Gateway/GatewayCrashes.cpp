#include <boost/asio/post.hpp>
#include <string>
#include <utility>

#include "Common/Hash.h"
#include "Common/Logging.h"
#include "Gateway/Gateway.h"
#include "Gateway/GatewayResponses.h"

// The part of Gateway that keeps requests which crash upstreams away from them.
namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;

protocol::Trait RequestTrait(const Call& call) {
  std::uint64_t hash = common::Hash64(call.request.host);
  if (call.workspace != nullptr) {
    hash = common::Hash64(call.workspace->name.value, hash);
  }
  hash = common::Hash64(call.request.method, hash);
  hash = common::Hash64(call.request.target, hash);
  hash = common::Hash64(call.request.body, hash);
  return {.fingerprint = static_cast<common::Fingerprint>(hash),
          .kind = protocol::TraitKind::kRequest};
}

// Traits of the parts that other requests share: all but the last.
void AppendPromptTraits(const common::Prompt& prompt,
                        std::vector<protocol::Trait>* traits) {
  const std::uint64_t model = common::Hash64(prompt.model);
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const std::uint64_t hash =
        common::Hash64(std::to_string(prompt.parts[i].id), model);
    traits->push_back({.fingerprint = static_cast<common::Fingerprint>(hash),
                       .kind = protocol::TraitKind::kPromptPart});
  }
}

}  // namespace

void Gateway::SetTraits(Call& call) {
  call.traits = {RequestTrait(call)};
  if (call.metadata.prompt) {
    AppendPromptTraits(*call.metadata.prompt, &call.traits);
  }
}

bool Gateway::RefuseIfBanned(Call& call) {
  const auto trait =
      suspects::FindBannedTrait(crash_evidence_, Now(), call.traits);
  if (!trait) return false;
  Log(Subsystem::kRouting, LogLevel::kInfo,
      "event=suspect_refused id={} fingerprint={:x} kind={}",
      call.metadata.request_id, common::ToNumber(trait->fingerprint),
      common::ToNumber(trait->kind));
  const bool not_run = call.verdict == common::Verdict::kNotRun;
  Respond(call, not_run ? kUnprocessable : kBadGateway, "crashes_upstreams");
  return true;
}

void Gateway::RecordBrokenAttempt(const Call& call) {
  const auto it = upstreams_.upstreams.find(call.upstream);
  // An upstream that is leaving closes connections without a crash.
  const bool serving = it != upstreams_.upstreams.end() &&
                       !it->second.entry.draining && !it->second.leaving;
  if (!serving || call.HasResponseStarted()) return;
  crash_detector_.OnBroken(
      call.upstream, it->second.entry.endpoint, it->second.entry.started,
      {.traits = call.traits, .sent = call.attempt_started});
}

void Gateway::OnCrash(const DetectedCrash& crash) {
  const auto changed = suspects::RecordCrash(crash_evidence_, crash.id,
                                             crash.time, crash.requests);
  Log(Subsystem::kMembership, LogLevel::kWarning,
      "event=upstream_crashed crash={:x} requests={} suspects={}",
      common::ToNumber(crash.id), crash.requests.size(), changed.size());
  suspects::Enqueue(crash_rows_, Now(), changed);
  ScheduleBanCheck();
}

void Gateway::RecordResponse(const Call& call) {
  suspects::Enqueue(
      crash_rows_, Now(),
      suspects::RecordResponse(crash_evidence_, Now(), call.traits));
}

void Gateway::OnCrashReport(const protocol::CrashReport& report) {
  const auto result = suspects::Merge(crash_evidence_, Now(), report.rows);
  if (result.changed.empty()) return;
  // The others may not know that this gateway has seen answers before.
  suspects::Enqueue(crash_rows_, Now(), result.answered_before);
  ScheduleBanCheck();
}

// Posted, because a crash may become known while a call is handled, which the
// check would answer and remove.
void Gateway::ScheduleBanCheck() {
  if (std::exchange(ban_check_scheduled_, true)) return;
  boost::asio::post(environment_.context, [this] { RefuseBannedCalls(); });
}

void Gateway::RefuseBannedCalls() {
  ban_check_scheduled_ = false;
  std::vector<Call*> banned;
  for (const auto& [call, owner] : calls_) {
    if (call->HasResponseStarted()) continue;
    if (suspects::FindBannedTrait(crash_evidence_, Now(), call->traits)) {
      banned.push_back(call);
    }
  }
  for (Call* it : banned) {
    // An upstream that has not begun to run the request drops it.
    AbortAttempt(*it);
    RefuseIfBanned(*it);
  }
}

void Gateway::ExchangeCrashReports() {
  crash_detector_.OnTick();
  auto rows = suspects::TakeDueRows(crash_rows_, crash_evidence_, Now());
  if (rows.empty()) return;
  scheduler_client_.SendCrashReport({.rows = std::move(rows)});
}

}  // namespace shallotbeam::gateway
