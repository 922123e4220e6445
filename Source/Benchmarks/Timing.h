#ifndef SHALLOTBEAM_BENCHMARKS_TIMING_H_
#define SHALLOTBEAM_BENCHMARKS_TIMING_H_

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace shallotbeam::benchmarks {

// Measures the time of each decision separately, because the mean of a loop
// hides slow decisions.
class Timing {
 public:
  template <typename Action>
  void Run(benchmark::State& state, Action&& action) {
    const auto start = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double> time =
        std::chrono::steady_clock::now() - start;
    state.SetIterationTime(time.count());
    samples_.push_back(time.count());
  }

  // Adds the 50th and 99th percentile in microseconds to the benchmark's
  // output.
  void Report(benchmark::State& state) {
    if (samples_.empty()) return;
    std::sort(samples_.begin(), samples_.end());
    constexpr double kMicrosecondsPerSecond = 1e6;
    state.counters["p50_us"] =
        samples_[samples_.size() / 2] * kMicrosecondsPerSecond;
    state.counters["p99_us"] =
        samples_[samples_.size() * 99 / 100] * kMicrosecondsPerSecond;
  }

 private:
  std::vector<double> samples_;
};

}  // namespace shallotbeam::benchmarks

#endif  // SHALLOTBEAM_BENCHMARKS_TIMING_H_
