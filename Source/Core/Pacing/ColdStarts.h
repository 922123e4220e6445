#ifndef SHALLOTBEAM_CORE_PACING_COLDSTARTS_H_
#define SHALLOTBEAM_CORE_PACING_COLDSTARTS_H_

#include <cstdint>
#include <optional>

#include "Common/Clock.h"

// Cold upstreams: an upstream that has just started, or has stood idle for
// long, takes only a limited number of requests a second and crashes under
// more. Nobody announces that it is cold: its entry in the store says so, its
// load reports show a restart, and the end of an evacuation implies it.
namespace shallotbeam::pacing {

// What the configuration of a pool says of its cold upstreams.
struct ColdLimit {
  double per_second = 0;     // from all hosts together; 0 if there is no limit
  common::Duration time{0};  // for which an upstream is cold after its start

  friend bool operator==(const ColdLimit&, const ColdLimit&) = default;
};

// Until when one incarnation of an upstream is taken for cold.
struct ColdPeriod {
  std::uint64_t started = 0;  // the incarnation
  common::TimePoint until;
};

// Merges what another source says. A later incarnation replaces an earlier
// one; of the same incarnation the longer period holds, as the upstream may
// have become cold again. Returns whether the period has become longer.
bool Extend(ColdPeriod& period, const ColdPeriod& other);

// Returns the limit while the upstream is cold.
std::optional<double> ColdRate(const ColdLimit& limit, const ColdPeriod& period,
                               common::TimePoint now);

// Returns the lower one of two limits, of which either may be absent.
std::optional<double> LowerLimit(std::optional<double> a,
                                 std::optional<double> b);

// Limits a period that another process or the store states to what makes
// sense.
common::Duration ClampColdTime(common::Duration left);

}  // namespace shallotbeam::pacing

#endif  // SHALLOTBEAM_CORE_PACING_COLDSTARTS_H_
