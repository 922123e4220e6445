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

// Computes the measures of a run from what was recorded.
namespace shallotbeam::load {

// Use of one process over the phases.
struct ProcessUse {
  std::string name;
  std::string role;
  double cpu_percent = 0;               // of one core
  double control_bytes_per_second = 0;  // sent
  double memory_bytes = 0;
};

struct RunRecord {
  std::string system;  // "fleet" or the policy of a baseline
  std::map<ResultKey, KindResult> results;
  std::map<std::string, OrderRecord> orders;
  std::map<std::string, int> runs_by_key;  // over all engines
  std::vector<Sample> samples;
  std::map<std::string, std::string> pool_of_engine;
  std::vector<ProcessUse> processes;
  std::vector<std::string> ended_processes;  // that should not have
  int engine_restarts = 0;
};

nlohmann::json MeasureRun(const Experiment& experiment,
                          const config::FleetConfig& config,
                          const RunRecord& record);

// Nearest-rank percentile; 0 of no values.
double Percentile(std::vector<double> values, double share);

// Busy slot time as a share of slot time, over the windows between samples
// throughout which work of the pool waited.
struct Utilisation {
  double slots = 0;
  double engines = 0;  // of the engines' batch sizes
  double seconds = 0;  // during which work waited
};
Utilisation UtilisationOf(const RunRecord& record, const std::string& phase,
                          const std::string& pool);

// The largest gap in weighted service between two workspaces over a time in
// which both were backlogged without a break.
struct FairnessGap {
  double gap = 0;      // cost per weight
  double target = 0;   // largest request + what one share earns in 2 s
  double seconds = 0;  // longest time compared
  std::string first;
  std::string second;
};
FairnessGap FairnessGapOf(const RunRecord& record,
                          const config::FleetConfig& config,
                          const std::map<std::string, double>& largest_cost,
                          const std::string& phase, const std::string& pool);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_MEASURES_H_
