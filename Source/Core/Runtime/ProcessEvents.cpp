#include "Runtime/ProcessEvents.h"

#include <csignal>
#include <utility>

#include "Common/HandlerGuard.h"
#include "Common/Logging.h"

namespace shallotbeam::runtime {

void RunContext(boost::asio::io_context& context) {
  while (!common::RunGuarded("context", [&context] { context.run(); })) {
  }
}

Ticker::Ticker(boost::asio::io_context& context, common::Duration interval,
               std::function<void()> action)
    : timer_(context), interval_(interval), action_(std::move(action)) {
  Schedule();
}

void Ticker::Schedule() {
  timer_.expires_after(interval_);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) return;
    common::RunGuarded("tick", action_);
    Schedule();
  });
}

StopSignals::StopSignals(boost::asio::io_context& context,
                         std::function<void()> on_stop)
    : signals_(context, SIGTERM, SIGINT, SIGHUP), on_stop_(std::move(on_stop)) {
  Await();
}

void StopSignals::Await() {
  signals_.async_wait([this](boost::system::error_code ec, int signal) {
    if (ec) return;
    const bool stopping = signal != SIGHUP;
    common::Log(common::Subsystem::kMain, common::LogLevel::kInfo,
                "event={} signal={}", stopping ? "stopping" : "reload", signal);
    if (stopping) return on_stop_();
    Await();
  });
}

}  // namespace shallotbeam::runtime
