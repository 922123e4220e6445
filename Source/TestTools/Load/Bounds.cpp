#include "Load/Bounds.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace shallotbeam::load {

namespace {

using nlohmann::json;

// Fewer requests than this give no usable percentile or share.
constexpr std::uint64_t kEnoughRequests = 20;

struct Found {
  std::optional<double> value;
  std::string where;
};

const json* KindIn(const json& phase, const json& like) {
  for (const json& it : phase["kinds"]) {
    const bool same =
        it["workspace"] == like["workspace"] && it["kind"] == like["kind"];
    if (same) return &it;
  }
  return nullptr;
}

double CompletedShare(const json& kind) {
  return kind["in_phase"].get<double>() / kind["offered"].get<double>();
}

// The worst ratio of all workspaces and kinds between two phases: of the share
// of offered requests that completed (which leaves out the chance in the number
// of arrivals), or of the 95th-percentile latency.
Found WorstRatio(const Bound& bound, const json& measures, bool latency) {
  const json& phases = measures["phases"];
  if (!phases.contains(bound.phase) || !phases.contains(bound.against)) {
    return {.where = "no such phase"};
  }
  Found worst;
  for (const json& kind : phases[bound.phase]["kinds"]) {
    const std::string workspace = kind["workspace"];
    const auto& except = bound.except;
    if (std::find(except.begin(), except.end(), workspace) != except.end()) {
      continue;
    }
    const json* calm = KindIn(phases[bound.against], kind);
    if (calm == nullptr || kind["offered"] < kEnoughRequests ||
        (*calm)["offered"] < kEnoughRequests) {
      continue;
    }
    const double now = latency ? kind["latency_ms"]["p95"].get<double>()
                               : CompletedShare(kind);
    const double then = latency ? (*calm)["latency_ms"]["p95"].get<double>()
                                : CompletedShare(*calm);
    if (then <= 0) continue;
    // Nothing completed has no latency; that is worse than any.
    const bool none = latency && kind["completed"] == 0;
    const double ratio = none ? 1e9 : now / then;
    const bool worse =
        !worst.value || (latency ? ratio > *worst.value : ratio < *worst.value);
    if (!worse) continue;
    worst.value = ratio;
    worst.where = fmt::format("{} {}", workspace,
                              kind["kind"].get_ref<const std::string&>());
  }
  return worst;
}

Found PoolValue(const Bound& bound, const json& measures, const char* key) {
  const json& phases = measures["phases"];
  if (!phases.contains(bound.phase)) return {.where = "no such phase"};
  const json& pools = phases[bound.phase]["pools"];
  if (!pools.contains(bound.pool)) return {.where = "no such pool"};
  const json& pool = pools[bound.pool];
  // Without a backlog there is nothing to judge.
  constexpr double kEnoughSeconds = 1;
  const bool gap = std::string(key) == "gap_ratio";
  const double seconds = pool[gap ? "gap_seconds" : "waiting_seconds"];
  if (seconds < kEnoughSeconds) return {.where = "no backlog"};
  return {.value = pool[key].get<double>(),
          .where = fmt::format("{:.1f} s", seconds)};
}

Found WorstProcess(const json& measures, const char* key) {
  Found worst;
  for (const json& it : measures["processes"]) {
    const std::string role = it["role"];
    if (role != "router" && role != "agent") continue;
    const double value = it[key];
    if (worst.value && value <= *worst.value) continue;
    worst = {.value = value, .where = it["name"].get<std::string>()};
  }
  return worst;
}

Found Measure(const Bound& bound, const json& measures) {
  const std::string& name = bound.measure;
  if (name == "utilisation" || name == "engine_utilisation") {
    return PoolValue(bound, measures, name.c_str());
  }
  if (name == "fairness_gap") return PoolValue(bound, measures, "gap_ratio");
  if (name == "completed_ratio") return WorstRatio(bound, measures, false);
  if (name == "p95_ratio") return WorstRatio(bound, measures, true);
  if (name == "control_bytes_per_second" || name == "memory_mb") {
    return WorstProcess(measures, name.c_str());
  }
  if (name == "processes_ended") {
    return {.value = static_cast<double>(measures[name].size())};
  }
  const json& orders = measures["orders"];
  if (orders.contains(name)) return {.value = orders[name].get<double>()};
  if (measures.contains(name) && measures[name].is_number()) {
    return {.value = measures[name].get<double>()};
  }
  return {.where = "unknown measure"};
}

BoundResult Check(const Bound& bound, const json& measures) {
  const Found found = Measure(bound, measures);
  BoundResult result;
  result.text = bound.measure;
  for (const std::string* it : {&bound.phase, &bound.pool}) {
    if (!it->empty()) result.text += " " + *it;
  }
  if (!bound.against.empty()) result.text += " against " + bound.against;
  if (bound.min) result.text += fmt::format(", at least {:g}", *bound.min);
  if (bound.max) result.text += fmt::format(", at most {:g}", *bound.max);
  if (!found.where.empty()) result.text += " (" + found.where + ")";
  if (!found.value) {
    result.text += ": no data";
    return result;
  }
  result.measured = *found.value;
  result.met = (!bound.min || *found.value >= *bound.min) &&
               (!bound.max || *found.value <= *bound.max);
  return result;
}

}  // namespace

std::vector<BoundResult> CheckBounds(const Experiment& experiment,
                                     const json& measures) {
  std::vector<BoundResult> results;
  for (const Bound& it : experiment.bounds) {
    results.push_back(Check(it, measures));
  }
  // Invariants 3, 4 and 5 of docs/design.md, and that no process crashes.
  for (const char* measure :
       {"duplicates", "false_not_run", "completed_without_run", "wrong",
        "processes_ended"}) {
    results.push_back(Check({.measure = measure, .max = 0}, measures));
  }
  return results;
}

}  // namespace shallotbeam::load
