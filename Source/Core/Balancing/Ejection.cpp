#include "Balancing/Ejection.h"

#include <algorithm>
#include <utility>

#include "Common/ExponentialDecay.h"

namespace shallotbeam::balancing {

namespace {

// Limits the exponent of the ejection time. Longer runs of ejections all get
// the maximum ejection time.
constexpr int kMaxDoublings = 10;

RecentOutcomes& DecayedOutcomes(EjectionState& state, common::TimePoint now,
                                const common::UpstreamName& name) {
  const auto [it, added] = state.outcomes.try_emplace(name);
  RecentOutcomes& outcomes = it->second;
  const double decay = added ? 1
                             : common::DecayFactor(now - outcomes.decayed_at,
                                                   state.options.time_constant);
  outcomes.answered *= decay;
  outcomes.failed *= decay;
  outcomes.decayed_at = now;
  return outcomes;
}

bool IsEjected(const EjectionState& state, common::TimePoint now,
               const common::UpstreamName& name) {
  const auto it = state.records.find(name);
  return it != state.records.end() && now < it->second.until;
}

// Fraction of the outcomes that are failures; zero without outcomes.
double FailureRate(double answered, double failed) {
  const double all = answered + failed;
  return all > 0 ? failed / all : 0;
}

struct PoolSummary {
  int ejected = 0;
  double others_failure_rate =
      0;  // failure rate of the other upstreams not ejected
};

PoolSummary SummarisePool(
    EjectionState& state, common::TimePoint now,
    const common::UpstreamName& name,
    const std::vector<const common::UpstreamName*>& pool) {
  PoolSummary summary;
  double answered = 0;
  double failed = 0;
  for (const auto* other : pool) {
    if (*other == name) continue;
    if (IsEjected(state, now, *other)) {
      ++summary.ejected;
      continue;
    }
    const RecentOutcomes& it = DecayedOutcomes(state, now, *other);
    answered += it.answered;
    failed += it.failed;
  }
  summary.others_failure_rate = FailureRate(answered, failed);
  return summary;
}

bool MayEjectAnother(const EjectionOptions& options, std::size_t pool,
                     int ejected) {
  if (pool < 2) return false;
  const int max_ejected =
      std::max(1, static_cast<int>(options.max_ejected_fraction *
                                   static_cast<double>(pool)));
  return ejected < max_ejected;
}

common::Duration EjectionTime(const EjectionOptions& options,
                              int consecutive_ejections, double draw) {
  const common::Duration ejection_time =
      std::min(options.base_ejection_time *
                   (1 << std::min(consecutive_ejections - 1, kMaxDoublings)),
               options.max_ejection_time);
  const double jitter =
      options.min_jitter + (options.max_jitter - options.min_jitter) * draw;
  return std::chrono::duration_cast<common::Duration>(ejection_time * jitter);
}

}  // namespace

bool RecordSuccess(EjectionState& state, common::TimePoint now,
                   const common::UpstreamName& name) {
  ++DecayedOutcomes(state, now, name).answered;
  const auto it = state.records.find(name);
  // An answer that arrives during the ejection belongs to an earlier request,
  // so it does not show that the upstream has recovered.
  if (it == state.records.end() || now < it->second.until) return false;
  const bool probing = std::exchange(it->second.probing, false);
  if (now - it->second.until > state.options.cooldown) state.records.erase(it);
  return probing;
}

std::optional<Ejection> RecordFailure(
    EjectionState& state, common::TimePoint now,
    const common::UpstreamName& name,
    const std::vector<const common::UpstreamName*>& pool, double draw) {
  const EjectionOptions& options = state.options;
  RecentOutcomes& outcomes = DecayedOutcomes(state, now, name);
  ++outcomes.failed;
  if (IsEjected(state, now, name)) return std::nullopt;
  const auto known_record = state.records.find(name);
  const bool probing =
      known_record != state.records.end() && known_record->second.probing;
  if (!probing && outcomes.failed < options.min_failures) {
    return std::nullopt;
  }
  const RecentOutcomes recent = outcomes;
  const PoolSummary summary = SummarisePool(state, now, name, pool);
  const double failure_rate = FailureRate(recent.answered, recent.failed);
  const bool failing =
      failure_rate >= options.min_failure_rate &&
      failure_rate >= options.min_ratio_to_others * summary.others_failure_rate;
  const bool ejects = (failing || probing) &&
                      MayEjectAnother(options, pool.size(), summary.ejected);
  if (!ejects) return std::nullopt;
  state.outcomes[name] = {.decayed_at = now};
  EjectionRecord& record = state.records[name];
  const bool reset = now - record.until > options.cooldown;
  record.consecutive_ejections = reset ? 1 : record.consecutive_ejections + 1;
  record.probing = true;
  const common::Duration ejection_time =
      EjectionTime(options, record.consecutive_ejections, draw);
  record.until = now + ejection_time;
  return Ejection{.ejection_time = ejection_time,
                  .failed = recent.failed,
                  .answered = recent.answered,
                  .others_failure_rate = summary.others_failure_rate};
}

std::vector<const common::UpstreamName*> ExcludeEjected(
    const EjectionState& state, common::TimePoint now,
    std::vector<const common::UpstreamName*> names,
    const std::function<int(const common::UpstreamName&)>& in_progress) {
  if (state.records.empty()) return names;
  std::vector<const common::UpstreamName*> usable;
  usable.reserve(names.size());
  for (const auto* name : names) {
    const auto it = state.records.find(*name);
    const bool is_free = it == state.records.end() ||
                         (now >= it->second.until &&
                          (!it->second.probing || in_progress(*name) == 0));
    if (is_free) usable.push_back(name);
  }
  return usable.empty() ? names : usable;
}

void ForgetUpstream(EjectionState& state, const common::UpstreamName& name) {
  state.outcomes.erase(name);
  state.records.erase(name);
}

}  // namespace shallotbeam::balancing
