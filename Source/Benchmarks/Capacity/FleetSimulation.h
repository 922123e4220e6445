#ifndef SHALLOTBEAM_BENCHMARKS_CAPACITY_FLEETSIMULATION_H_
#define SHALLOTBEAM_BENCHMARKS_CAPACITY_FLEETSIMULATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "Common/Clock.h"

// Simulates the routers and agents of one pool in one process on a fake clock,
// to measure what the control traffic costs one router and one agent (the
// observed processes).
namespace shallotbeam::benchmarks::capacity {

struct FleetSize {
  int agents = 16;
  int routers = 4;
  int workspaces = 64;
  int backlogged = 8;               // workspaces that always have a queue
  double requests_per_second = 20;  // completed per router
  double restarts_per_hour = 0;     // of agents, in the whole fleet
  int unused_kinds = 0;             // to enlarge the configuration
  double changes_per_hour = 0;      // of the configuration
};

struct SimulationOptions {
  FleetSize size;
  std::uint64_t seed = 20261204;
  common::Duration warm_up = std::chrono::seconds(4);
  common::Duration measured = std::chrono::seconds(6);
};

// Messages of one type at one process, summed over the measured time.
struct Traffic {
  double messages_in = 0;
  double bytes_in = 0;
  double messages_out = 0;
  double bytes_out = 0;
  double cpu_seconds = 0;  // of decoding, Handle() and encoding
};

// Resources used by one process.
struct Usage {
  // By message type. "Tick" (periodic work) and "Requests" (events of requests)
  // have only processor time.
  std::map<std::string, Traffic> traffic;
  // Number of entries of the state at the end, by the name of the entry.
  std::map<std::string, double> entries;
};

struct SimulationResult {
  Usage router;
  Usage agent;
  double seconds = 0;         // of fake time
  double completed = 0;       // requests of all routers
  double document_bytes = 0;  // of the configuration
  double backlogged = 0;  // workspaces with waiting requests at the observed
                          // agent at the end
};

// Deterministic except for the processor times.
SimulationResult RunSimulation(const SimulationOptions& options);

// Measures the heap bytes per entry of the routers' and agents' states, by the
// growth of the heap when many entries are stored. Must be called before
// another thread starts, because other threads' allocations would be counted
// too.
std::map<std::string, double> MeasureHeap();

// Cost of one row of a Shares message that has many rows.
struct RowCost {
  double bytes = 0;
  double encode_us = 0;
  double merge_us = 0;  // of decoding and merging
};

RowCost MeasureShareRows();

}  // namespace shallotbeam::benchmarks::capacity

#endif  // SHALLOTBEAM_BENCHMARKS_CAPACITY_FLEETSIMULATION_H_
