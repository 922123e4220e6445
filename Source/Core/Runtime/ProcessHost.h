#ifndef SHALLOTBEAM_CORE_RUNTIME_PROCESSHOST_H_
#define SHALLOTBEAM_CORE_RUNTIME_PROCESSHOST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <thread>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"

namespace shallotbeam::runtime {

// Runs the network threads, the tick timer and the signal handling of a
// process.
class ProcessHost {
 public:
  explicit ProcessHost(int threads);

  boost::asio::io_context& Context() { return context_; }

  // Calls `on_tick` every 10 ms and `on_drain` at the first SIGTERM or SIGINT.
  // Returns after Stop() or a second signal.
  void Run(std::function<void()> on_tick, std::function<void()> on_drain);
  // Calls `action` on a network thread after `delay`. Thread-safe.
  void After(common::Duration delay, std::function<void()> action);
  // Stops once `idle` returns true, but after 5 s at the latest. Thread-safe.
  void StopWhen(std::function<bool()> idle);
  // Thread-safe.
  void Stop() { context_.stop(); }

 private:
  void ScheduleTick();
  void AwaitSignal();
  void PollUntilIdle(std::function<bool()> idle, int polls_left);

  int threads_;
  boost::asio::io_context context_;
  boost::asio::steady_timer timer_;
  boost::asio::signal_set signals_;
  std::function<void()> on_tick_;
  std::function<void()> on_drain_;
  bool draining_ = false;
};

// Returns a random number that identifies one run of a process; never 0.
common::Incarnation GenerateIncarnation();

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_PROCESSHOST_H_
