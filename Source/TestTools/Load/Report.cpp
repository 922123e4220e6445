#include "Load/Report.h"

#include <fmt/format.h>

namespace shallotbeam::load {

namespace {

using nlohmann::json;

double Number(const json& value, const char* key) {
  return value[key].get<double>();
}

std::string Text(const json& value, const char* key) {
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
          phase, pool, Number(it, "waiting_seconds"),
          Number(it, "utilisation") * 100,
          Number(it, "engine_utilisation") * 100, Number(it, "gap"),
          Number(it, "gap_target"), between[0].get<std::string>(),
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
          phase, Text(it, "workspace"), Text(it, "kind"),
          it["offered"].get<int>(), it["completed"].get<int>(),
          it["gave_up"].get<int>(), it["broken"].get<int>(),
          Number(latency, "p50"), Number(latency, "p95"),
          Number(latency, "p99"), refusals);
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
        "{:<20} {:<9} {:>8.1f} {:>12.0f} {:>10.1f}\n", Text(it, "name"),
        Text(it, "role"), Number(it, "cpu_percent"),
        Number(it, "control_bytes_per_second"), Number(it, "memory_mb"));
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
      const json& that = other["pools"][pool];
      const std::string name = fmt::format("{} {}", phase, pool);
      row(name + " slots used %", Number(it, "utilisation") * 100,
          Number(that, "utilisation") * 100);
      row(name + " fairness gap", Number(it, "gap"), Number(that, "gap"));
    }
    for (std::size_t i = 0; i < values["kinds"].size(); ++i) {
      const json& it = values["kinds"][i];
      const json& that = other["kinds"][i];
      const std::string name = fmt::format(
          "{} {} {}", phase, Text(it, "workspace"), Text(it, "kind"));
      row(name + " done", Number(it, "in_phase"), Number(that, "in_phase"));
      row(name + " p95 ms", Number(it["latency_ms"], "p95"),
          Number(that["latency_ms"], "p95"));
    }
  }
  return table;
}

}  // namespace shallotbeam::load
