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

// Messages between gateways and the schedulers of engines. Each may be lost or
// repeated: offers are repeated until they are answered, and a gateway's hello
// names the starts in progress, so that lost ends are noticed.
namespace shallotbeam::protocol {

// Service of a workspace in tokens.
struct WorkspaceCounters {
  common::WorkspaceName workspace;
  double requested = 0;
  double served = 0;
};

// Sent by each gateway to each scheduler once a second.
struct GatewayReport {
  common::Endpoint control;  // the sender's inbox
  // The engine as the configuration and its entry describe it.
  common::UpstreamName upstream;
  std::uint64_t upstream_started = 0;
  int slots = 0;
  double memory_tokens = 0;
  // Numbers of the starts that are in progress; others have ended.
  std::vector<std::uint64_t> in_progress;
  // What was asked for and refused without an offer since the last hello. Sent
  // to one scheduler only, whose counters then include it.
  std::vector<WorkspaceCounters> not_offered;
};

// Sent by each scheduler to each gateway twice a second.
struct SchedulerReport {
  common::Endpoint control;
  std::chrono::microseconds expected_wait{0};
  // The same for requests beyond their workspace's share.
  std::chrono::microseconds over_share_wait{0};
  double ns_per_token = 0;  // of reading
  int occupied = 0;         // requests in the engine
  int waiting = 0;          // offers
  std::vector<WorkspaceCounters>
      workspaces;  // since the start of the scheduler
};

struct StartOffer {
  std::uint64_t number = 0;  // of the offer, unique in a gateway's incarnation
  common::Endpoint control;  // where replies go
  std::string request_id;    // for logs
  common::WorkspaceName workspace;
  common::Prompt prompt;
  int priority = 0;
  // Within the workspace's share of the fleet.
  bool within_share = true;
  // The first offer of this request; others go to further engines.
  bool first = false;
  // Tokens at the front of the prompt that the engine can fetch from another.
  int fetchable_tokens = 0;
  std::chrono::microseconds time_to_target{0};
  std::chrono::microseconds time_to_deadline{0};
  double recent_service = 0;
};

struct StartReply {
  std::uint64_t number = 0;
  common::OfferDecision decision = common::OfferDecision::kDeclined;
  std::chrono::microseconds wait{0};
  int cached_tokens = 0;  // at this engine, as far as is known
  // Another engine that read the shared parts lately; or empty.
  common::UpstreamName prefix_holder;
};

enum class StartStage : std::uint8_t {
  kWithdrawn,
  kFirstEvent,
  kDone,
  // For the first time, the pause between two events was longer than callers
  // accept.
  kStalled,
};

struct StartProgress {
  std::uint64_t number = 0;
  StartStage stage = StartStage::kDone;
};

// Sent to the scheduler of a subject's home when one of its prompts starts at
// another engine.
struct StartedElsewhere {
  std::uint64_t shared_prefix = 0;
  common::UpstreamName upstream;
};

using SchedulingBody =
    std::variant<GatewayReport, SchedulerReport, StartOffer, StartReply,
                 StartProgress, StartedElsewhere>;

struct SchedulingEnvelope {
  common::ProcessName sender;
  common::Incarnation incarnation = common::Incarnation::kNone;
  SchedulingBody body;
};

}  // namespace shallotbeam::protocol

#endif  // SHALLOTBEAM_CORE_PROTOCOL_SCHEDULINGMESSAGES_H_
