#ifndef SHALLOTBEAM_CORE_PROTOCOL_SCHEDULINGMESSAGES_H_
#define SHALLOTBEAM_CORE_PROTOCOL_SCHEDULINGMESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/OfferDecision.h"
#include "Common/Prompt.h"
#include "Common/Types.h"

// Messages between gateways and the schedulers of engines. Any message may be
// lost or duplicated: gateways repeat offers until they are answered, and their
// reports list the started requests that are still in progress, so that a
// scheduler notices if it missed the end of a request.
namespace shallotbeam::protocol {

// Service that a workspace requested and received, in tokens.
struct WorkspaceCounters {
  common::WorkspaceName workspace;
  double requested = 0;
  double served = 0;
};

// Report that each gateway sends to each scheduler once a second.
struct GatewayReport {
  common::Endpoint control;  // where the sender receives messages
  // The scheduler's engine, as described by the configuration and by the
  // engine's entry in the store.
  common::UpstreamName upstream;
  std::uint64_t upstream_started = 0;
  int slots = 0;
  double memory_tokens = 0;
  // Requests a second that the engine takes from all hosts together while it is
  // cold; 0 if there is no limit.
  double cold_per_second = 0;
  std::chrono::microseconds cold_time{0};  // after its start
  std::chrono::microseconds cold_left{0};  // as the gateway knows
  // Numbers of the offers whose requests are in progress; all other requests
  // have ended.
  std::vector<std::uint64_t> in_progress;
  // Service requested since the previous report by requests that were rejected
  // without an offer. Sent to one scheduler only, whose counters then include
  // it.
  std::vector<WorkspaceCounters> not_offered;
};

// Report that each scheduler sends to each gateway once or twice a second.
struct SchedulerReport {
  common::Endpoint control;
  std::chrono::microseconds expected_wait{0};
  // Expected wait of requests beyond their workspace's fair share.
  std::chrono::microseconds over_share_wait{0};
  double ns_per_token = 0;  // prefill time
  int occupied = 0;         // slots taken in the engine
  int waiting = 0;          // queued offers
  // Since the scheduler started. Workspaces whose counters have not changed are
  // left out of most reports.
  std::vector<WorkspaceCounters> workspaces;
};

// Offers a request to the scheduler of an engine.
struct StartOffer {
  std::uint64_t number = 0;  // unique within a gateway's incarnation
  common::Endpoint control;  // address for replies
  std::string request_id;    // for logs
  common::WorkspaceName workspace;
  common::Prompt prompt;
  int priority = 0;  // priority; 0 is the most urgent
  // Whether the workspace is within its fair share of the fleet.
  bool within_share = true;
  // The first offer of the request; later offers go to other engines.
  bool first = false;
  // Tokens at the start of the prompt that the engine can fetch from the cache
  // of another engine.
  int fetchable_tokens = 0;
  // Time left until the latency target of the first event.
  std::chrono::microseconds time_to_target{0};
  // Time left until the first-event deadline.
  std::chrono::microseconds time_to_deadline{0};
  // Tokens that the workspace received recently in the whole fleet.
  double recent_service = 0;
};

// Reply of a scheduler to an offer.
struct StartReply {
  std::uint64_t number = 0;
  common::OfferDecision decision = common::OfferDecision::kDeclined;
  std::chrono::microseconds wait{0};  // expected until the start
  // Estimated number of the prompt's tokens in the cache of this engine.
  int cached_tokens = 0;
  // Prefix holder: another engine that has the prompt's shared prefix cached;
  // empty if none is known.
  common::UpstreamName prefix_holder;
};

enum class StartStage : std::uint8_t {
  kWithdrawn,
  kFirstEvent,
  kDone,
  // The stream stalled for the first time: the gap between two events exceeded
  // the route's target.
  kStalled,
};

// Reports a stage of an offered request to the scheduler.
struct StartProgress {
  std::uint64_t number = 0;
  StartStage stage = StartStage::kDone;
};

// Sent when a prompt with a shared prefix starts at an engine other than the
// preferred engine of the prefix. Goes to the scheduler of the preferred
// engine, which then knows where the prefix is cached.
struct StartedElsewhere {
  std::uint64_t prefix_key = 0;  // key of the shared prefix
  common::UpstreamName upstream;
};

// Identifies the crash of one incarnation of an upstream.
enum class CrashId : std::uint64_t {};

enum class TraitKind : std::uint8_t {
  kRequest,     // caller, path and body
  kPromptPart,  // a part of the prompt that other requests share
};

// What requests have in common that may crash each upstream which runs them.
struct Trait {
  common::Fingerprint fingerprint = common::Fingerprint::kNone;
  TraitKind kind = TraitKind::kRequest;

  friend bool operator==(const Trait&, const Trait&) = default;
};

// A crash of an upstream at which a request with the trait had no response.
struct CrashSighting {
  CrashId crash{};
  std::chrono::microseconds age{0};       // of the crash
  std::chrono::microseconds sent_age{0};  // of the sending of the request
};

// What a process knows of the crashes of one trait since it was cleared.
struct CrashRow {
  Trait trait;
  std::vector<CrashSighting> crashes;
  // Whether a request with the trait has been answered, and how long ago.
  bool cleared = false;
  std::chrono::microseconds cleared_age{0};
};

// Sent by a gateway to a few schedulers when it has seen a crash, or an answer
// to a suspect; and by a scheduler to all gateways when that was new to it.
struct CrashReport {
  std::vector<CrashRow> rows;
};

// What a process knows of the limit that an upstream states: the requests a
// second that it takes from all hosts together.
struct LimitRow {
  common::UpstreamName upstream;
  std::uint64_t started = 0;  // its incarnation
  bool limited = false;       // false: it states no limit any more
  double per_second = 0;      // if limited
  // Ages of the request whose response stated it, and of that response.
  std::chrono::microseconds sent_age{0};
  std::chrono::microseconds received_age{0};
};

// Sent by a scheduler to all gateways with its reports, and by a gateway to the
// scheduler of an engine, while an upstream has a limit and shortly after.
struct LimitReport {
  std::vector<LimitRow> rows;
  // Gateways that the sender hears from; 0 if it does not know all of them yet.
  std::uint32_t gateways = 0;
};

// Asks a permit desk for the permission to start a request at an upstream with
// a limit.
struct PermitRequest {
  std::uint64_t number = 0;  // unique within a gateway's incarnation
  common::Endpoint control;  // address for the reply
  LimitRow limit;
  std::chrono::microseconds max_wait{0};  // longest wait for the start
};

struct PermitReply {
  std::uint64_t number = 0;
  bool granted = false;
  // Until the start, if granted; else until one may be granted.
  std::chrono::microseconds wait{0};
  LimitRow limit;  // as the desk knows it
  // Gateways that the desk hears from; 0 if it does not know all of them yet.
  std::uint32_t gateways = 0;
};

using SchedulingBody =
    std::variant<GatewayReport, SchedulerReport, StartOffer, StartReply,
                 StartProgress, StartedElsewhere, CrashReport, LimitReport,
                 PermitRequest, PermitReply>;

struct SchedulingEnvelope {
  common::ProcessName sender;
  common::Incarnation incarnation = common::Incarnation::kNone;
  SchedulingBody body;
};

}  // namespace shallotbeam::protocol

#endif  // SHALLOTBEAM_CORE_PROTOCOL_SCHEDULINGMESSAGES_H_
