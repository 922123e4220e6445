#ifndef SHALLOTBEAM_BENCHMARKS_TIMING_H_
#define SHALLOTBEAM_BENCHMARKS_TIMING_H_

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace shallotbeam::benchmarks {

// Times single decisions, as the mean of a loop hides the slow ones.
class Timing {
 public:
  template <typename Action>
  void Run(benchmark::State& state, Action&& action) {
    const auto start = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double> time =
        std::chrono::steady_clock::now() - start;
    state.SetIterationTime(time.count());
    seconds_.push_back(time.count());
  }

  // Adds the 50th and 99th percentile in microseconds.
  void Report(benchmark::State& state) {
    if (seconds_.empty()) return;
    std::sort(seconds_.begin(), seconds_.end());
    constexpr double kMicroseconds = 1e6;
    state.counters["p50_us"] = seconds_[seconds_.size() / 2] * kMicroseconds;
    state.counters["p99_us"] =
        seconds_[seconds_.size() * 99 / 100] * kMicroseconds;
  }

 private:
  std::vector<double> seconds_;
};

}  // namespace shallotbeam::benchmarks

#endif  // SHALLOTBEAM_BENCHMARKS_TIMING_H_
