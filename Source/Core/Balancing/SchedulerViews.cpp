#include "Balancing/SchedulerViews.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace shallotbeam::balancing {

namespace {

bool IsPlausible(common::Duration wait) {
  return wait >= common::Duration(0) && wait <= std::chrono::hours(1);
}

}  // namespace

bool IsPlausible(const EngineLoad& load) {
  return IsPlausible(load.expected_wait) && IsPlausible(load.over_share_wait) &&
         std::isfinite(load.ns_per_token) && load.ns_per_token >= 0;
}

bool RecordLoad(SchedulerView& view, common::TimePoint now,
                common::Incarnation incarnation, const EngineLoad& load) {
  const bool restarted = view.incarnation != common::Incarnation::kNone &&
                         view.incarnation != incarnation;
  view.last_heard = now;
  view.responsive = true;
  view.incarnation = incarnation;
  if (restarted) view.ns_per_token.reset();
  if (!IsPlausible(load)) {
    ++view.ignored_reports;
  } else {
    view.ignored_reports = 0;
    view.expected_wait = load.expected_wait;
    view.over_share_wait = load.over_share_wait;
    view.ns_per_token = load.ns_per_token;
    view.running = std::max(load.running, 0);
  }
  return restarted;
}

std::optional<double> MedianPrefillTime(const SchedulerViews& schedulers) {
  std::vector<double> prefill_times;
  for (const auto& [upstream, it] : schedulers) {
    if (it.ns_per_token) prefill_times.push_back(*it.ns_per_token);
  }
  if (prefill_times.empty()) return std::nullopt;
  const auto middle = prefill_times.begin() +
                      static_cast<std::ptrdiff_t>(prefill_times.size() / 2);
  std::nth_element(prefill_times.begin(), middle, prefill_times.end());
  return *middle;
}

}  // namespace shallotbeam::balancing
