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

}  // namespace

void Gateway::SetTraits(Call& call) { call.traits = {RequestTrait(call)}; }

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
  const bool serving =
      it != upstreams_.upstreams.end() && !it->second.entry.draining;
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
  RefuseBannedCalls();
}

void Gateway::RecordResponse(const Call& call) {
  suspects::Enqueue(
      crash_rows_, Now(),
      suspects::RecordResponse(crash_evidence_, Now(), call.traits));
}

void Gateway::OnCrashReport(const protocol::CrashReport& report) {
  if (suspects::Merge(crash_evidence_, Now(), report.rows).empty()) return;
  RefuseBannedCalls();
}

void Gateway::RefuseBannedCalls() {
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
