#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_MEASURES_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_MEASURES_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Config/Model.h"
#include "Load/Experiment.h"
#include "Load/Generator.h"
#include "Load/Sampler.h"

// Computes the measures of a run from its record.
namespace shallotbeam::load {

// Resource use of one process: averages over the run, and memory at its end.
struct ProcessUse {
  std::string name;
  std::string role;
  double cpu_percent = 0;               // of one core
  double control_bytes_per_second = 0;  // sent
  double memory_bytes = 0;
};

// What was recorded during a run.
struct RunRecord {
  std::string system;  // "fleet" or "baseline"
  std::map<ResultKey, KindResult> results;
  std::map<std::string, OrderOutcomes> orders;
  // Number of runs by idempotency key, summed over all engines.
  std::map<std::string, int> runs_by_key;
  std::vector<Sample> samples;
  std::map<std::string, std::string> pool_of_engine;
  std::vector<ProcessUse> processes;
  std::vector<std::string> ended_processes;  // those that exited unexpectedly
  int engine_restarts = 0;
};

nlohmann::json MeasureRun(const Experiment& experiment,
                          const config::FleetConfig& config,
                          const RunRecord& record);

// Nearest-rank percentile; 0 if `values` is empty.
double Percentile(std::vector<double> values, double share);

// Busy slot time as a share of the available slot time. Only counts intervals
// between samples throughout which requests for the pool were waiting.
struct Utilisation {
  double slots = 0;
  double engines = 0;  // relative to the engines' batch sizes
  double seconds = 0;  // total length of the counted intervals
};
Utilisation UtilisationOf(const RunRecord& record, const std::string& phase,
                          const std::string& pool);

// The largest change in the difference of service per weight between two
// workspaces, over an interval throughout which both were backlogged. Chosen as
// the one that is largest relative to its target.
struct FairnessGap {
  double gap = 0;      // cost per weight
  double target = 0;   // largest request per weight + fair share of 2 s
  double seconds = 0;  // longest interval of any pair
  std::string first;
  std::string second;
};
FairnessGap FairnessGapOf(const RunRecord& record,
                          const config::FleetConfig& config,
                          const std::map<std::string, double>& largest_cost,
                          const std::string& phase, const std::string& pool);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_MEASURES_H_
