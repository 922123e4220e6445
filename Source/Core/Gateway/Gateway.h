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
#include "Balancing/ReadingLane.h"
#include "Balancing/UpstreamTable.h"
#include "Catalogue/RouteTable.h"
#include "Common/Clock.h"
#include "Common/RetryBudget.h"
#include "Forwarding/CallerServer.h"
#include "Forwarding/UpstreamConnections.h"
#include "Gateway/Call.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/GatewaySettings.h"
#include "Gateway/StartClient.h"
#include "Overload/LoadShedder.h"
#include "Platform/StoreSession.h"

namespace shallotbeam::gateway {

inline constexpr std::chrono::milliseconds kTickInterval{20};

// A change of an item of the store, decoded.
struct FleetChange {
  // Set for a configuration.
  std::optional<catalogue::Catalogue> catalogue;
  // Set for an upstream; `entry` absent: it has none that can be used.
  common::UpstreamName upstream;
  std::optional<balancing::UpstreamEntry> entry;
};

struct GatewayEnvironment {
  boost::asio::io_context& context;
  const common::Clock& clock;
  platform::ItemStore& store;
  const forwarding::Dialect& dialect;
  // Decodes an item of the store; absent if it concerns no gateway.
  std::function<std::optional<FleetChange>(const platform::ItemChange&)> decode;
  // Sends a control message; never blocks.
  StartClient::Send send;
};

// Serves callers: finds the route of a request, chooses its upstream, relays
// the response and decides what follows a failure. Used by one thread.
class Gateway : public forwarding::CallerHandler {
 public:
  Gateway(GatewaySettings settings, common::Incarnation incarnation,
          GatewayEnvironment environment);

  absl::Status Listen();
  std::uint16_t CallersPort() const { return callers_.Port(); }
  // Called every `kTickInterval`; a late call tells of too much work.
  void OnTick();
  // A control message has arrived.
  void OnControlBytes(std::string_view bytes) { starts_.OnBytes(bytes); }
  // The process was told to stop. `on_done` is called when nothing is left to
  // do.
  void Drain(std::function<void()> on_done);
  // Whether the load balancer should send new connections here.
  bool IsReady() const;
  // Metrics in the Prometheus text format.
  std::string MetricsText();

  void OnRequest(
      const std::shared_ptr<forwarding::CallerConnection>& connection,
      forwarding::CallerRequest request) override;
  void OnMalformed(int status) override;

  // Called by calls.
  void OnAttemptEnd(Call& call, AttemptEnd end,
                    const forwarding::UpstreamResponse& response);
  void OnConnectionFree(
      const common::UpstreamName& upstream,
      const std::shared_ptr<forwarding::UpstreamConnection>& connection);
  void OnProgress(Call& call);
  const forwarding::Dialect& TheDialect() const { return environment_.dialect; }

 private:
  void CallStore();
  void TakeNews(const platform::StoreNews& news);
  void TakeChange(const FleetChange& change);
  // Offers work to the scheduler of an upstream as long as it takes some.
  void FollowUpstream(const common::UpstreamName& name);

  void Route(Call& call);
  // Sends the call to an upstream, asks for a start there or ends it.
  void Dispatch(Call& call);
  // Asks the schedulers of `candidates` for a start.
  void SeekStart(Call& call,
                 const std::vector<const common::UpstreamName*>& candidates);
  bool IsWithinShare(const Call& call);
  // Sends a prompt where it is likely to be cached.
  void SendWithoutScheduler(
      Call& call, const std::vector<const common::UpstreamName*>& candidates);
  void OnStartOutcome(const StartOutcome& outcome);
  // Sends the call to an upstream. `ticket` may be empty.
  void SendTo(Call& call, const common::UpstreamName& name, StartTicket ticket);
  // Those of a pool that take work.
  std::vector<const common::UpstreamName*> UpstreamsOf(
      const common::PoolName& pool) const;
  std::vector<const common::UpstreamName*> Candidates(const Call& call) const;
  std::vector<const common::UpstreamName*> ByLane(
      const Call& call, const std::vector<const common::UpstreamName*>& ranked,
      const balancing::LaneSplit& split) const;
  const common::UpstreamName* LeastUsed(
      const std::vector<const common::UpstreamName*>& candidates);
  // Makes the scheduler of an upstream with an engine known.
  void TellSchedulers(const balancing::Upstream& upstream);
  common::Duration RetryAfter(const Call& call, common::Duration wait);
  void NotePause(Call& call, common::Duration pause);
  // What an attempt tells of its upstream.
  void NoteOutcome(const Call& call, AttemptEnd end);
  void NoteFailedUpstream(const Call& call);
  bool MayRepeatFailed(const Call& call) const;
  void AfterFailure(Call& call, AttemptEnd end);
  bool TakeRetry(const Call& call, AttemptEnd end);
  bool CanFinish(const Call& call) const;
  // Whether this process has no time for the call.
  bool IsShed(const Call& call);
  void Answer(Call& call, int status, std::string_view reason,
              std::optional<common::Duration> retry_after = {});
  void OnCallerLeft(Call& call);
  void LogServed(const Call& call, int status);
  // Breaks off the current attempt, if any.
  void EndAttempt(Call& call);
  void EndCall(Call& call);
  void LogLoad(common::TimePoint now);
  void CheckDeadlines();
  StartClient::InProgress StartsInProgress() const;
  std::optional<common::Duration> StoreAge() const;

  GatewaySettings settings_;
  GatewayEnvironment environment_;
  catalogue::CallerLimits limits_;
  forwarding::CallerServer callers_;
  forwarding::UpstreamConnections connections_;
  platform::StoreSession store_;
  std::shared_ptr<const catalogue::RouteTable> table_;
  balancing::UpstreamTable upstreams_;
  balancing::EjectionBook ejections_;
  // Requests of this gateway in progress, by upstream.
  std::unordered_map<common::UpstreamName, int> in_flight_;
  StartClient starts_;
  std::unordered_map<Call*, std::unique_ptr<Call>> calls_;
  std::unordered_map<balancing::SearchId, Call*> searches_;
  std::uint64_t last_search_ = 0;
  std::vector<std::unique_ptr<Call>> ended_;  // freed at the next tick
  std::unordered_map<common::PoolName, common::RetryBudget> retries_;
  overload::LoadShedder shedder_;
  GatewayMetrics metrics_;
  common::TimePoint last_tick_;
  std::mt19937_64 random_;
  std::optional<common::TimePoint> draining_since_;
  std::function<void()> on_drained_;
  common::TimePoint next_check_;
  common::TimePoint next_load_line_;
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_GATEWAY_H_
