#ifndef SHALLOTBEAM_CORE_BALANCING_EJECTION_H_
#define SHALLOTBEAM_CORE_BALANCING_EJECTION_H_

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"

// Load pattern: an upstream passes its health checks and breaks, spoils or
// never answers a part of its requests. Failing fast, it has little in progress
// and even attracts work. A gateway ejects it for a while, then tries it with
// one request at a time. Decisions only.
namespace shallotbeam::balancing {

struct EjectionOptions {
  // Outcomes fade to 1/e over this time.
  common::Duration memory = std::chrono::seconds(3);
  // An upstream is ejected from this many recent failures on,
  double fewest_failures = 2.5;
  // if they are this part of its recent outcomes
  double failing_part = 0.15;
  // and this many times the part that fails at the others of its pool, so that
  // an overload or a harmful request ejects none.
  double times_others = 3;
  // Doubled from one ejection to the next, and spread over this range, so that
  // gateways do not try an upstream together.
  common::Duration first_ejection = std::chrono::milliseconds(1'500);
  common::Duration longest_ejection = std::chrono::seconds(12);
  double least_spread = 0.75;
  double most_spread = 1.25;
  // An upstream without an ejection for this long starts from the first again.
  common::Duration calm = std::chrono::seconds(10);
  // Part of a pool that may be ejected at once, but always one of several.
  double most_ejected = 0.34;
};

// Of an upstream, fading.
struct RecentOutcomes {
  double answered = 0;
  double failed = 0;
  common::TimePoint faded;
};

struct Suspension {
  common::TimePoint until;
  int ejections = 0;     // in a row
  bool on_trial = true;  // has not answered a request sent since
};

struct EjectionBook {
  EjectionOptions options;
  std::unordered_map<common::UpstreamName, RecentOutcomes> outcomes;
  // Of upstreams that were ejected lately.
  std::unordered_map<common::UpstreamName, Suspension> suspensions;
};

// What an ejection follows from.
struct Ejection {
  common::Duration length{};
  double failed = 0;  // recently
  double answered = 0;
  double others_part = 0;  // of the outcomes at the others, failures
};

// Returns whether the upstream was on trial, which ends with this.
bool NoteAnswered(EjectionBook& book, common::TimePoint now,
                  const common::UpstreamName& name);

// The upstream broke, spoilt or did not answer an attempt. `pool` holds all
// upstreams that could have taken it; `draw` is uniform in [0, 1).
std::optional<Ejection> NoteFailed(
    EjectionBook& book, common::TimePoint now, const common::UpstreamName& name,
    const std::vector<const common::UpstreamName*>& pool, double draw);

// The upstreams of `names` that may be sent work; all of them if none may. One
// on trial takes a request if it has none in progress.
std::vector<const common::UpstreamName*> WithoutEjected(
    const EjectionBook& book, common::TimePoint now,
    std::vector<const common::UpstreamName*> names,
    const std::function<int(const common::UpstreamName&)>& in_progress);

// The upstream has gone, or is a new incarnation.
void ForgetOutcomes(EjectionBook& book, const common::UpstreamName& name);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_EJECTION_H_
