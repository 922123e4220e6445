#ifndef SHALLOTBEAM_CORE_RUNTIME_PROCESSEVENTS_H_
#define SHALLOTBEAM_CORE_RUNTIME_PROCESSEVENTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "Common/Clock.h"

namespace shallotbeam::runtime {

// Runs the handlers of `context` until it stops or has no work left. An
// exception ends the handler that threw it and no other.
void RunContext(boost::asio::io_context& context);

// Calls `action` periodically on the thread of the context until the context
// stops. The interval starts when the previous call returns.
class Ticker {
 public:
  Ticker(boost::asio::io_context& context, common::Duration interval,
         std::function<void()> action);

 private:
  void Schedule();

  boost::asio::steady_timer timer_;
  common::Duration interval_;
  std::function<void()> action_;
};

// Calls `on_stop` once, at the first SIGTERM or SIGINT. Logs every signal up to
// then, including SIGHUP.
class StopSignals {
 public:
  StopSignals(boost::asio::io_context& context, std::function<void()> on_stop);

 private:
  void Await();

  boost::asio::signal_set signals_;
  std::function<void()> on_stop_;
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_PROCESSEVENTS_H_
