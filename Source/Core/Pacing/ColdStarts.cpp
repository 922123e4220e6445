#include "Pacing/ColdStarts.h"

#include <algorithm>

namespace shallotbeam::pacing {

namespace {

constexpr common::Duration kMaxColdTime = std::chrono::minutes(1);

}  // namespace

bool Extend(ColdPeriod& period, const ColdPeriod& other) {
  const bool newer = other.started > period.started;
  const bool longer =
      other.started == period.started && other.until > period.until;
  if (newer || longer) period = other;
  return newer || longer;
}

std::optional<double> ColdRate(const ColdLimit& limit, const ColdPeriod& period,
                               common::TimePoint now) {
  if (limit.per_second <= 0 || now >= period.until) return std::nullopt;
  return limit.per_second;
}

std::optional<double> LowerLimit(std::optional<double> a,
                                 std::optional<double> b) {
  if (!a || !b) return a ? a : b;
  return std::min(*a, *b);
}

common::Duration ClampColdTime(common::Duration left) {
  return std::clamp(left, common::Duration(0), kMaxColdTime);
}

}  // namespace shallotbeam::pacing
