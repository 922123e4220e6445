#include "Balancing/Ejection.h"

#include <algorithm>
#include <utility>

#include "Common/Fading.h"

namespace shallotbeam::balancing {

namespace {

// Longer runs of ejections all have the longest length.
constexpr int kMostDoublings = 10;

RecentOutcomes& OutcomesOf(EjectionBook& book, common::TimePoint now,
                           const common::UpstreamName& name) {
  const auto [it, added] = book.outcomes.try_emplace(name);
  RecentOutcomes& outcomes = it->second;
  const double keep =
      added ? 1 : common::FadeFactor(now - outcomes.faded, book.options.memory);
  outcomes.answered *= keep;
  outcomes.failed *= keep;
  outcomes.faded = now;
  return outcomes;
}

bool IsEjected(const EjectionBook& book, common::TimePoint now,
               const common::UpstreamName& name) {
  const auto it = book.suspensions.find(name);
  return it != book.suspensions.end() && now < it->second.until;
}

// Part of the recent outcomes that are failures; zero without outcomes.
double FailingPart(double answered, double failed) {
  const double all = answered + failed;
  return all > 0 ? failed / all : 0;
}

struct PoolView {
  int ejected = 0;
  double others_part = 0;  // that fails at the upstreams not ejected
};

PoolView ViewPool(EjectionBook& book, common::TimePoint now,
                  const common::UpstreamName& name,
                  const std::vector<const common::UpstreamName*>& pool) {
  PoolView view;
  double answered = 0;
  double failed = 0;
  for (const auto* other : pool) {
    if (*other == name) continue;
    if (IsEjected(book, now, *other)) {
      ++view.ejected;
      continue;
    }
    const RecentOutcomes& it = OutcomesOf(book, now, *other);
    answered += it.answered;
    failed += it.failed;
  }
  view.others_part = FailingPart(answered, failed);
  return view;
}

bool HasRoomFor(const EjectionOptions& options, std::size_t pool, int ejected) {
  if (pool < 2) return false;
  const int most = std::max(
      1, static_cast<int>(options.most_ejected * static_cast<double>(pool)));
  return ejected < most;
}

common::Duration LengthOf(const EjectionOptions& options, int ejections,
                          double draw) {
  const common::Duration length = std::min(
      options.first_ejection * (1 << std::min(ejections - 1, kMostDoublings)),
      options.longest_ejection);
  const double spread = options.least_spread +
                        (options.most_spread - options.least_spread) * draw;
  return std::chrono::duration_cast<common::Duration>(length * spread);
}

}  // namespace

bool NoteAnswered(EjectionBook& book, common::TimePoint now,
                  const common::UpstreamName& name) {
  ++OutcomesOf(book, now, name).answered;
  const auto it = book.suspensions.find(name);
  // An answer to a request from before the ejection proves nothing.
  if (it == book.suspensions.end() || now < it->second.until) return false;
  const bool on_trial = std::exchange(it->second.on_trial, false);
  if (now - it->second.until > book.options.calm) book.suspensions.erase(it);
  return on_trial;
}

std::optional<Ejection> NoteFailed(
    EjectionBook& book, common::TimePoint now, const common::UpstreamName& name,
    const std::vector<const common::UpstreamName*>& pool, double draw) {
  const EjectionOptions& options = book.options;
  RecentOutcomes& outcomes = OutcomesOf(book, now, name);
  ++outcomes.failed;
  if (IsEjected(book, now, name)) return std::nullopt;
  const auto known = book.suspensions.find(name);
  const bool on_trial =
      known != book.suspensions.end() && known->second.on_trial;
  if (!on_trial && outcomes.failed < options.fewest_failures) {
    return std::nullopt;
  }
  const RecentOutcomes recent = outcomes;
  const PoolView view = ViewPool(book, now, name, pool);
  const double part = FailingPart(recent.answered, recent.failed);
  const bool failing = part >= options.failing_part &&
                       part >= options.times_others * view.others_part;
  const bool ejects =
      (failing || on_trial) && HasRoomFor(options, pool.size(), view.ejected);
  if (!ejects) return std::nullopt;
  book.outcomes[name] = {.faded = now};
  Suspension& suspension = book.suspensions[name];
  const bool calm = now - suspension.until > options.calm;
  suspension.ejections = calm ? 1 : suspension.ejections + 1;
  suspension.on_trial = true;
  const common::Duration length = LengthOf(options, suspension.ejections, draw);
  suspension.until = now + length;
  return Ejection{.length = length,
                  .failed = recent.failed,
                  .answered = recent.answered,
                  .others_part = view.others_part};
}

std::vector<const common::UpstreamName*> WithoutEjected(
    const EjectionBook& book, common::TimePoint now,
    std::vector<const common::UpstreamName*> names,
    const std::function<int(const common::UpstreamName&)>& in_progress) {
  if (book.suspensions.empty()) return names;
  std::vector<const common::UpstreamName*> usable;
  usable.reserve(names.size());
  for (const auto* name : names) {
    const auto it = book.suspensions.find(*name);
    const bool is_free = it == book.suspensions.end() ||
                         (now >= it->second.until &&
                          (!it->second.on_trial || in_progress(*name) == 0));
    if (is_free) usable.push_back(name);
  }
  return usable.empty() ? names : usable;
}

void ForgetOutcomes(EjectionBook& book, const common::UpstreamName& name) {
  book.outcomes.erase(name);
  book.suspensions.erase(name);
}

}  // namespace shallotbeam::balancing
