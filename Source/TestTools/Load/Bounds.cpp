#include "Load/Bounds.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace shallotbeam::load {

namespace {

using nlohmann::json;

// With fewer requests, percentiles and completed shares are not meaningful.
constexpr std::uint64_t kMinRequests = 20;

// The value that a bound is checked against. Without data `value` is empty and
// `detail` says why.
struct MeasuredValue {
  std::optional<double> value;
  std::string detail;
};

const json* FindKind(const json& phase, const json& like) {
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

// Returns the worst ratio between `bound.phase` and `bound.against` over all
// workspaces and kinds. The ratio is that of the 95th-percentile latency if
// `latency` is set, otherwise that of the completed share of offered requests.
// The share is used because it doesn't depend on the random number of arrivals.
MeasuredValue WorstRatio(const Bound& bound, const json& measures,
                         bool latency) {
  const json& phases = measures["phases"];
  if (!phases.contains(bound.phase) || !phases.contains(bound.against)) {
    return {.detail = "no such phase"};
  }
  MeasuredValue worst;
  for (const json& kind : phases[bound.phase]["kinds"]) {
    const std::string workspace = kind["workspace"];
    const auto& except = bound.except;
    if (std::find(except.begin(), except.end(), workspace) != except.end()) {
      continue;
    }
    const json* reference = FindKind(phases[bound.against], kind);
    if (reference == nullptr || kind["offered"] < kMinRequests ||
        (*reference)["offered"] < kMinRequests) {
      continue;
    }
    const double value = latency ? kind["latency_ms"]["p95"].get<double>()
                                 : CompletedShare(kind);
    const double reference_value =
        latency ? (*reference)["latency_ms"]["p95"].get<double>()
                : CompletedShare(*reference);
    if (reference_value <= 0) continue;
    // Without completed requests there is no latency; treat this as worse than
    // any measured one.
    const bool none_completed = latency && kind["completed"] == 0;
    const double ratio = none_completed ? 1e9 : value / reference_value;
    const bool worse =
        !worst.value || (latency ? ratio > *worst.value : ratio < *worst.value);
    if (!worse) continue;
    worst.value = ratio;
    worst.detail = fmt::format("{} {}", workspace,
                               kind["kind"].get_ref<const std::string&>());
  }
  return worst;
}

MeasuredValue PoolValue(const Bound& bound, const json& measures,
                        const char* key) {
  const json& phases = measures["phases"];
  if (!phases.contains(bound.phase)) return {.detail = "no such phase"};
  const json& pools = phases[bound.phase]["pools"];
  if (!pools.contains(bound.pool)) return {.detail = "no such pool"};
  const json& pool = pools[bound.pool];
  // Utilisation and fairness are only meaningful while requests are waiting.
  constexpr double kMinSeconds = 1;
  const bool gap = std::string(key) == "gap_ratio";
  const double seconds = pool[gap ? "gap_seconds" : "waiting_seconds"];
  if (seconds < kMinSeconds) return {.detail = "no backlog"};
  return {.value = pool[key].get<double>(),
          .detail = fmt::format("{:.1f} s", seconds)};
}

MeasuredValue WorstProcess(const json& measures, const char* key) {
  MeasuredValue worst;
  for (const json& it : measures["processes"]) {
    const std::string role = it["role"];
    if (role != "router" && role != "agent") continue;
    const double value = it[key];
    if (worst.value && value <= *worst.value) continue;
    worst = {.value = value, .detail = it["name"].get<std::string>()};
  }
  return worst;
}

MeasuredValue ReadMeasure(const Bound& bound, const json& measures) {
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
  return {.detail = "unknown measure"};
}

BoundResult Check(const Bound& bound, const json& measures) {
  const MeasuredValue found = ReadMeasure(bound, measures);
  BoundResult result;
  result.text = bound.measure;
  for (const std::string* it : {&bound.phase, &bound.pool}) {
    if (!it->empty()) result.text += " " + *it;
  }
  if (!bound.against.empty()) result.text += " against " + bound.against;
  if (bound.min) result.text += fmt::format(", at least {:g}", *bound.min);
  if (bound.max) result.text += fmt::format(", at most {:g}", *bound.max);
  if (!found.detail.empty()) result.text += " (" + found.detail + ")";
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
  // Checked in every run: invariants 3, 4 and 5 of docs/design.md, and that no
  // process crashes.
  for (const char* measure :
       {"duplicates", "false_not_run", "completed_without_run", "wrong",
        "processes_ended"}) {
    results.push_back(Check({.measure = measure, .max = 0}, measures));
  }
  return results;
}

}  // namespace shallotbeam::load
