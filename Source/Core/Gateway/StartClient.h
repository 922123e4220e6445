#ifndef SHALLOTBEAM_CORE_GATEWAY_STARTCLIENT_H_
#define SHALLOTBEAM_CORE_GATEWAY_STARTCLIENT_H_

#include <functional>
#include <limits>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "Balancing/ServiceLedger.h"
#include "Balancing/StartSearch.h"
#include "Catalogue/Model.h"
#include "Common/Clock.h"
#include "Protocol/SchedulingMessages.h"

namespace shallotbeam::gateway {

// A start that a scheduler gave; it is told of its progress.
struct StartTicket {
  common::UpstreamName upstream;
  balancing::OfferNumber number = 0;  // 0: no start was given
  int cached_tokens = 0;
  common::UpstreamName cache_source;  // that has more of the prompt; or empty
};

struct StartOutcome {
  balancing::SearchId search{};
  enum class Kind : std::uint8_t { kStart, kDeclined, kNoScheduler } kind;
  StartTicket ticket;        // of a start
  common::Duration wait{0};  // shortest, if declined
  bool offered = true;       // to an engine
};

struct StartClientOptions {
  common::ProcessName name;
  common::Incarnation incarnation = common::Incarnation::kNone;
  common::Endpoint control;  // inbox; schedulers listen on the same port
  balancing::StartSearchOptions search;
};

// Speaks to the schedulers of all engines. Used by one thread.
class StartClient {
 public:
  using Send = std::function<void(const common::Endpoint&, std::string_view)>;
  using Done = std::function<void(const StartOutcome&)>;

  StartClient(StartClientOptions options, const common::Clock& clock, Send send,
              Done done);

  // Engines come and go. `address` is the engine's, whose host the scheduler
  // shares.
  void PutEngine(const common::UpstreamName& upstream,
                 const std::string& address, std::uint64_t started,
                 const catalogue::Engine& engine);
  void RemoveEngine(const common::UpstreamName& upstream);

  // Tokens of service that the whole fleet gives in a second; absent: not
  // known.
  void SetServiceRate(std::optional<double> tokens_per_second) {
    tokens_per_second_ = tokens_per_second;
  }
  // Part of the workspace's requests that lies within its share of that rate.
  double PartWithinShare(const common::WorkspaceName& workspace) const;
  // Whether the workspace receives much less than the best served one.
  bool IsBehind(const common::WorkspaceName& workspace) const;

  // Time in which the engines read a prompt token, in nanoseconds; absent: not
  // known.
  std::optional<double> ReadingPace() const { return reading_pace_; }
  bool IsAnswering(const common::UpstreamName& upstream) const {
    return balancing::IsAnswering(book_, clock_.Now(), upstream);
  }

  void Seek(balancing::SearchRequest request);
  // The request was refused without an offer to an engine.
  void NoteNotOffered(const common::WorkspaceName& workspace,
                      const common::Prompt& prompt);
  void Cancel(balancing::SearchId id);
  void Report(const StartTicket& ticket, protocol::StartStage stage);
  // The numbers of starts in progress, by upstream.
  using InProgress =
      std::unordered_map<common::UpstreamName, std::vector<std::uint64_t>>;

  void OnBytes(std::string_view bytes);
  // `in_progress` is asked for when hellos are sent.
  void OnTick(const std::function<InProgress()>& in_progress);

 private:
  struct Engine {
    common::Endpoint control;
    std::uint64_t started = 0;
    catalogue::Engine spec;
  };

  void Carry(const balancing::SearchActions& actions);
  void Do(const balancing::MakeOffer& action);
  void Do(const balancing::WithdrawOffer& action);
  void Do(const balancing::StartAt& action);
  void Do(const balancing::NoStart& action);
  void Do(const balancing::NoScheduler& action);
  void Take(const protocol::SchedulingEnvelope& from,
            const protocol::SchedulerHello& hello);
  void Take(const protocol::StartReply& reply);
  void SendTo(const common::UpstreamName& upstream,
              protocol::SchedulingBody body);
  void SendHellos(const InProgress& in_progress);

  StartClientOptions options_;
  const common::Clock& clock_;
  Send send_;
  Done done_;
  balancing::StartBook book_;
  balancing::ServiceLedger ledger_;
  std::unordered_map<common::UpstreamName, Engine> engines_;
  std::map<common::Endpoint, common::UpstreamName> by_control_;
  common::TimePoint next_hello_;
  std::optional<double> tokens_per_second_;
  double share_ = std::numeric_limits<double>::infinity();  // of a workspace
  double most_served_ = 0;  // tokens of a workspace
  common::TimePoint next_share_;
  // Tokens of requests that were refused without an offer, since the last
  // hello.
  std::unordered_map<common::WorkspaceName, double> not_offered_;
  std::optional<double> reading_pace_;
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_STARTCLIENT_H_
