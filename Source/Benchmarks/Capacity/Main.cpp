#include <fmt/format.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Common/Logging.h"
#include "Fit.h"
#include "FleetSimulation.h"

namespace {

namespace po = boost::program_options;
namespace capacity = shallotbeam::benchmarks::capacity;
using capacity::FleetSize;
using nlohmann::json;

// One parameter of the fleet that is varied while the others keep their
// defaults, and the values at which costs are measured.
struct Axis {
  std::string name;
  std::vector<double> values;
  std::function<void(FleetSize&, double)> apply;
};

struct Point {
  std::size_t axis = 0;
  double x = 0;
  capacity::SimulationResult result;
};

std::vector<Axis> Axes() {
  const auto to_int = [](double x) { return static_cast<int>(x); };
  return {
      {"agents",
       {2, 4, 8, 16, 32, 64},
       [=](FleetSize& size, double x) { size.agents = to_int(x); }},
      {"routers",
       {2, 4, 8, 16},
       [=](FleetSize& size, double x) { size.routers = to_int(x); }},
      {"workspaces",
       {16, 64, 130, 260},
       [=](FleetSize& size, double x) { size.workspaces = to_int(x); }},
      {"backlogged",
       {2, 8, 26, 64},
       [=](FleetSize& size, double x) { size.backlogged = to_int(x); }},
      {"requests_per_second",
       {5, 20, 80, 320},
       [](FleetSize& size, double x) { size.requests_per_second = x; }},
      {"restarts_per_hour",
       {0, 600, 1800, 3600},
       [](FleetSize& size, double x) { size.restarts_per_hour = x; }},
      {"unused_kinds",
       {0, 250, 1000, 4000},
       [=](FleetSize& size, double x) {
         size.unused_kinds = to_int(x);
         size.changes_per_hour = 1800;
       }},
      {"changes_per_hour",
       {0, 600, 1800, 3600},
       [](FleetSize& size, double x) {
         size.unused_kinds = 250;
         size.changes_per_hour = x;
       }},
  };
}

json ToJson(const capacity::Usage& usage, double seconds) {
  json result;
  capacity::Traffic sum;
  double control_cpu = 0;
  for (const auto& [type, it] : usage.traffic) {
    result["types"][type] = {{"messages_in", it.messages_in / seconds},
                             {"bytes_in", it.bytes_in / seconds},
                             {"messages_out", it.messages_out / seconds},
                             {"bytes_out", it.bytes_out / seconds},
                             {"cpu_us", it.cpu_seconds * 1e6 / seconds}};
    sum.messages_in += it.messages_in / seconds;
    sum.messages_out += it.messages_out / seconds;
    sum.bytes_in += it.bytes_in / seconds;
    sum.bytes_out += it.bytes_out / seconds;
    if (type != "Requests") control_cpu += it.cpu_seconds * 1e6 / seconds;
  }
  result["messages_in"] = sum.messages_in;
  result["messages_out"] = sum.messages_out;
  result["bytes_in"] = sum.bytes_in;
  result["bytes_out"] = sum.bytes_out;
  result["cpu_us"] = control_cpu;
  result["entries"] = usage.entries;
  return result;
}

json ToJson(const Point& point) {
  const capacity::SimulationResult& it = point.result;
  return {{"x", point.x},
          {"completed_per_second", it.completed / it.seconds},
          {"document_bytes", it.document_bytes},
          {"backlogged_at_agent", it.backlogged},
          {"router", ToJson(it.router, it.seconds)},
          {"agent", ToJson(it.agent, it.seconds)}};
}

constexpr const char* kTotals[] = {"messages_in", "messages_out", "bytes_in",
                                   "bytes_out", "cpu_us"};

json FitPoints(const json& points, const std::string& role) {
  std::vector<double> x;
  for (const json& it : points) x.push_back(it["x"]);
  json fits;
  const auto fit = [&](const std::string& name,
                       const std::function<double(const json&)>& value) {
    std::vector<double> y;
    for (const json& it : points) y.push_back(value(it[role]));
    const capacity::Fit line = capacity::FitLine(x, y);
    fits[name] = {{"intercept", line.intercept},
                  {"slope", line.slope},
                  {"residual", line.residual},
                  {"exponent", line.exponent},
                  {"exponent_residual", line.exponent_residual}};
  };
  for (const char* name : kTotals) {
    fit(name, [&](const json& it) { return it[name].get<double>(); });
  }
  fit("share_rows",
      [](const json& it) { return it["entries"]["share rows"].get<double>(); });
  for (const char* type : {"Heartbeat", "Demand", "Shares", "ConfigDocument"}) {
    fit(fmt::format("{} bytes", type), [&](const json& it) {
      if (!it["types"].contains(type)) return 0.0;
      const json& found = it["types"][type];
      return found["bytes_in"].get<double>() + found["bytes_out"].get<double>();
    });
  }
  return fits;
}

void PrintPoints(const std::string& axis, const json& points) {
  fmt::print("\n{:<22}{:<8}{:>9}{:>9}{:>12}{:>12}{:>10}{:>10}{:>8}\n", axis,
             "role", "msgs in", "msgs out", "bytes in", "bytes out", "cpu us",
             "rows", "done/s");
  for (const json& it : points) {
    for (const char* role : {"router", "agent"}) {
      const json& usage = it[role];
      fmt::print(
          "{:<22}{:<8}{:>9.1f}{:>9.1f}{:>12.0f}{:>12.0f}{:>10.0f}{:>10.0f}"
          "{:>8.1f}\n",
          it["x"].get<double>(), role, usage["messages_in"].get<double>(),
          usage["messages_out"].get<double>(), usage["bytes_in"].get<double>(),
          usage["bytes_out"].get<double>(), usage["cpu_us"].get<double>(),
          usage["entries"]["share rows"].get<double>(),
          it["completed_per_second"].get<double>());
    }
  }
}

void PrintFits(const std::string& role, const json& fits) {
  for (const auto& [name, it] : fits.items()) {
    fmt::print(
        "  {:<7}{:<22} = {:>12.1f} + {:>11.4f} x  (residual {:>10.1f})   "
        "x^{:.2f} (residual {:.2f})\n",
        role, name, it["intercept"].get<double>(), it["slope"].get<double>(),
        it["residual"].get<double>(), it["exponent"].get<double>(),
        it["exponent_residual"].get<double>());
  }
}

double CpuSeconds(const capacity::SimulationResult& result) {
  double sum = 0;
  for (const auto& [type, it] : result.router.traffic) sum += it.cpu_seconds;
  for (const auto& [type, it] : result.agent.traffic) sum += it.cpu_seconds;
  return sum;
}

// Message and byte counts are the same in every repeat. Other load on the
// machine can only add processor time, so the repeat with the lowest is kept.
std::vector<Point> RunPoints(const std::vector<Axis>& axes, std::uint64_t seed,
                             int threads, int repeats) {
  std::vector<Point> points;
  for (std::size_t a = 0; a < axes.size(); ++a) {
    for (const double x : axes[a].values) points.push_back({a, x, {}});
  }
  std::atomic<std::size_t> next = 0;
  std::vector<std::jthread> workers;
  workers.reserve(static_cast<std::size_t>(threads));
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&] {
      for (std::size_t n = next++; n < points.size(); n = next++) {
        capacity::SimulationOptions options{.seed = seed};
        axes[points[n].axis].apply(options.size, points[n].x);
        points[n].result = capacity::RunSimulation(options);
        for (int repeat = 1; repeat < repeats; ++repeat) {
          capacity::SimulationResult repeated_result =
              capacity::RunSimulation(options);
          if (CpuSeconds(repeated_result) < CpuSeconds(points[n].result)) {
            points[n].result = std::move(repeated_result);
          }
        }
      }
    });
  }
  workers.clear();
  return points;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("Options");
  options.add_options()("help", "print this help")(
      "seed", po::value<std::uint64_t>()->default_value(20261204),
      "seed of the random number generator")(
      "threads", po::value<int>()->default_value(3),
      "number of points measured concurrently")(
      "repeats", po::value<int>()->default_value(4),
      "runs of each point; the run with the lowest processor time is reported")(
      "json", po::value<std::string>(),
      "write all figures to this file as JSON");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
  } catch (const po::error& e) {
    fmt::print(stderr, "shallotbeam-capacity: {}\n", e.what());
    return 2;
  }
  if (values.count("help") != 0) {
    std::cout << "Usage: shallotbeam-capacity [options]\n" << options;
    return 0;
  }
  // Logging each decision would cost more than making it.
  if (!shallotbeam::common::ApplyLogLevels("off").ok()) return 1;
  const auto seed = values["seed"].as<std::uint64_t>();
  json output = {{"seed", seed}, {"heap_bytes", capacity::MeasureHeap()}};
  const capacity::RowCost row = capacity::MeasureShareRows();
  output["share_row"] = {{"bytes", row.bytes},
                         {"encode_us", row.encode_us},
                         {"decode_and_merge_us", row.merge_us}};
  fmt::print("seed {}; figures per second of fake time\n\nheap bytes\n", seed);
  for (const auto& [name, bytes] : output["heap_bytes"].items()) {
    fmt::print("  {:<50}{:>8.0f}\n", name, bytes.get<double>());
  }
  fmt::print(
      "share row on the wire: {:.1f} bytes, {:.2f} us to encode, {:.2f} us"
      " to decode and merge\n",
      row.bytes, row.encode_us, row.merge_us);
  const std::vector<Axis> axes = Axes();
  const auto points = RunPoints(axes, seed, values["threads"].as<int>(),
                                values["repeats"].as<int>());
  for (std::size_t a = 0; a < axes.size(); ++a) {
    json& axis = output["axes"][axes[a].name];
    for (const Point& it : points) {
      if (it.axis == a) axis["points"].push_back(ToJson(it));
    }
    PrintPoints(axes[a].name, axis["points"]);
    for (const char* role : {"router", "agent"}) {
      axis["fits"][role] = FitPoints(axis["points"], role);
      PrintFits(role, axis["fits"][role]);
    }
  }
  if (values.count("json") != 0) {
    std::ofstream(values["json"].as<std::string>()) << output.dump(2) << "\n";
  }
  return 0;
}
