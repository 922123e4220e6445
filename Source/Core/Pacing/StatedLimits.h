#ifndef SHALLOTBEAM_CORE_PACING_STATEDLIMITS_H_
#define SHALLOTBEAM_CORE_PACING_STATEDLIMITS_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Protocol/SchedulingMessages.h"

// The requests a second that upstreams in need state to take from all hosts
// together. Every process may see only a part of an upstream's responses, so
// that statements are exchanged and merge in any order.
namespace shallotbeam::pacing {

struct StatedLimit {
  std::uint64_t started = 0;  // incarnation of the upstream
  // Absent if the upstream states no limit any more.
  std::optional<double> per_second;
  // The upstream made the statement at some time between these two: when the
  // request was sent, and when the head of its response was received.
  common::TimePoint sent;
  common::TimePoint received;
};

struct LimitTable {
  std::unordered_map<common::UpstreamName, StatedLimit> limits;
};

// Returns which of two statements of an upstream holds. If their order is not
// known, because a response may have been made before or after the other one,
// it is the lower limit.
StatedLimit Merge(const StatedLimit& a, const StatedLimit& b);

// Merges a statement into the table. Returns whether that changed the limit of
// the upstream.
bool Record(LimitTable& table, const common::UpstreamName& upstream,
            const StatedLimit& limit);

// Returns the limit in force, if any.
std::optional<double> LimitOf(const LimitTable& table,
                              const common::UpstreamName& upstream);

// Forgets limits that have ended a while ago, and those that nobody has stated
// for longer than `max_age`.
void Expire(LimitTable& table, common::TimePoint now, common::Duration max_age);

protocol::LimitRow ToRow(const common::UpstreamName& upstream,
                         const StatedLimit& limit, common::TimePoint now);
// Absent if the row has values that no process sends.
std::optional<StatedLimit> FromRow(const protocol::LimitRow& row,
                                   common::TimePoint now);

}  // namespace shallotbeam::pacing

#endif  // SHALLOTBEAM_CORE_PACING_STATEDLIMITS_H_
