#ifndef SHALLOTBEAM_CORE_GATEWAY_SCHEDULERCLIENT_H_
#define SHALLOTBEAM_CORE_GATEWAY_SCHEDULERCLIENT_H_

#include <functional>
#include <limits>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "Balancing/PlacementSearch.h"
#include "Balancing/ServiceAccounting.h"
#include "Catalogue/Model.h"
#include "Common/Clock.h"
#include "Pacing/ColdStarts.h"
#include "Protocol/SchedulingMessages.h"

namespace shallotbeam::gateway {

// Permission of a scheduler to start a request at its engine. The gateway
// reports the progress of the request to the scheduler.
struct StartGrant {
  common::UpstreamName upstream;
  balancing::OfferNumber number = 0;  // 0: no permission
  int cached_tokens = 0;
  // Engine that has more of the prompt cached; or empty.
  common::UpstreamName cache_source;
};

struct SearchOutcome {
  balancing::SearchId search{};
  enum class Kind : std::uint8_t { kGranted, kDeclined, kNoScheduler } kind;
  StartGrant grant;          // if granted
  common::Duration wait{0};  // shortest expected wait, if declined
  bool offered = true;       // whether a scheduler received an offer
};

struct SchedulerClientOptions {
  common::ProcessName name;
  common::Incarnation incarnation = common::Incarnation::kNone;
  // Inbox of this gateway; schedulers listen on the same port.
  common::Endpoint control;
  // Gateways that are permit desks in a fleet without schedulers.
  std::vector<common::Endpoint> relays;
  balancing::PlacementSearchOptions search;
};

struct SchedulerClientHandlers {
  std::function<void(const SearchOutcome&)> on_outcome;
  std::function<void(const protocol::CrashReport&)> on_crash_report;
  std::function<void(const protocol::LimitReport&)> on_limit_report;
  std::function<void(common::Incarnation gateway,
                     const protocol::PermitRequest&)>
      on_permit_request;
  std::function<void(const protocol::PermitReply&)> on_permit_reply;
};

// Exchanges messages with the schedulers of all engines. Used by one thread.
class SchedulerClient {
 public:
  using Send = std::function<void(const common::Endpoint&, std::string_view)>;

  SchedulerClient(SchedulerClientOptions options, const common::Clock& clock,
                  Send send, SchedulerClientHandlers handlers);

  // Adds or removes an engine. `address` is the address of the engine; its
  // scheduler runs on the same host.
  void PutEngine(const common::UpstreamName& upstream,
                 const std::string& address, std::uint64_t started,
                 const catalogue::Engine& engine,
                 const pacing::ColdLimit& cold);
  void RemoveEngine(const common::UpstreamName& upstream);

  // Service rate of the whole fleet in tokens per second; absent if not known.
  void SetServiceRate(std::optional<double> tokens_per_second) {
    tokens_per_second_ = tokens_per_second;
  }
  // Fraction of the workspace's requests that is within its fair share of that
  // rate.
  double FractionWithinShare(const common::WorkspaceName& workspace) const;
  // Whether the workspace receives much less service than the best served one.
  bool IsUnderserved(const common::WorkspaceName& workspace) const;

  // Median prefill time of the engines per prompt token, in nanoseconds; absent
  // if not known.
  std::optional<double> PrefillNsPerToken() const {
    return prefill_ns_per_token_;
  }
  // Last known state of the engine's scheduler; null if it was never heard or
  // is not responsive.
  const balancing::SchedulerView* ViewOf(
      const common::UpstreamName& upstream) const {
    return IsResponsive(upstream) ? &placement_state_.schedulers.at(upstream)
                                  : nullptr;
  }
  bool IsResponsive(const common::UpstreamName& upstream) const {
    return balancing::IsResponsive(placement_state_, clock_.Now(), upstream);
  }

  void SubmitSearch(balancing::SearchRequest request);
  // Records that a request was rejected without an offer to an engine.
  void RecordUnoffered(const common::WorkspaceName& workspace,
                       const common::Prompt& prompt);
  void Cancel(balancing::SearchId id);
  void ReportProgress(const StartGrant& grant, protocol::StartStage stage);
  // Sends the report to a few schedulers, which pass it on to all gateways.
  void SendCrashReport(const protocol::CrashReport& report);
  // Tells the scheduler of an engine, at the next tick, until when it is cold.
  void SetColdUntil(const common::UpstreamName& upstream,
                    common::TimePoint until);
  // Marks an engine that states a limit of requests a second.
  void SetLimited(const common::UpstreamName& upstream, bool limited);
  // Tells the scheduler of an engine what this gateway knows of its limit.
  void SendLimit(const protocol::LimitRow& row);
  // Permit desks of an upstream without a scheduler; the same at all gateways
  // that know the same engines.
  std::vector<common::Endpoint> PermitDesks(
      const common::UpstreamName& upstream) const;
  void SendToPeer(const common::Endpoint& peer, protocol::SchedulingBody body);
  // Offer numbers of the requests in progress, by upstream.
  using InProgress =
      std::unordered_map<common::UpstreamName, std::vector<std::uint64_t>>;

  void OnControlMessage(std::string_view bytes);
  // `in_progress` is called when reports are sent to the schedulers.
  void OnTick(const std::function<InProgress()>& in_progress);

 private:
  struct Engine {
    common::Endpoint control;
    std::uint64_t started = 0;
    catalogue::Engine spec;
    pacing::ColdLimit cold;
    common::TimePoint cold_until;
  };

  void ExecuteActions(const balancing::SearchActions& actions);
  void Execute(const balancing::SendOffer& action);
  void Execute(const balancing::WithdrawOffer& action);
  void Execute(const balancing::StartAt& action);
  void Execute(const balancing::SearchRejected& action);
  void Execute(const balancing::NoReachableScheduler& action);
  void Handle(const protocol::SchedulingEnvelope& from,
              const protocol::SchedulerReport& report);
  void Handle(const protocol::StartReply& reply);
  void SendTo(const common::UpstreamName& upstream,
              protocol::SchedulingBody body);
  void SendReports(const InProgress& in_progress);

  SchedulerClientOptions options_;
  const common::Clock& clock_;
  Send send_;
  SchedulerClientHandlers handlers_;
  balancing::PlacementState placement_state_;
  balancing::ServiceAccounting accounting_;
  std::unordered_map<common::UpstreamName, Engine> engines_;
  std::map<common::Endpoint, common::UpstreamName> upstream_by_control_;
  common::TimePoint next_report_;
  std::optional<double> tokens_per_second_;
  // Fair share of a workspace in recently requested tokens.
  double fair_share_ = std::numeric_limits<double>::infinity();
  // Tokens that the best served workspace received recently.
  double max_recent_service_ = 0;
  common::TimePoint next_share_update_;
  // Tokens of requests that were rejected without an offer since the last
  // report.
  std::unordered_map<common::WorkspaceName, double> unoffered_tokens_;
  std::optional<double> prefill_ns_per_token_;
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_SCHEDULERCLIENT_H_
