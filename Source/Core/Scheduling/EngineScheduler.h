#ifndef SHALLOTBEAM_CORE_SCHEDULING_ENGINESCHEDULER_H_
#define SHALLOTBEAM_CORE_SCHEDULING_ENGINESCHEDULER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/OfferDecision.h"
#include "Common/Prompt.h"
#include "Common/ServiceCounters.h"
#include "Common/Types.h"
#include "Pacing/StartPacer.h"
#include "Scheduling/CacheDirectory.h"
#include "Scheduling/PrefillRate.h"
#include "Scheduling/PrefillShare.h"
#include "Scheduling/PrefixCache.h"

// Decides which of the requests that gateways offer to an engine starts next.
// An engine starts the requests that it receives in order of arrival, without
// priorities, so requests wait in this scheduler instead. Prefill is the
// processing of a prompt before the first event of the response stream. An
// over-share request is one beyond its workspace's fair share. This code only
// decides; it performs no I/O.
namespace shallotbeam::scheduling {

struct OfferId {
  common::Incarnation gateway = common::Incarnation::kNone;
  std::uint64_t number = 0;

  friend auto operator<=>(const OfferId&, const OfferId&) = default;
};

// A request that a gateway could send to the engine.
struct Offer {
  OfferId id;
  std::string request_id;  // for logs
  common::WorkspaceName workspace;
  common::Prompt prompt;
  int priority = 0;  // 0 is the most urgent
  // Whether the request is within its workspace's fair share of the fleet.
  bool within_share = true;
  // Whether this is the first offer of the request; it may be offered to
  // several engines.
  bool first = true;
  // Length of the prompt's prefix that the engine can fetch from another
  // engine's cache.
  int fetchable_tokens = 0;
  // Time left until the first event is late; negative if it is late already.
  common::Duration time_to_target{0};
  // Time to the deadline of the first event, after which it is useless to the
  // caller.
  common::Duration time_to_deadline{0};
  // Service that the workspace received recently in the whole fleet, in tokens.
  double recent_service = 0;
};

struct OfferReply {
  OfferId id;
  std::string request_id;
  common::OfferDecision decision = common::OfferDecision::kDeclined;
  common::Duration wait{0};  // expected time until the start
  int cached_tokens = 0;     // at this engine
  // Another engine that processed the shared parts recently. May be empty.
  common::UpstreamName prefix_holder;
  bool repeated = false;  // repeats an earlier reply without a change
};

struct EngineCapacity {
  int slots = 0;  // maximum batch size in requests; 0 if not known yet
  double memory_tokens = 0;
};

// Load that the engine reports.
struct EngineReport {
  int running = 0;
  int waiting = 0;
  double memory_used = 0;  // in tokens, without those that can be evicted
};

struct EngineSchedulerOptions {
  // Prefill time of the requests that are sent to the engine in advance, so
  // that it never idles between two requests. Further requests would only wait
  // in the engine, in order of arrival.
  common::Duration prefill_ahead = std::chrono::milliseconds(120);
  // The same, counted at the limited share of prefill: this much prefill may
  // run without a break.
  common::Duration paced_prefill_ahead = std::chrono::milliseconds(40);
  // The same for over-share requests, which must not delay requests within
  // their workspace's fair share.
  common::Duration over_share_prefill_ahead = std::chrono::milliseconds(40);
  // Over-share requests start only while prefill takes less than this fraction
  // of the engine's time and less than this fraction of its slots is occupied.
  double over_share_prefill_share = 0.4;
  double over_share_slot_share = 0.4;
  // Fraction of the memory that running requests may use.
  double memory_share = 0.92;
  // Offers of a gateway that has sent no message for this long are dropped.
  common::Duration gateway_timeout = std::chrono::milliseconds(2'500);
  // A start that its gateway does not report as in progress is dropped after
  // this time. Before, the gateway may not have received the start yet.
  common::Duration unreported_start_grace = std::chrono::milliseconds(500);
  // Weight of the newest interval between the ends of two requests.
  double end_interval_weight = 0.1;
  // Time constant with which service is forgotten while the engine states a
  // limit.
  common::Duration paced_service_memory = std::chrono::seconds(4);
};

struct EngineScheduler {
  struct Waiting {
    Offer offer;
    common::TimePoint arrived;
  };
  struct PacedService {
    double tokens = 0;
    common::TimePoint updated;
  };
  struct Running {
    std::string request_id;
    common::Prompt prompt;
    common::TimePoint sent;
    int uncached = 0;
    bool prefilling = true;
    common::TimePoint first_event;
    // The stream is stalled: an event gap was longer than its caller accepts.
    bool stalled = false;
  };

  EngineSchedulerOptions options;
  EngineCapacity spec;
  PrefixCache cache;
  CacheDirectory directory;
  PrefillRate prefill_rate;
  PrefillShare prefill_share;
  std::vector<Waiting> waiting;
  std::map<OfferId, Running> running;
  // Expected end of the prefill of all requests sent so far, at full speed and
  // at the limited share of prefill.
  common::TimePoint prefill_until;
  common::TimePoint paced_prefill_until;
  // The same at the share of prefill up to which over-share requests start.
  common::TimePoint over_share_prefill_until;
  // Set while the engine states a limit of requests a second.
  std::optional<pacing::StartPacer> pacer;
  // Tokens that each workspace received here since the limit was stated. They
  // decide the order meanwhile, as service from before would outweigh all that
  // a limited engine gives in seconds.
  std::map<common::WorkspaceName, PacedService> paced_service;
  std::optional<EngineReport> report;
  common::TimePoint last_report;
  // Mean time between the ends of two requests while all slots are occupied.
  common::Duration end_interval = std::chrono::milliseconds(50);
  std::optional<common::TimePoint> last_end;
  std::unordered_map<common::Incarnation, common::TimePoint> last_heard;
  // Service requested and received since the start of this process.
  std::map<common::WorkspaceName, common::ServiceCounters> service;
};

using Replies = std::vector<OfferReply>;

// Sets the configured capacity of the engine.
void SetCapacity(EngineScheduler& scheduler, const EngineCapacity& spec);
// Sets or ends the limit of requests a second that the engine states to take
// from all hosts together.
void SetRateLimit(EngineScheduler& scheduler, common::TimePoint now,
                  std::optional<double> per_second);
// Discards the state of an engine that has restarted, which empties its cache.
void ResetEngine(EngineScheduler& scheduler);

void OnOffer(EngineScheduler& scheduler, common::TimePoint now,
             const Offer& offer, Replies* replies);
// Handles the withdrawal of an offer: the gateway no longer needs a start.
void OnWithdrawn(EngineScheduler& scheduler, common::TimePoint now, OfferId id,
                 Replies* replies);
// Counts the tokens of requests that a gateway rejected without offering them
// to any engine.
void OnRejectedWithoutOffer(EngineScheduler& scheduler,
                            const common::WorkspaceName& workspace,
                            double tokens);
// Handles the start, at `upstream`, of a prompt whose preferred engine is this
// one.
void OnStartedElsewhere(EngineScheduler& scheduler, common::TimePoint now,
                        std::uint64_t prefix_key,
                        const common::UpstreamName& upstream);
void OnFirstEvent(EngineScheduler& scheduler, common::TimePoint now, OfferId id,
                  Replies* replies);
// Handles a stalled stream, whose event gap is longer than its caller accepts.
void OnStreamStalled(EngineScheduler& scheduler, common::TimePoint now,
                     OfferId id);
// Handles the end of a started request.
void OnFinished(EngineScheduler& scheduler, common::TimePoint now, OfferId id,
                Replies* replies);
void OnReport(EngineScheduler& scheduler, common::TimePoint now,
              const EngineReport& report, Replies* replies);
// Records that a gateway is alive.
void OnGatewayAlive(EngineScheduler& scheduler, common::TimePoint now,
                    common::Incarnation gateway);
// Handles a gateway's report of its starts in progress, as sorted offer
// numbers. Starts that are missing and not recent have ended without a message.
void OnRequestsInProgress(EngineScheduler& scheduler, common::TimePoint now,
                          common::Incarnation gateway,
                          const std::vector<std::uint64_t>& numbers,
                          Replies* replies);
// Handles timeouts and starts waiting requests. Must be called every few tens
// of milliseconds.
void OnTick(EngineScheduler& scheduler, common::TimePoint now,
            Replies* replies);

// Returns the number of requests in the engine, regardless of who sent them.
int OccupiedSlots(const EngineScheduler& scheduler);
// Returns the expected time to the start of a request like `offer` if it is
// offered now.
common::Duration ExpectedWait(const EngineScheduler& scheduler,
                              common::TimePoint now, const Offer& offer);

}  // namespace shallotbeam::scheduling

#endif  // SHALLOTBEAM_CORE_SCHEDULING_ENGINESCHEDULER_H_
