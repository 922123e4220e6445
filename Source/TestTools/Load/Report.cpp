#include "Load/Report.h"

#include <fmt/format.h>

namespace shallotbeam::load {

namespace {

using nlohmann::json;

double NumberAt(const json& value, const char* key) {
  return value[key].get<double>();
}

std::string StringAt(const json& value, const char* key) {
  return value[key].get<std::string>();
}

std::string PoolTable(const json& phases) {
  std::string table = fmt::format(
      "{:<14} {:<12} {:>9} {:>9} {:>11} {:>11} {:>11}  {}\n", "phase", "pool",
      "waiting s", "slots %", "engines %", "gap", "gap target", "between");
  for (const auto& [phase, values] : phases.items()) {
    for (const auto& [pool, it] : values["pools"].items()) {
      const json& between = it["gap_between"];
      table += fmt::format(
          "{:<14} {:<12} {:>9.1f} {:>9.1f} {:>11.1f} {:>11.1f} {:>11.1f}  "
          "{} {}\n",
          phase, pool, NumberAt(it, "waiting_seconds"),
          NumberAt(it, "utilisation") * 100,
          NumberAt(it, "engine_utilisation") * 100, NumberAt(it, "gap"),
          NumberAt(it, "gap_target"), between[0].get<std::string>(),
          between[1].get<std::string>());
    }
  }
  return table;
}

std::string KindTable(const json& phases) {
  std::string table = fmt::format(
      "{:<14} {:<12} {:<14} {:>7} {:>7} {:>7} {:>6} {:>8} {:>8} {:>8}  {}\n",
      "phase", "workspace", "kind", "offered", "done", "given up", "broken",
      "p50 ms", "p95 ms", "p99 ms", "refusals");
  for (const auto& [phase, values] : phases.items()) {
    for (const json& it : values["kinds"]) {
      std::string refusals;
      for (const auto& [reason, n] : it["refusals"].items()) {
        refusals += fmt::format("{}: {}  ", reason, n.get<int>());
      }
      const json& latency = it["latency_ms"];
      table += fmt::format(
          "{:<14} {:<12} {:<14} {:>7} {:>7} {:>8} {:>6} {:>8.1f} {:>8.1f} "
          "{:>8.1f}  {}\n",
          phase, StringAt(it, "workspace"), StringAt(it, "kind"),
          it["offered"].get<int>(), it["completed"].get<int>(),
          it["gave_up"].get<int>(), it["broken"].get<int>(),
          NumberAt(latency, "p50"), NumberAt(latency, "p95"),
          NumberAt(latency, "p99"), refusals);
    }
  }
  return table;
}

std::string ProcessTable(const json& processes) {
  std::string table =
      fmt::format("{:<20} {:<9} {:>8} {:>12} {:>10}\n", "process", "role",
                  "cpu %", "control B/s", "memory MB");
  for (const json& it : processes) {
    table += fmt::format(
        "{:<20} {:<9} {:>8.1f} {:>12.0f} {:>10.1f}\n", StringAt(it, "name"),
        StringAt(it, "role"), NumberAt(it, "cpu_percent"),
        NumberAt(it, "control_bytes_per_second"), NumberAt(it, "memory_mb"));
  }
  return table;
}

}  // namespace

std::string ToTable(const json& measures) {
  const json& orders = measures["orders"];
  return fmt::format(
      "{}\n{}\n{}\norders {}, runs {}, duplicates {}, false not-run {}; wrong "
      "responses {}, broken {}, unfinished {}, engine restarts {}\n",
      PoolTable(measures["phases"]), KindTable(measures["phases"]),
      ProcessTable(measures["processes"]), orders["keys"].get<int>(),
      orders["runs"].get<int>(), orders["duplicates"].get<int>(),
      orders["false_not_run"].get<int>(), measures["wrong"].get<int>(),
      measures["broken"].get<int>(), measures["unfinished"].get<int>(),
      measures["engine_restarts"].get<int>());
}

std::string ToTable(const std::vector<BoundResult>& bounds) {
  std::string table;
  for (const BoundResult& it : bounds) {
    table += fmt::format("{:<6} {:>10.3f}  {}\n", it.met ? "met" : "MISSED",
                         it.measured, it.text);
  }
  return table;
}

std::string CompareTable(const json& fleet, const json& baseline) {
  std::string table = fmt::format("{:<44} {:>12} {:>12} {:>8}\n", "", "fleet",
                                  "baseline", "ratio");
  const auto row = [&](const std::string& name, double a, double b) {
    table += fmt::format("{:<44} {:>12.1f} {:>12.1f} {:>8}\n", name, a, b,
                         b > 0 ? fmt::format("{:.2f}", a / b) : "-");
  };
  for (const auto& [phase, values] : fleet["phases"].items()) {
    const json& other = baseline["phases"][phase];
    for (const auto& [pool, it] : values["pools"].items()) {
      const json& baseline_values = other["pools"][pool];
      const std::string name = fmt::format("{} {}", phase, pool);
      row(name + " slots used %", NumberAt(it, "utilisation") * 100,
          NumberAt(baseline_values, "utilisation") * 100);
      row(name + " fairness gap", NumberAt(it, "gap"),
          NumberAt(baseline_values, "gap"));
    }
    for (std::size_t i = 0; i < values["kinds"].size(); ++i) {
      const json& it = values["kinds"][i];
      const json& baseline_values = other["kinds"][i];
      const std::string name = fmt::format(
          "{} {} {}", phase, StringAt(it, "workspace"), StringAt(it, "kind"));
      row(name + " done", NumberAt(it, "in_phase"),
          NumberAt(baseline_values, "in_phase"));
      row(name + " p95 ms", NumberAt(it["latency_ms"], "p95"),
          NumberAt(baseline_values["latency_ms"], "p95"));
    }
  }
  return table;
}

}  // namespace shallotbeam::load
