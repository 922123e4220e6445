#ifndef SHALLOTBEAM_CORE_SCHEDULING_ENGINESCHEDULER_H_
#define SHALLOTBEAM_CORE_SCHEDULING_ENGINESCHEDULER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Prompt.h"
#include "Common/ServiceCounters.h"
#include "Common/StartVerdict.h"
#include "Common/Types.h"
#include "Scheduling/CacheDirectory.h"
#include "Scheduling/PrefixCache.h"
#include "Scheduling/ReadingPace.h"
#include "Scheduling/ReadingShare.h"

// Which of the requests that gateways offer an engine starts next. The engine
// starts whatever arrives, in order of arrival; so the waiting happens here.
// Decisions only.
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
  int rank = 0;              // 0 is the most urgent
  bool within_share = true;  // of its workspace
  // The first offer of the request; later ones went to other engines.
  bool first = true;
  // Tokens at the front of the prompt that the engine can fetch from another.
  int fetchable_tokens = 0;
  // Time left in which the first event is on time; below zero: late already.
  common::Duration target_left{0};
  // Longest time to the first event that still helps the caller.
  common::Duration patience{0};
  // Service that the workspace had lately in the whole fleet, in tokens.
  double served = 0;
};

struct OfferReply {
  OfferId id;
  std::string request_id;
  common::StartVerdict verdict = common::StartVerdict::kDeclined;
  common::Duration wait{0};  // expected until the start
  int cached_tokens = 0;     // at this engine
  // Another engine that read the shared parts lately; or empty.
  common::UpstreamName cached_at;
  bool repeated = false;  // nothing has changed since an earlier reply
};

struct EngineSpec {
  int slots = 0;  // requests in one batch; 0: not known yet
  double memory_tokens = 0;
};

// What the engine says of itself.
struct EngineReport {
  int running = 0;
  int waiting = 0;
  double memory_used = 0;  // tokens that can't yield
};

struct EngineSchedulerOptions {
  // Reading that is sent ahead, so that the engine never idles between two
  // requests; more would only wait there in order of arrival.
  common::Duration reading_ahead = std::chrono::milliseconds(120);
  // The same at the limited share of reading: what may be read without a break.
  common::Duration paced_ahead = std::chrono::milliseconds(40);
  // The same for requests beyond their workspace's share, which must not delay
  // those within it.
  common::Duration surplus_reading_ahead = std::chrono::milliseconds(40);
  // Requests beyond their workspace's share start only while reading takes less
  // than this share of the engine's time and while fewer than this share of
  // its slots are taken.
  double surplus_reading_share = 0.4;
  double surplus_slot_share = 0.4;
  // Share of the memory that running requests may take.
  double memory_share = 0.92;
  // Offers of a gateway that has not been heard from for this long are dropped.
  common::Duration gateway_silence = std::chrono::milliseconds(2'500);
  // A start that its gateway does not name is dropped after this time, in which
  // the gateway has heard of it.
  common::Duration unnamed_start_grace = std::chrono::milliseconds(500);
  // Weight of the newest interval between ends of requests.
  double end_weight = 0.1;
};

struct EngineScheduler {
  struct Waiting {
    Offer offer;
    common::TimePoint arrived;
  };
  struct Running {
    std::string request_id;
    common::Prompt prompt;
    common::TimePoint sent;
    int uncached = 0;
    bool reading = true;
    common::TimePoint first_event;
    bool paused = false;  // for longer than its caller accepts
  };

  EngineSchedulerOptions options;
  EngineSpec spec;
  PrefixCache cache;
  CacheDirectory directory;
  ReadingPace pace;
  ReadingShare reading_share;
  std::vector<Waiting> waiting;
  std::map<OfferId, Running> running;
  // When everything sent so far is read, at the full and at the limited share.
  common::TimePoint read_until;
  common::TimePoint paced_until;
  // The same at the share of reading up to which surplus requests start.
  common::TimePoint surplus_paced_until;
  std::optional<EngineReport> report;
  common::TimePoint report_taken;
  // Mean time between ends of requests while all slots are taken.
  common::Duration end_interval = std::chrono::milliseconds(50);
  std::optional<common::TimePoint> last_end;
  std::unordered_map<common::Incarnation, common::TimePoint> heard;
  // Since the start of this process.
  std::map<common::WorkspaceName, common::ServiceCounters> service;
};

using Replies = std::vector<OfferReply>;

// The engine as the configuration describes it; a change of incarnation empties
// its cache.
void SetSpec(EngineScheduler& scheduler, const EngineSpec& spec);
void ForgetEngine(EngineScheduler& scheduler);

void OnOffer(EngineScheduler& scheduler, common::TimePoint now,
             const Offer& offer, Replies* replies);
// The gateway no longer wants a start.
void OnWithdrawn(EngineScheduler& scheduler, common::TimePoint now, OfferId id,
                 Replies* replies);
// Requests that were refused before they were offered to any engine.
void OnNotOffered(EngineScheduler& scheduler,
                  const common::WorkspaceName& workspace, double tokens);
// A prompt of this engine's subject has started at another engine.
void OnStartedElsewhere(EngineScheduler& scheduler, common::TimePoint now,
                        std::uint64_t subject,
                        const common::UpstreamName& upstream);
void OnFirstEvent(EngineScheduler& scheduler, common::TimePoint now, OfferId id,
                  Replies* replies);
// A stream has paused for longer than its caller accepts.
void OnPaused(EngineScheduler& scheduler, common::TimePoint now, OfferId id);
// A started request has ended.
void OnDone(EngineScheduler& scheduler, common::TimePoint now, OfferId id,
            Replies* replies);
void OnReport(EngineScheduler& scheduler, common::TimePoint now,
              const EngineReport& report, Replies* replies);
// A gateway is alive.
void OnHeard(EngineScheduler& scheduler, common::TimePoint now,
             common::Incarnation gateway);
// A gateway names its starts in progress, sorted. Others that are not recent
// have ended without a message.
void OnInProgress(EngineScheduler& scheduler, common::TimePoint now,
                  common::Incarnation gateway,
                  const std::vector<std::uint64_t>& numbers, Replies* replies);
// Called every few tens of milliseconds.
void OnTick(EngineScheduler& scheduler, common::TimePoint now,
            Replies* replies);

// Requests in the engine, whoever sent them.
int Occupied(const EngineScheduler& scheduler);
// Expected time to the start of a request like `offer` that is offered now.
common::Duration ExpectedWait(const EngineScheduler& scheduler,
                              common::TimePoint now, const Offer& offer);

}  // namespace shallotbeam::scheduling

#endif  // SHALLOTBEAM_CORE_SCHEDULING_ENGINESCHEDULER_H_
