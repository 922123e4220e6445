#include "Pacing/StatedLimits.h"

#include <limits>

namespace shallotbeam::pacing {

namespace {

// Time for which the end of a limit is passed on.
constexpr common::Duration kEndedMemory = std::chrono::seconds(10);

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

StatedLimit FromRow(const protocol::LimitRow& row, common::TimePoint now) {
  return {
      .started = row.started,
      .per_second = row.limited ? std::optional(row.per_second) : std::nullopt,
      .sent = now - row.sent_age,
      .received = now - row.received_age};
}

}  // namespace shallotbeam::pacing
