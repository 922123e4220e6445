#include "Load/Experiment.h"

#include <filesystem>
#include <fstream>
#include <set>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::load {

namespace {

using nlohmann::json;

// Reads values from JSON and keeps the first error. Callers can therefore read
// all values and check Status() once at the end.
class Reader {
 public:
  void CheckKeys(const json& object, const std::set<std::string>& known,
                 const std::string& path) {
    if (!object.is_object()) return Report(path, "expected an object");
    for (const auto& [key, value] : object.items()) {
      if (!known.contains(key)) Report(path, "unknown key \"" + key + "\"");
    }
  }

  template <typename T>
  void Read(const json& object, const char* key, T* value) {
    if (!object.is_object()) return;
    const auto it = object.find(key);
    if (it == object.end()) return;
    try {
      *value = it->get<T>();
    } catch (const json::exception& e) {
      Report(key, e.what());
    }
  }

  void ReadMs(const json& object, const char* key,
              std::chrono::milliseconds* value) {
    std::int64_t ms = value->count();
    Read(object, key, &ms);
    *value = std::chrono::milliseconds(ms);
  }

  void ReadRange(const json& object, const char* key, Range* value) {
    if (!object.is_object() || !object.contains(key)) return;
    const json& found = object[key];
    if (found.is_number_integer()) {
      value->low = value->high = found.get<int>();
      return;
    }
    std::vector<int> limits;
    Read(object, key, &limits);
    if (limits.size() != 2 || limits[0] > limits[1]) {
      return Report(key, "expected a number or [low, high]");
    }
    *value = {limits[0], limits[1]};
  }

  void Report(const std::string& path, const std::string& text) {
    if (status_.ok()) {
      status_ = absl::InvalidArgumentError(absl::StrCat(path, ": ", text));
    }
  }

  const absl::Status& Status() const { return status_; }

 private:
  absl::Status status_;
};

const json& MemberOrEmpty(const json& object, const char* key) {
  static const json empty = json::array();
  return object.is_object() && object.contains(key) ? object[key] : empty;
}

PoolSpec ReadPool(Reader& reader, const json& source) {
  reader.CheckKeys(source, {"pool", "agents", "engine"}, "fleet.pools");
  PoolSpec pool;
  reader.Read(source, "pool", &pool.pool);
  reader.Read(source, "agents", &pool.agents);
  for (const auto& [key, value] : MemberOrEmpty(source, "engine").items()) {
    pool.engine[key] =
        value.is_string() ? value.get<std::string>() : value.dump();
  }
  return pool;
}

FleetSpec ReadFleet(Reader& reader, const json& source) {
  FleetSpec fleet;
  reader.CheckKeys(source, {"data_centres", "routers", "pools", "log"},
                   "fleet");
  reader.Read(source, "data_centres", &fleet.data_centres);
  reader.Read(source, "routers", &fleet.routers);
  reader.Read(source, "log", &fleet.log);
  for (const json& it : MemberOrEmpty(source, "pools")) {
    fleet.pools.push_back(ReadPool(reader, it));
  }
  if (fleet.pools.empty() || fleet.routers < 1 || fleet.data_centres.empty()) {
    reader.Report("fleet", "expected routers, data centres and pools");
  }
  return fleet;
}

LoadSpec ReadLoad(Reader& reader, const json& source, const std::string& path) {
  reader.CheckKeys(
      source,
      {"workspaces", "kind", "rate", "shape", "entry", "plain", "stream",
       "prompt_tokens", "tokens", "shared_prefix_tokens", "retries", "keyed",
       "resend", "resend_after_ms", "deadline_ms", "read_pause_ms"},
      path);
  LoadSpec load;
  reader.Read(source, "workspaces", &load.workspaces);
  reader.Read(source, "kind", &load.kind);
  reader.Read(source, "rate", &load.rate);
  std::string shape = "constant";
  reader.Read(source, "shape", &shape);
  if (shape == "ramp") {
    load.shape = Shape::kRamp;
  } else if (shape == "burst") {
    load.shape = Shape::kBurst;
  } else if (shape != "constant") {
    reader.Report(path, "unknown shape \"" + shape + "\"");
  }
  reader.Read(source, "entry", &load.entry);
  reader.Read(source, "plain", &load.plain);
  reader.Read(source, "stream", &load.stream);
  reader.ReadRange(source, "prompt_tokens", &load.prompt_tokens);
  reader.ReadRange(source, "tokens", &load.tokens);
  reader.Read(source, "shared_prefix_tokens", &load.shared_prefix_tokens);
  reader.Read(source, "retries", &load.retries);
  reader.Read(source, "keyed", &load.keyed);
  reader.Read(source, "resend", &load.resend);
  reader.ReadMs(source, "resend_after_ms", &load.resend_after);
  reader.ReadMs(source, "deadline_ms", &load.deadline);
  reader.ReadMs(source, "read_pause_ms", &load.read_pause);
  if (load.workspaces.empty() || load.rate <= 0) {
    reader.Report(path, "expected workspaces and a rate above 0");
  }
  return load;
}

Phase ReadPhase(Reader& reader, const json& source) {
  Phase phase;
  reader.Read(source, "name", &phase.name);
  const std::string path = "phase " + phase.name;
  reader.CheckKeys(source, {"name", "seconds", "entry", "faults", "loads"},
                   path);
  double seconds = 10;
  reader.Read(source, "seconds", &seconds);
  phase.length = std::chrono::milliseconds(static_cast<int>(seconds * 1000));
  reader.Read(source, "entry", &phase.entry);
  for (const json& it : MemberOrEmpty(source, "faults")) {
    reader.CheckKeys(it, {"process", "faults"}, path);
    FaultSpec fault;
    reader.Read(it, "process", &fault.process);
    reader.Read(it, "faults", &fault.faults);
    phase.faults.push_back(fault);
  }
  for (const json& it : MemberOrEmpty(source, "loads")) {
    phase.loads.push_back(ReadLoad(reader, it, path));
  }
  return phase;
}

Bound ReadBound(Reader& reader, const json& source) {
  reader.CheckKeys(
      source, {"measure", "phase", "against", "pool", "except", "min", "max"},
      "bounds");
  Bound bound;
  reader.Read(source, "measure", &bound.measure);
  reader.Read(source, "phase", &bound.phase);
  reader.Read(source, "against", &bound.against);
  reader.Read(source, "pool", &bound.pool);
  reader.Read(source, "except", &bound.except);
  double limit = 0;
  if (source.is_object() && source.contains("min")) {
    reader.Read(source, "min", &limit);
    bound.min = limit;
  }
  if (source.is_object() && source.contains("max")) {
    reader.Read(source, "max", &limit);
    bound.max = limit;
  }
  if (!bound.min && !bound.max) reader.Report("bounds", "expected min or max");
  return bound;
}

}  // namespace

absl::StatusOr<Experiment> ReadExperiment(const std::string& path) {
  std::ifstream file(path);
  if (!file) return absl::NotFoundError(absl::StrCat("can't read ", path));
  const json source = json::parse(file, nullptr, /*allow_exceptions=*/false,
                                  /*ignore_comments=*/true);
  if (!source.is_object()) {
    return absl::InvalidArgumentError(
        absl::StrCat(path, " is not a JSON object"));
  }
  Reader reader;
  reader.CheckKeys(source,
                   {"name", "text", "seed", "config", "config_folder", "fleet",
                    "phases", "bounds", "drain_ms"},
                   path);
  Experiment experiment;
  reader.Read(source, "name", &experiment.name);
  reader.Read(source, "text", &experiment.text);
  reader.Read(source, "seed", &experiment.seed);
  reader.Read(source, "config", &experiment.config);
  reader.Read(source, "config_folder", &experiment.config_folder);
  reader.ReadMs(source, "drain_ms", &experiment.drain);
  if (!experiment.config_folder.empty()) {
    // The path is relative to the experiment file, so that the experiment can
    // be run from any working directory.
    const auto folder = std::filesystem::path(path).parent_path();
    experiment.config_folder = folder / experiment.config_folder;
  }
  experiment.fleet = ReadFleet(reader, MemberOrEmpty(source, "fleet"));
  for (const json& it : MemberOrEmpty(source, "phases")) {
    experiment.phases.push_back(ReadPhase(reader, it));
  }
  for (const json& it : MemberOrEmpty(source, "bounds")) {
    experiment.bounds.push_back(ReadBound(reader, it));
  }
  if (!reader.Status().ok()) return reader.Status();
  return experiment;
}

}  // namespace shallotbeam::load
