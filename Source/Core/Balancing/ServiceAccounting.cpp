#include "Balancing/ServiceAccounting.h"

#include <algorithm>
#include <vector>

#include "Common/ExponentialDecay.h"
#include "Common/MaxMin.h"

namespace shallotbeam::balancing {

namespace {

double DecayOver(const ServiceAccounting& accounting, common::Duration age) {
  return common::DecayFactor(age, accounting.options.time_constant);
}

// Returns the increase of a counter since `last_counter` and updates the
// latter. Messages may arrive out of order, so a smaller value is ignored.
double CounterIncrease(double& last_counter, double counter) {
  const double increase = std::max(counter - last_counter, 0.0);
  last_counter += increase;
  return increase;
}

}  // namespace

void RecordCounters(ServiceAccounting& accounting, common::TimePoint now,
                    common::Incarnation scheduler,
                    const common::WorkspaceName& workspace,
                    const common::ServiceCounters& counters) {
  const auto [it, first] =
      accounting.counters[scheduler].try_emplace(workspace, counters);
  // The first value covers service since the scheduler started, not only recent
  // service.
  if (first) return;
  ServiceAccounting::Recent& recent = accounting.recent[workspace];
  const double decay = DecayOver(accounting, now - recent.updated);
  recent.tokens.requested =
      recent.tokens.requested * decay +
      CounterIncrease(it->second.requested, counters.requested);
  recent.tokens.served = recent.tokens.served * decay +
                         CounterIncrease(it->second.served, counters.served);
  recent.updated = now;
}

common::ServiceCounters RecentTokens(const ServiceAccounting& accounting,
                                     common::TimePoint now,
                                     const common::WorkspaceName& workspace) {
  const auto it = accounting.recent.find(workspace);
  if (it == accounting.recent.end()) return {};
  const double decay = DecayOver(accounting, now - it->second.updated);
  return {.requested = it->second.tokens.requested * decay,
          .served = it->second.tokens.served * decay};
}

double FairShare(const ServiceAccounting& accounting, common::TimePoint now,
                 double tokens_per_second) {
  std::vector<double> requested;
  requested.reserve(accounting.recent.size());
  for (const auto& [workspace, it] : accounting.recent) {
    requested.push_back(it.tokens.requested *
                        DecayOver(accounting, now - it.updated));
  }
  const double time_constant =
      std::chrono::duration<double>(accounting.options.time_constant).count();
  return common::MaxMinShare(std::move(requested),
                             tokens_per_second * time_constant);
}

double MaxRecentService(const ServiceAccounting& accounting,
                        common::TimePoint now) {
  double highest = 0;
  for (const auto& [workspace, it] : accounting.recent) {
    highest = std::max(
        highest, it.tokens.served * DecayOver(accounting, now - it.updated));
  }
  return highest;
}

bool IsUnderserved(const ServiceAccounting& accounting, common::TimePoint now,
                   const common::WorkspaceName& workspace, double max_served) {
  return RecentTokens(accounting, now, workspace).served <
         accounting.options.underserved_ratio * max_served;
}

double FractionWithinShare(const ServiceAccounting& accounting,
                           common::TimePoint now,
                           const common::WorkspaceName& workspace,
                           double share) {
  const double requested = RecentTokens(accounting, now, workspace).requested;
  return requested <= share ? 1 : share / requested;
}

}  // namespace shallotbeam::balancing
