#include "Gateway/SchedulerClient.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Common/Hash.h"
#include "Common/Logging.h"
#include "Common/StatusText.h"
#include "Pacing/StartPacer.h"
#include "Wire/Codec.h"

namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;

constexpr common::Duration kReportInterval = std::chrono::seconds(1);
// Schedulers send their counters twice a second.
constexpr common::Duration kShareUpdateInterval =
    std::chrono::milliseconds(200);

// Schedulers that receive each crash report.
constexpr std::size_t kCrashReportCopies = 3;

}  // namespace

SchedulerClient::SchedulerClient(SchedulerClientOptions options,
                                 const common::Clock& clock, Send send,
                                 SchedulerClientHandlers handlers)
    : options_(std::move(options)),
      clock_(clock),
      send_(std::move(send)),
      handlers_(std::move(handlers)),
      placement_state_{.options = options_.search} {}

void SchedulerClient::PutEngine(const common::UpstreamName& upstream,
                                const std::string& address,
                                std::uint64_t started,
                                const catalogue::Engine& engine,
                                const pacing::ColdLimit& cold) {
  const common::Endpoint control{.address = address,
                                 .port = options_.control.port};
  engines_[upstream] = {
      .control = control, .started = started, .spec = engine, .cold = cold};
  upstream_by_control_[control] = upstream;
  // Sends reports at the next tick, since the scheduler may be new as well.
  next_report_ = {};
}

void SchedulerClient::RemoveEngine(const common::UpstreamName& upstream) {
  const auto it = engines_.find(upstream);
  if (it == engines_.end()) return;
  const auto control = upstream_by_control_.find(it->second.control);
  if (control != upstream_by_control_.end() && control->second == upstream) {
    upstream_by_control_.erase(control);
  }
  engines_.erase(it);
  placement_state_.limited.erase(upstream);
  balancing::SearchActions actions;
  balancing::OnUpstreamLeaving(placement_state_, clock_.Now(), upstream,
                               &actions);
  ExecuteActions(actions);
}

void SchedulerClient::SubmitSearch(balancing::SearchRequest request) {
  balancing::SearchActions actions;
  balancing::BeginSearch(placement_state_, clock_.Now(), std::move(request),
                         &actions);
  ExecuteActions(actions);
}

double SchedulerClient::FractionWithinShare(
    const common::WorkspaceName& workspace) const {
  return balancing::FractionWithinShare(accounting_, clock_.Now(), workspace,
                                        fair_share_);
}

void SchedulerClient::Cancel(balancing::SearchId id) {
  balancing::SearchActions actions;
  balancing::EndSearch(placement_state_, id, &actions);
  ExecuteActions(actions);
}

void SchedulerClient::ReportProgress(const StartGrant& grant,
                                     protocol::StartStage stage) {
  if (grant.number == 0) return;
  SendTo(grant.upstream,
         protocol::StartProgress{.number = grant.number, .stage = stage});
}

void SchedulerClient::OnControlMessage(std::string_view bytes) {
  const auto envelope = wire::DecodeScheduling(bytes);
  if (!envelope.ok()) {
    Log(Subsystem::kTransport, LogLevel::kWarning,
        "event=message_unreadable cause=\"{}\"",
        common::MessageOf(envelope.status()));
    return;
  }
  if (const auto* report =
          std::get_if<protocol::SchedulerReport>(&envelope->body)) {
    Handle(*envelope, *report);
  } else if (const auto* reply =
                 std::get_if<protocol::StartReply>(&envelope->body)) {
    Handle(*reply);
  } else if (const auto* crashes =
                 std::get_if<protocol::CrashReport>(&envelope->body)) {
    handlers_.on_crash_report(*crashes);
  } else if (const auto* limits =
                 std::get_if<protocol::LimitReport>(&envelope->body)) {
    handlers_.on_limit_report(*limits);
  } else if (const auto* request =
                 std::get_if<protocol::PermitRequest>(&envelope->body)) {
    handlers_.on_permit_request(envelope->incarnation, *request);
  } else if (const auto* permit =
                 std::get_if<protocol::PermitReply>(&envelope->body)) {
    handlers_.on_permit_reply(*permit);
  } else {
    Log(Subsystem::kTransport, LogLevel::kWarning,
        "event=message_misdirected sender={}", envelope->sender.value);
  }
}

void SchedulerClient::Handle(const protocol::SchedulingEnvelope& from,
                             const protocol::SchedulerReport& report) {
  const common::TimePoint now = clock_.Now();
  for (const protocol::WorkspaceCounters& it : report.workspaces) {
    balancing::RecordCounters(accounting_, now, from.incarnation, it.workspace,
                              {.requested = it.requested, .served = it.served});
  }
  const auto upstream = upstream_by_control_.find(report.control);
  if (upstream == upstream_by_control_.end()) return;
  balancing::SearchActions actions;
  balancing::OnSchedulerLoad(placement_state_, now, upstream->second,
                             from.incarnation,
                             {.expected_wait = report.expected_wait,
                              .over_share_wait = report.over_share_wait,
                              .ns_per_token = report.ns_per_token,
                              .running = report.occupied},
                             &actions);
  // Logged once, since each scheduler reports several times a second.
  if (placement_state_.schedulers[upstream->second].ignored_reports == 1) {
    Log(Subsystem::kTransport, LogLevel::kWarning,
        "event=load_ignored upstream={} wait_ns={} over_share_wait_ns={} "
        "ns_per_token={}",
        upstream->second.value, report.expected_wait.count(),
        report.over_share_wait.count(), report.ns_per_token);
  }
  ExecuteActions(actions);
}

void SchedulerClient::Handle(const protocol::StartReply& reply) {
  const auto offer = placement_state_.offers.find(reply.number);
  if (offer == placement_state_.offers.end()) return;
  const common::UpstreamName name = offer->second.upstream;
  balancing::SearchActions actions;
  balancing::OnReply(placement_state_, clock_.Now(), name, reply.number,
                     {.decision = reply.decision,
                      .wait = reply.wait,
                      .cached_tokens = reply.cached_tokens,
                      .prefix_holder = reply.prefix_holder},
                     &actions);
  ExecuteActions(actions);
}

void SchedulerClient::OnTick(const std::function<InProgress()>& in_progress) {
  const common::TimePoint now = clock_.Now();
  balancing::SearchActions actions;
  balancing::OnSearchTick(placement_state_, now, &actions);
  ExecuteActions(actions);
  if (now >= next_share_update_) {
    next_share_update_ = now + kShareUpdateInterval;
    max_recent_service_ = balancing::MaxRecentService(accounting_, now);
    prefill_ns_per_token_ =
        balancing::MedianPrefillTime(placement_state_.schedulers);
    fair_share_ = balancing::FairShare(
        accounting_, now,
        tokens_per_second_.value_or(std::numeric_limits<double>::infinity()));
  }
  if (now < next_report_) return;
  next_report_ = now + kReportInterval;
  SendReports(in_progress());
}

bool SchedulerClient::IsUnderserved(
    const common::WorkspaceName& workspace) const {
  return balancing::IsUnderserved(accounting_, clock_.Now(), workspace,
                                  max_recent_service_);
}

void SchedulerClient::RecordUnoffered(const common::WorkspaceName& workspace,
                                      const common::Prompt& prompt) {
  unoffered_tokens_[workspace] += common::ServiceTokens(prompt);
}

void SchedulerClient::SendCrashReport(const protocol::CrashReport& report) {
  // Rendezvous hashing spreads the gateways over the schedulers. Those that are
  // not responsive come last.
  std::vector<const common::UpstreamName*> names;
  for (const auto& [upstream, it] : engines_) names.push_back(&upstream);
  const auto rank = [this](const common::UpstreamName& it) {
    return std::pair(!IsResponsive(it),
                     common::Hash64(options_.name.value + it.value));
  };
  std::sort(names.begin(), names.end(),
            [&](const auto* a, const auto* b) { return rank(*a) < rank(*b); });
  if (names.size() > kCrashReportCopies) names.resize(kCrashReportCopies);
  for (const auto* it : names) SendTo(*it, report);
}

void SchedulerClient::SetColdUntil(const common::UpstreamName& upstream,
                                   common::TimePoint until) {
  const auto it = engines_.find(upstream);
  if (it == engines_.end()) return;
  it->second.cold_until = until;
  next_report_ = {};
}

void SchedulerClient::SetLimited(const common::UpstreamName& upstream,
                                 bool limited) {
  if (limited) {
    placement_state_.limited.insert(upstream);
  } else {
    placement_state_.limited.erase(upstream);
  }
}

void SchedulerClient::SendLimit(const protocol::LimitRow& row) {
  SendTo(row.upstream, protocol::LimitReport{.rows = {row}});
}

std::vector<common::Endpoint> SchedulerClient::PermitDesks(
    const common::UpstreamName& upstream) const {
  // The scheduler of an engine hands out all starts there.
  if (engines_.count(upstream) != 0) return {};
  std::vector<std::pair<std::uint64_t, common::Endpoint>> ranked;
  const auto add = [&](const common::Endpoint& desk) {
    ranked.emplace_back(
        common::Hash64(upstream.value + " " + common::ToString(desk)), desk);
  };
  for (const auto& [name, it] : engines_) add(it.control);
  if (ranked.empty()) {
    for (const common::Endpoint& it : options_.relays) add(it);
  }
  const std::size_t count =
      std::min<std::size_t>(ranked.size(), pacing::kDeskCount);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<common::Endpoint> desks;
  for (std::size_t i = 0; i < count; ++i) desks.push_back(ranked[i].second);
  return desks;
}

void SchedulerClient::SendReports(const InProgress& in_progress) {
  const common::TimePoint now = clock_.Now();
  for (const auto& [upstream, it] : engines_) {
    const auto numbers = in_progress.find(upstream);
    std::vector<protocol::WorkspaceCounters> not_offered;
    if (IsResponsive(upstream)) {
      for (const auto& [workspace, tokens] :
           std::exchange(unoffered_tokens_, {})) {
        not_offered.push_back({.workspace = workspace, .requested = tokens});
      }
    }
    SendTo(upstream, protocol::GatewayReport{
                         .control = options_.control,
                         .upstream = upstream,
                         .upstream_started = it.started,
                         .slots = it.spec.slots,
                         .memory_tokens = it.spec.memory_tokens,
                         .cold_per_second = it.cold.per_second,
                         .cold_time = common::ToMicroseconds(it.cold.time),
                         .cold_left = common::ToMicroseconds(std::max(
                             it.cold_until - now, common::Duration(0))),
                         .in_progress = numbers == in_progress.end()
                                            ? std::vector<std::uint64_t>()
                                            : numbers->second,
                         .not_offered = std::move(not_offered)});
  }
}

void SchedulerClient::ExecuteActions(const balancing::SearchActions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& it) { Execute(it); }, action);
  }
}

void SchedulerClient::Execute(const balancing::SendOffer& action) {
  const auto search = placement_state_.searches.find(action.search);
  if (search == placement_state_.searches.end()) return;
  const balancing::SearchRequest& request = search->second.request;
  const common::TimePoint now = clock_.Now();
  SendTo(action.upstream,
         protocol::StartOffer{
             .number = action.number,
             .control = options_.control,
             .request_id = request.request_id,
             .workspace = request.workspace,
             .prompt = request.prompt,
             .priority = request.priority,
             .within_share = request.within_share,
             .first = action.first,
             .fetchable_tokens = action.fetchable_tokens,
             .time_to_target = common::ToMicroseconds(request.target - now),
             .time_to_deadline =
                 common::ToMicroseconds(request.first_event_deadline - now),
             .recent_service =
                 balancing::RecentTokens(accounting_, now, request.workspace)
                     .served});
}

void SchedulerClient::Execute(const balancing::WithdrawOffer& action) {
  SendTo(action.upstream,
         protocol::StartProgress{.number = action.number,
                                 .stage = protocol::StartStage::kWithdrawn});
}

void SchedulerClient::Execute(const balancing::StartAt& action) {
  if (!action.preferred_engine.empty()) {
    SendTo(action.preferred_engine,
           protocol::StartedElsewhere{.prefix_key = action.prefix_key,
                                      .upstream = action.upstream});
  }
  handlers_.on_outcome({.search = action.search,
                        .kind = SearchOutcome::Kind::kGranted,
                        .grant = {.upstream = action.upstream,
                                  .number = action.number,
                                  .cached_tokens = action.cached_tokens,
                                  .cache_source = action.cache_source}});
}

void SchedulerClient::Execute(const balancing::SearchRejected& action) {
  handlers_.on_outcome({.search = action.search,
                        .kind = SearchOutcome::Kind::kDeclined,
                        .wait = action.shortest_wait,
                        .offered = action.offered});
}

void SchedulerClient::Execute(const balancing::NoReachableScheduler& action) {
  handlers_.on_outcome(
      {.search = action.search, .kind = SearchOutcome::Kind::kNoScheduler});
}

void SchedulerClient::SendTo(const common::UpstreamName& upstream,
                             protocol::SchedulingBody body) {
  const auto it = engines_.find(upstream);
  if (it != engines_.end()) SendToPeer(it->second.control, std::move(body));
}

void SchedulerClient::SendToPeer(const common::Endpoint& peer,
                                 protocol::SchedulingBody body) {
  send_(peer, wire::Encode(protocol::SchedulingEnvelope{
                  .sender = options_.name,
                  .incarnation = options_.incarnation,
                  .body = std::move(body)}));
}

}  // namespace shallotbeam::gateway
