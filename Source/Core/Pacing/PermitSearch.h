#ifndef SHALLOTBEAM_CORE_PACING_PERMITSEARCH_H_
#define SHALLOTBEAM_CORE_PACING_PERMITSEARCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"

// Permit search: asks the desks of an upstream with a stated limit for the
// permission to start a request there. While none of them answers, a gateway
// uses its own small part of the limit. This code only decides; it performs no
// I/O.
namespace shallotbeam::pacing {

enum class PermitId : std::uint64_t {};

struct PermitSearchOptions {
  common::ProcessName gateway;  // of this process
  // A desk that does not reply within this time is not asked for a while.
  common::Duration reply_timeout = std::chrono::milliseconds(60);
  common::Duration silence = std::chrono::seconds(1);
  // Number of gateways in the fleet until it is known.
  int assumed_gateways = 1'000;
};

struct PermitRequest {
  PermitId id{};
  common::UpstreamName upstream;
  double per_second = 0;  // limit of the upstream
  // Longest wait for the start.
  common::Duration max_wait{0};
  std::vector<common::Endpoint> desks;
};

struct PermitSearch {
  struct Pending {
    PermitRequest request;
    std::uint64_t number = 0;  // of the open message to a desk
    std::size_t asked = 0;     // desks asked so far
    common::TimePoint sent;
    // A desk has replied, so that the own part must not be used.
    bool answered = false;
    common::Duration shortest_wait{0};
    // The permit is granted from this time on.
    std::optional<common::TimePoint> starts;
  };

  PermitSearchOptions options;
  std::map<PermitId, Pending> pending;
  std::map<std::uint64_t, PermitId> open;  // by message number
  std::uint64_t last_number = 0;
  std::map<common::Endpoint, common::TimePoint> silent_until;
  // All desks of the upstream have denied a start before this time.
  std::unordered_map<common::UpstreamName, common::TimePoint> denied_until;
  // Last starts of this gateway's own part of a limit.
  std::unordered_map<common::UpstreamName, common::TimePoint> own_starts;
  int gateways = 0;  // in the fleet; 0 if not known
  common::TimePoint gateways_counted;
};

struct AskDesk {
  PermitId id{};
  common::Endpoint desk;
  std::uint64_t number = 0;
  common::Duration max_wait{0};
};
struct PermitGranted {
  PermitId id{};
};
struct PermitDenied {
  PermitId id{};
  common::Duration wait{0};  // until one may be granted
};
using PermitAction = std::variant<AskDesk, PermitGranted, PermitDenied>;
using PermitActions = std::vector<PermitAction>;

void BeginPermit(PermitSearch& search, common::TimePoint now,
                 PermitRequest request, PermitActions* actions);
void CancelPermit(PermitSearch& search, PermitId id);
void OnPermitReply(PermitSearch& search, common::TimePoint now,
                   std::uint64_t number, bool granted, common::Duration wait,
                   PermitActions* actions);
// Handles timeouts and permits whose wait is over. Must be called every few
// tens of milliseconds.
void OnPermitTick(PermitSearch& search, common::TimePoint now,
                  PermitActions* actions);

// Whether all desks of the upstream have denied a start at this time.
bool IsDenied(const PermitSearch& search, common::TimePoint now,
              const common::UpstreamName& upstream);

// Whether a start of this gateway's own part of a limit is left now.
bool HasOwnStart(const PermitSearch& search, common::TimePoint now,
                 const common::UpstreamName& upstream, double per_second);

// Takes that start. Returns whether there was one.
bool TakeOwnStart(PermitSearch& search, common::TimePoint now,
                  const common::UpstreamName& upstream, double per_second);

// Handles a count of the fleet's gateways by another process; 0 if it does not
// know all of them yet.
void SetGatewayCount(PermitSearch& search, common::TimePoint now, int gateways);

void ForgetUpstream(PermitSearch& search, const common::UpstreamName& upstream);

}  // namespace shallotbeam::pacing

#endif  // SHALLOTBEAM_CORE_PACING_PERMITSEARCH_H_
