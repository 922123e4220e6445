#ifndef SHALLOTBEAM_BENCHMARKS_FIXTURES_H_
#define SHALLOTBEAM_BENCHMARKS_FIXTURES_H_

#include <fmt/format.h>

#include <chrono>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Config/Model.h"

// Sizes, names and configuration shared by the benchmarks. The sizes are those
// of docs/design.md, section 1.3.
namespace shallotbeam::benchmarks {

inline constexpr int kWorkspaces = 260;
inline constexpr int kSlots = 64;

inline common::TimePoint Now() {
  return common::TimePoint(std::chrono::hours(1));
}
inline common::WorkspaceName Workspace(int n) {
  return common::WorkspaceName(fmt::format("workspace-{:03}", n));
}
inline common::PoolName Pool() { return common::PoolName("pool"); }
inline common::KindName Kind() { return common::KindName("kind"); }

inline config::FleetConfig Config() {
  config::FleetConfig config;
  config.version = static_cast<common::ConfigVersion>(1);
  config.pools[Pool()] = {.initial_slots = kSlots, .max_slots = kSlots};
  config.kinds[Kind()] = {.pool = Pool(), .max_queued = 100'000};
  for (int i = 0; i < kWorkspaces; ++i) {
    config.workspaces[Workspace(i)] = {.open = true, .kinds = {Kind()}};
  }
  return config;
}

}  // namespace shallotbeam::benchmarks

#endif  // SHALLOTBEAM_BENCHMARKS_FIXTURES_H_
