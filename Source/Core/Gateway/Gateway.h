#ifndef SHALLOTBEAM_CORE_GATEWAY_GATEWAY_H_
#define SHALLOTBEAM_CORE_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "Balancing/Affinity.h"
#include "Balancing/Ejection.h"
#include "Balancing/LongPromptDemand.h"
#include "Balancing/LongPromptPartition.h"
#include "Balancing/UpstreamTable.h"
#include "Catalogue/RouteTable.h"
#include "Common/Clock.h"
#include "Common/RetryBudget.h"
#include "Forwarding/CallerServer.h"
#include "Forwarding/UpstreamConnectionPool.h"
#include "Gateway/Call.h"
#include "Gateway/ChangeRelay.h"
#include "Gateway/CrashDetector.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/GatewaySettings.h"
#include "Gateway/SchedulerClient.h"
#include "Overload/AcceptController.h"
#include "Overload/LoadShedder.h"
#include "Overload/ProcessorClock.h"
#include "Pacing/ColdStarts.h"
#include "Pacing/PermitDesk.h"
#include "Pacing/PermitSearch.h"
#include "Pacing/StatedLimits.h"
#include "PlatformClients/StoreSession.h"
#include "Suspects/CrashEvidence.h"

namespace shallotbeam::gateway {

inline constexpr std::chrono::milliseconds kTickInterval{20};

// An operator's request to keep requests away from a data centre, or its end.
struct EvacuationChange {
  common::DataCentreName data_centre;
  bool requested = false;
};

// A decoded change of a store item.
struct FleetChange {
  // Set if the item is a configuration.
  std::optional<catalogue::Catalogue> catalogue;
  // The item is a configuration that can't be read or was removed.
  bool configuration_unreadable = false;
  std::optional<EvacuationChange> evacuation;
  // Set if the item is the entry of an upstream. `entry` is absent if the entry
  // was removed or can't be used.
  common::UpstreamName upstream;
  std::optional<balancing::UpstreamEntry> entry;
};

struct GatewayEnvironment {
  boost::asio::io_context& context;
  const common::Clock& clock;
  platform_clients::ItemStore& store;
  const forwarding::HeaderCodec& header_codec;
  // Decodes a store item; absent if the item is not relevant to a gateway.
  std::function<std::optional<FleetChange>(const platform_clients::ItemChange&)>
      decode;
  // Sends a control message; never blocks.
  SchedulerClient::Send send;
  // Used if the settings state a quota of processor time. Connections are not
  // limited by it if null.
  const overload::ProcessorClock* processor = nullptr;
};

// Serves callers: finds the route of a request, chooses its upstream, relays
// the response and decides what follows a failure. Used by one thread.
class Gateway : public forwarding::CallerHandler {
 public:
  Gateway(GatewaySettings settings, common::Incarnation incarnation,
          GatewayEnvironment environment);

  absl::Status Listen();
  std::uint16_t CallersPort() const { return caller_server_.Port(); }
  // Called every `kTickInterval`. Late calls indicate that the process is
  // overloaded.
  void OnTick();
  // Handles a control message of a scheduler.
  void OnControlMessage(std::string_view bytes) {
    scheduler_client_.OnControlMessage(bytes);
  }
  // Starts draining. `on_done` is called when all calls have ended, or shortly
  // before the process would be killed.
  void Drain(std::function<void()> on_done);
  // Whether the load balancer should send new connections here.
  bool IsReady() const;
  // Metrics in the Prometheus text format.
  std::string MetricsText();
  // Handles a poll of another gateway for changes of the store. Called only if
  // this gateway is a relay.
  void OnRelayPoll(const std::shared_ptr<transport::HttpExchange>& exchange) {
    change_relay_->OnPoll(exchange);
  }

  void OnRequest(
      const std::shared_ptr<forwarding::CallerConnection>& connection,
      forwarding::CallerRequest request) override;
  void OnMalformed(int status) override;
  void OnNoMemory(std::size_t bytes) override;

  // Called by Call objects.
  void OnAttemptEnd(Call& call, AttemptEnd end,
                    const forwarding::UpstreamResponse& response);
  void ReleaseConnection(
      const common::UpstreamName& upstream,
      const std::shared_ptr<forwarding::UpstreamConnection>& connection);
  void OnProgress(Call& call);
  // Handles what the upstream of the call's attempt states of itself.
  void OnStatements(const Call& call,
                    const forwarding::ResponseMetadata& response);
  common::TimePoint Now() const { return environment_.clock.Now(); }
  // Of all that is held for callers.
  const std::shared_ptr<overload::MemoryBudget>& Memory() const {
    return caller_server_.Memory();
  }
  const forwarding::HeaderCodec& Codec() const {
    return environment_.header_codec;
  }

 private:
  // How a result reached this process; for logs.
  struct ResultOrigin {
    std::string_view source;                // "list", "store" or "relay"
    std::chrono::milliseconds copy_age{0};  // as stated by the relay
  };

  // The limit of an upstream as a scheduler or desk last reported it.
  struct ReportedLimit {
    double per_second = 0;
    common::TimePoint time;
  };

  void SendStoreCall();
  void ApplyStoreUpdate(const platform_clients::StoreUpdate& update,
                        const ResultOrigin& origin);
  void ApplyItem(const platform_clients::ItemChange& item,
                 const FleetChange& change, const ResultOrigin& origin,
                 common::Duration call_time);
  void ApplyChange(const FleetChange& change, common::StorePosition position);
  // Whether other gateways need the change. Upstreams renew their entries about
  // once a second, mostly without a change of their state.
  bool IsRelayed(const FleetChange& change) const;
  // Forgets what was known of an incarnation of an upstream that has ended.
  void ForgetUpstream(const common::UpstreamName& name);
  void ApplyEvacuation(const EvacuationChange& change);
  // Records until when an upstream is taken for cold.
  void RecordCold(const common::UpstreamName& name, common::Duration left);
  // Records what the entry of an upstream says of it.
  void RecordColdEntry(const common::UpstreamName& name);
  // Tells the scheduler client that an upstream is cold, if it is.
  void TellOfCold(const common::UpstreamName& name);
  std::optional<double> ColdRate(const common::UpstreamName& name) const;
  // Limit of requests a second in force, stated by the upstream or because it
  // is cold.
  std::optional<double> LimitInForce(const common::UpstreamName& name) const;
  // Ends the limits of upstreams that are no longer cold.
  void ExpireColdPeriods();
  // Registers the engine of an upstream with the scheduler client while the
  // upstream accepts requests, and removes it otherwise.
  void UpdateEngine(const common::UpstreamName& name);

  // Sets by what the request is recognised if it crashes upstreams.
  static void SetTraits(Call& call);
  // Responds to a request that is known to crash upstreams. Returns whether it
  // did.
  bool RefuseIfBanned(Call& call);
  // The same for all requests that have no response yet, once the current
  // handler has returned.
  void ScheduleBanCheck();
  void RefuseBannedCalls();
  // Records that the connection of the call's attempt broke.
  void RecordBrokenAttempt(const Call& call);
  void OnCrash(const DetectedCrash& crash);
  // Records that an upstream has begun to answer the call.
  void RecordResponse(const Call& call);
  void OnCrashReport(const protocol::CrashReport& report);
  void ExchangeCrashReports();

  // Records the limit of requests a second that an upstream states.
  void RecordLimit(const common::UpstreamName& name,
                   const pacing::StatedLimit& limit);
  void RecordLimitRow(const protocol::LimitRow& row);
  void OnLimitReport(const protocol::LimitReport& report);
  // Tells schedulers of limits of their engines that they have not reported.
  void SendLimits();
  bool IsLimitReported(const common::UpstreamName& name,
                       double per_second) const;
  void OnPermitRequest(common::Incarnation gateway,
                       const protocol::PermitRequest& request);
  void OnPermitReply(const protocol::PermitReply& reply);
  void OnPermitTick();
  // Ends the call's search for a permit; null if the call has ended.
  Call* TakePermitCall(pacing::PermitId id);
  void Execute(const pacing::PermitActions& actions);
  void Execute(const pacing::AskDesk& action);
  void Execute(const pacing::PermitGranted& action);
  void Execute(const pacing::PermitDenied& action);
  // Sends a call to an upstream without a scheduler; asks for a permit first if
  // the upstream states a limit.
  void DispatchToService(
      Call& call, const std::vector<const common::UpstreamName*>& candidates);
  // Time for which the call may wait for a permit.
  common::Duration MaxPermitWait(const Call& call) const;
  // Engines that may get a request without a start of their scheduler.
  std::vector<const common::UpstreamName*> EnginesWithinLimits(
      std::vector<const common::UpstreamName*> candidates) const;

  // Responds to a call whose credential can't be accepted. Returns whether it
  // did; otherwise the call has its workspace, if the route requires one.
  bool RefuseCredential(Call& call, bool stale, bool may_lack_changes);
  void Route(Call& call);
  // Sends the call to an upstream, starts a placement search, or responds with
  // an error.
  void Dispatch(Call& call);
  // Offers the call to the schedulers of `candidates`.
  void StartPlacementSearch(
      Call& call, const std::vector<const common::UpstreamName*>& candidates,
      balancing::OverflowEngines overflow);
  bool IsWithinShare(const Call& call);
  // Used if no scheduler responds: sends the call to the engine that is most
  // likely to cache its prompt and is not overloaded.
  void SendWithoutScheduler(
      Call& call, const std::vector<const common::UpstreamName*>& candidates);
  void OnSearchOutcome(const SearchOutcome& outcome);
  // Sends the call to an upstream. `grant` is empty if no scheduler has granted
  // the start.
  void SendTo(Call& call, const common::UpstreamName& name, StartGrant grant);
  // Upstreams of a pool that accept requests.
  std::vector<const common::UpstreamName*> AvailableUpstreams(
      const common::PoolName& pool) const;
  std::vector<const common::UpstreamName*> Candidates(const Call& call) const;
  // Whether the prompt is long for the engines known; absent if none is.
  std::optional<bool> HasLongPrompt(const Call& call) const;
  void RecordPromptDemand(const Call& call);
  std::optional<double> LargestLongPromptFraction() const;
  balancing::EnginePartition PartitionByDemand(
      const Call& call,
      const std::vector<const common::UpstreamName*>& ranked) const;
  std::vector<const common::UpstreamName*> FilterByPromptLength(
      const Call& call, const std::vector<const common::UpstreamName*>& ranked,
      const balancing::EnginePartition& weighted_pools) const;
  // Engines outside of the group of the call's prompt if it is long, in the
  // order of `partition`.
  balancing::OverflowEngines OverflowFor(
      const Call& call, const balancing::EnginePartition& partition) const;
  // Shortest wait at the engines outside of the group of the call's prompt if
  // it is long; else absent.
  std::optional<common::Duration> WaitElsewhere(const Call& call) const;
  const common::UpstreamName* LeastLoaded(
      const std::vector<const common::UpstreamName*>& candidates);
  // Registers the engine of an upstream with the scheduler client, if the
  // upstream's pool has engines.
  void RegisterEngine(const balancing::Upstream& upstream);
  common::Duration ShortestPause(const Call& call) const;
  // Responds to a call for which no upstream is left.
  void RespondNoUpstream(Call& call);
  common::Duration RetryAfter(const Call& call, common::Duration wait);
  void RecordEventGap(Call& call, common::Duration event_gap);
  // Updates the ejection state of the upstream with the outcome of an attempt.
  void RecordOutcome(const Call& call, AttemptEnd end);
  void RecordUpstreamFailure(const Call& call);
  bool MayRetryServerError(const Call& call) const;
  void HandleFailedAttempt(Call& call, AttemptEnd end);
  bool ConsumeRetryBudget(const Call& call, AttemptEnd end);
  bool CanFinishBeforeStop(const Call& call) const;
  // Whether the load shedder rejects the call.
  bool ShouldShedCall(const Call& call);
  void Respond(Call& call, int status, std::string_view reason,
               std::optional<common::Duration> retry_after = {});
  void OnCallerDisconnected(Call& call);
  void LogServed(const Call& call, int status);
  // Aborts the current attempt, if any.
  void AbortAttempt(Call& call);
  void RemoveCall(Call& call);
  // Decides whether callers may connect; `late` is the delay of the tick.
  void ControlLoad(common::TimePoint now, common::Duration late);
  void LogLoad(common::TimePoint now);
  void CheckDeadlines();
  // Ends the drain when all requests are answered or the time is up.
  void CheckDrain(common::TimePoint now);
  // Responds to all calls that can't end before the process is killed.
  void EndRemainingCalls();
  SchedulerClient::InProgress StartsInProgress() const;
  std::optional<common::Duration> StoreAge() const;

  GatewaySettings settings_;
  GatewayEnvironment environment_;
  catalogue::CallerLimits limits_;
  forwarding::CallerServer caller_server_;
  forwarding::UpstreamConnectionPool upstream_connections_;
  platform_clients::StoreSession store_;
  std::optional<ChangeRelay> change_relay_;  // if this gateway is a relay
  std::shared_ptr<const catalogue::RouteTable> table_;
  // Whether a configuration that can't be read follows the one in force. It may
  // have withdrawn credentials.
  bool configuration_unreadable_ = false;
  balancing::UpstreamTable upstreams_;
  balancing::EjectionState ejections_;
  CrashDetector crash_detector_;
  suspects::CrashEvidence crash_evidence_;
  suspects::CrashRowQueue crash_rows_;  // of this gateway's own requests
  bool ban_check_scheduled_ = false;
  // Latest statements of upstreams that stated anything.
  std::unordered_map<common::UpstreamName, forwarding::UpstreamStatements>
      stated_;
  // Requests of this gateway in flight, by upstream.
  std::unordered_map<common::UpstreamName, int> in_flight_;
  SchedulerClient scheduler_client_;
  std::unordered_map<common::PoolName, balancing::LongPromptDemand>
      long_prompt_demand_;
  // Limits that upstreams state, and the permits to start requests there.
  pacing::LimitTable stated_limits_;
  std::unordered_map<common::UpstreamName, ReportedLimit> reported_limits_;
  std::unordered_map<common::UpstreamName, pacing::ColdPeriod> cold_;
  pacing::PermitSearch permits_;
  // Used if this gateway is a permit desk of others.
  pacing::PermitDesk permit_desk_;
  std::unordered_map<pacing::PermitId, Call*> permit_calls_;
  std::uint64_t last_permit_ = 0;
  common::TimePoint next_limit_report_;
  std::unordered_map<Call*, std::unique_ptr<Call>> calls_;
  std::unordered_map<balancing::SearchId, Call*> searches_;
  std::uint64_t last_search_id_ = 0;
  std::vector<std::unique_ptr<Call>> removed_calls_;  // freed at the next tick
  std::unordered_map<common::PoolName, common::RetryBudget> retry_budgets_;
  overload::LoadShedder load_shedder_;
  // If the settings state a quota of processor time.
  std::optional<overload::AcceptController> accept_controller_;
  std::uint64_t accepted_ = 0;  // connections, until the last tick
  GatewayMetrics metrics_;
  const common::TimePoint started_;
  common::TimePoint last_tick_;
  std::mt19937_64 random_;
  std::optional<common::TimePoint> draining_since_;
  std::function<void()> on_drained_;
  bool listening_stopped_ = false;
  common::TimePoint next_check_;
  common::TimePoint next_load_log_;
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_GATEWAY_H_
