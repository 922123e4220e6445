#include "Document.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace shallotbeam::benchmarks::capacity {

common::PoolName Pool() { return common::PoolName("model-1"); }
common::WorkspaceName Workspace(int n) {
  return common::WorkspaceName(fmt::format("workspace-{:03}", n));
}
common::KindName Kind() { return common::KindName("chat"); }

std::string FormatDocument(const FleetSize& size, int changes) {
  nlohmann::json document;
  document["pools"][Pool().value] = {{"type", "model"},
                                     {"initial_slots", kSlots},
                                     {"min_slots", kSlots},
                                     {"max_slots", kSlots}};
  const nlohmann::json kind = {{"pool", Pool().value},
                               {"urgency", "normal"},
                               {"idempotent", true},
                               {"max_queued", 100'000}};
  document["kinds"][Kind().value] = kind;
  for (int i = 0; i < size.unused_kinds; ++i) {
    document["kinds"][fmt::format("unused-{:05}", i)] = kind;
  }
  for (int i = 0; i < size.workspaces; ++i) {
    document["workspaces"][Workspace(i).value] = {
        {"weight", 1 + changes % 2}, {"open", true}, {"kinds", {Kind().value}}};
  }
  return document.dump();
}

common::Duration IntervalBetween(double per_hour) {
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(3600 / per_hour));
}

}  // namespace shallotbeam::benchmarks::capacity
