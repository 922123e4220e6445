#ifndef SHALLOTBEAM_BENCHMARKS_CAPACITY_WORLD_H_
#define SHALLOTBEAM_BENCHMARKS_CAPACITY_WORLD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "Common/Clock.h"

// Routers and agents of one pool in one process, on a fake clock. One router
// and one agent are observed.
namespace shallotbeam::benchmarks::capacity {

struct Size {
  int agents = 16;
  int routers = 4;
  int workspaces = 64;
  int backlogged = 8;
  double requests_per_second = 20;  // that one router completes
  double restarts_per_hour = 0;     // of agents, over the fleet
  int unused_kinds = 0;             // fill the configuration
  double changes_per_hour = 0;      // of the configuration
};

struct WorldOptions {
  Size size;
  std::uint64_t seed = 20261204;
  common::Duration warm_up = std::chrono::seconds(4);
  common::Duration measured = std::chrono::seconds(6);
};

// Sums over the measured time.
struct Traffic {
  double messages_in = 0;
  double bytes_in = 0;
  double messages_out = 0;
  double bytes_out = 0;
  double cpu_seconds = 0;  // decoding, Handle() and encoding
};

struct Usage {
  // By message type; "Tick" and "Requests" have only processor time.
  std::map<std::string, Traffic> traffic;
  std::map<std::string, double> entries;  // of the state at the end
};

struct WorldResult {
  Usage router;
  Usage agent;
  double seconds = 0;         // of fake time
  double completed = 0;       // requests of all routers
  double document_bytes = 0;  // of the configuration
  double backlogged = 0;      // workspaces at the observed agent at the end
};

// Deterministic but for the processor times.
WorldResult RunWorld(const WorldOptions& options);

// Heap bytes per entry of the states, from the growth of the heap when many
// are held. Call before any other thread runs.
std::map<std::string, double> MeasureHeap();

// One row of a long Shares message.
struct RowCost {
  double bytes = 0;
  double encode_us = 0;
  double merge_us = 0;  // decoding and merging
};

RowCost MeasureShareRows();

}  // namespace shallotbeam::benchmarks::capacity

#endif  // SHALLOTBEAM_BENCHMARKS_CAPACITY_WORLD_H_
