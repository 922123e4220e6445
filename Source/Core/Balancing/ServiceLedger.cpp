#include "Balancing/ServiceLedger.h"

#include <algorithm>
#include <vector>

#include "Common/Fading.h"
#include "Common/MaxMin.h"

namespace shallotbeam::balancing {

namespace {

double DecayOver(const ServiceLedger& accounting, common::Duration age) {
  return common::FadeFactor(age, accounting.options.time_constant);
}

// Returns the increase of a counter since `last_counter` and updates the
// latter. Messages may arrive out of order, so a smaller value is ignored.
double CounterIncrease(double& last_counter, double counter) {
  const double increase = std::max(counter - last_counter, 0.0);
  last_counter += increase;
  return increase;
}

}  // namespace

void NoteCounters(ServiceLedger& accounting, common::TimePoint now,
                  common::Incarnation scheduler,
                  const common::WorkspaceName& workspace,
                  const common::ServiceCounters& counters) {
  const auto [it, first] =
      accounting.counters[scheduler].try_emplace(workspace, counters);
  // The first value covers service since the scheduler started, not only recent
  // service.
  if (first) return;
  ServiceLedger::Recent& recent = accounting.recent[workspace];
  const double decay = DecayOver(accounting, now - recent.updated);
  recent.tokens.asked = recent.tokens.asked * decay +
                        CounterIncrease(it->second.asked, counters.asked);
  recent.tokens.served = recent.tokens.served * decay +
                         CounterIncrease(it->second.served, counters.served);
  recent.updated = now;
}

common::ServiceCounters RecentTokens(const ServiceLedger& accounting,
                                     common::TimePoint now,
                                     const common::WorkspaceName& workspace) {
  const auto it = accounting.recent.find(workspace);
  if (it == accounting.recent.end()) return {};
  const double decay = DecayOver(accounting, now - it->second.updated);
  return {.asked = it->second.tokens.asked * decay,
          .served = it->second.tokens.served * decay};
}

double ShareOfWorkspace(const ServiceLedger& accounting, common::TimePoint now,
                        double tokens_per_second) {
  std::vector<double> asked;
  asked.reserve(accounting.recent.size());
  for (const auto& [workspace, it] : accounting.recent) {
    asked.push_back(it.tokens.asked * DecayOver(accounting, now - it.updated));
  }
  const double time_constant =
      std::chrono::duration<double>(accounting.options.time_constant).count();
  return common::MaxMinShare(std::move(asked),
                             tokens_per_second * time_constant);
}

double MostServed(const ServiceLedger& accounting, common::TimePoint now) {
  double highest = 0;
  for (const auto& [workspace, it] : accounting.recent) {
    highest = std::max(
        highest, it.tokens.served * DecayOver(accounting, now - it.updated));
  }
  return highest;
}

bool IsBehind(const ServiceLedger& accounting, common::TimePoint now,
              const common::WorkspaceName& workspace, double max_served) {
  return RecentTokens(accounting, now, workspace).served <
         accounting.options.underserved_ratio * max_served;
}

double PartWithinShare(const ServiceLedger& accounting, common::TimePoint now,
                       const common::WorkspaceName& workspace, double share) {
  const double asked = RecentTokens(accounting, now, workspace).asked;
  return asked <= share ? 1 : share / asked;
}

}  // namespace shallotbeam::balancing
