#include "Balancing/ServiceLedger.h"

#include <algorithm>
#include <vector>

#include "Common/Fading.h"
#include "Common/MaxMin.h"

namespace shallotbeam::balancing {

namespace {

double Fade(const ServiceLedger& ledger, common::Duration age) {
  return common::FadeFactor(age, ledger.options.memory);
}

// The growth of a counter; messages may arrive out of order.
double Advance(double& known, double counter) {
  const double gain = std::max(counter - known, 0.0);
  known += gain;
  return gain;
}

}  // namespace

void NoteCounters(ServiceLedger& ledger, common::TimePoint now,
                  common::Incarnation scheduler,
                  const common::WorkspaceName& workspace,
                  const common::ServiceCounters& counters) {
  const auto [it, first] =
      ledger.counters[scheduler].try_emplace(workspace, counters);
  if (first) return;  // what came before is not known to be recent
  ServiceLedger::Recent& recent = ledger.recent[workspace];
  const double keep = Fade(ledger, now - recent.updated);
  recent.tokens.asked =
      recent.tokens.asked * keep + Advance(it->second.asked, counters.asked);
  recent.tokens.served =
      recent.tokens.served * keep + Advance(it->second.served, counters.served);
  recent.updated = now;
}

common::ServiceCounters RecentTokens(const ServiceLedger& ledger,
                                     common::TimePoint now,
                                     const common::WorkspaceName& workspace) {
  const auto it = ledger.recent.find(workspace);
  if (it == ledger.recent.end()) return {};
  const double keep = Fade(ledger, now - it->second.updated);
  return {.asked = it->second.tokens.asked * keep,
          .served = it->second.tokens.served * keep};
}

double ShareOfWorkspace(const ServiceLedger& ledger, common::TimePoint now,
                        double tokens_per_second) {
  std::vector<double> asked;
  asked.reserve(ledger.recent.size());
  for (const auto& [workspace, it] : ledger.recent) {
    asked.push_back(it.tokens.asked * Fade(ledger, now - it.updated));
  }
  const double memory =
      std::chrono::duration<double>(ledger.options.memory).count();
  return common::MaxMinShare(std::move(asked), tokens_per_second * memory);
}

double MostServed(const ServiceLedger& ledger, common::TimePoint now) {
  double most = 0;
  for (const auto& [workspace, it] : ledger.recent) {
    most = std::max(most, it.tokens.served * Fade(ledger, now - it.updated));
  }
  return most;
}

bool IsBehind(const ServiceLedger& ledger, common::TimePoint now,
              const common::WorkspaceName& workspace, double most_served) {
  return RecentTokens(ledger, now, workspace).served <
         ledger.options.behind * most_served;
}

double PartWithinShare(const ServiceLedger& ledger, common::TimePoint now,
                       const common::WorkspaceName& workspace, double share) {
  const double asked = RecentTokens(ledger, now, workspace).asked;
  return asked <= share ? 1 : share / asked;
}

}  // namespace shallotbeam::balancing
