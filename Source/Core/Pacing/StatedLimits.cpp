#include "Pacing/StatedLimits.h"

#include <cmath>
#include <limits>

namespace shallotbeam::pacing {

namespace {

// Time for which the end of a limit is passed on.
constexpr common::Duration kEndedMemory = std::chrono::seconds(10);

// Oldest statement that is accepted from another process.
constexpr std::chrono::microseconds kMaxAge = std::chrono::hours(1);

double Rank(const StatedLimit& limit) {
  return limit.per_second.value_or(std::numeric_limits<double>::infinity());
}

}  // namespace

StatedLimit Merge(const StatedLimit& a, const StatedLimit& b) {
  if (a.started != b.started) return a.started > b.started ? a : b;
  if (b.sent >= a.received) return b;
  if (a.sent >= b.received) return a;
  if (a.per_second == b.per_second) return a.received > b.received ? a : b;
  return Rank(a) < Rank(b) ? a : b;
}

bool Record(LimitTable& table, const common::UpstreamName& upstream,
            const StatedLimit& limit) {
  const auto it = table.limits.find(upstream);
  if (it == table.limits.end()) {
    if (!limit.per_second) return false;
    table.limits.emplace(upstream, limit);
    return true;
  }
  const double before = Rank(it->second);
  it->second = Merge(it->second, limit);
  return Rank(it->second) != before;
}

std::optional<double> LimitOf(const LimitTable& table,
                              const common::UpstreamName& upstream) {
  const auto it = table.limits.find(upstream);
  return it == table.limits.end() ? std::nullopt : it->second.per_second;
}

void Expire(LimitTable& table, common::TimePoint now,
            common::Duration max_age) {
  std::erase_if(table.limits, [&](const auto& it) {
    const common::Duration age = now - it.second.received;
    return age > (it.second.per_second ? max_age : kEndedMemory);
  });
}

protocol::LimitRow ToRow(const common::UpstreamName& upstream,
                         const StatedLimit& limit, common::TimePoint now) {
  return {.upstream = upstream,
          .started = limit.started,
          .limited = limit.per_second.has_value(),
          .per_second = limit.per_second.value_or(0),
          .sent_age = common::ToMicroseconds(now - limit.sent),
          .received_age = common::ToMicroseconds(now - limit.received)};
}

std::optional<StatedLimit> FromRow(const protocol::LimitRow& row,
                                   common::TimePoint now) {
  const bool valid = std::isfinite(row.per_second) && row.per_second >= 0 &&
                     row.received_age.count() >= 0 &&
                     row.sent_age >= row.received_age &&
                     row.sent_age <= kMaxAge;
  if (!valid) return std::nullopt;
  StatedLimit limit{.started = row.started,
                    .sent = now - row.sent_age,
                    .received = now - row.received_age};
  if (row.limited) limit.per_second = row.per_second;
  return limit;
}

}  // namespace shallotbeam::pacing
