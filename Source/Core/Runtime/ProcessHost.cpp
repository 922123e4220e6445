#include "Runtime/ProcessHost.h"

#include <csignal>
#include <memory>
#include <random>
#include <utility>

#include "Common/Logging.h"

namespace shallotbeam::runtime {

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(10);

}  // namespace

ProcessHost::ProcessHost(int threads)
    : threads_(threads),
      context_(threads),
      timer_(context_),
      signals_(context_, SIGTERM, SIGINT) {}

void ProcessHost::Run(std::function<void()> on_tick,
                      std::function<void()> on_drain) {
  on_tick_ = std::move(on_tick);
  on_drain_ = std::move(on_drain);
  AwaitSignal();
  ScheduleTick();
  std::vector<std::thread> threads;
  for (int i = 1; i < threads_; ++i) {
    threads.emplace_back([this] { context_.run(); });
  }
  context_.run();
  for (std::thread& it : threads) it.join();
}

void ProcessHost::ScheduleTick() {
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) return;
    on_tick_();
    common::FlushLog();
    ScheduleTick();
  });
}

void ProcessHost::AwaitSignal() {
  signals_.async_wait([this](boost::system::error_code ec, int signal) {
    if (ec) return;
    common::Log(common::Subsystem::kMain, common::LogLevel::kInfo,
                "event=signal number={} draining={}", signal, !draining_);
    if (draining_) return Stop();
    draining_ = true;
    on_drain_();
    AwaitSignal();
  });
}

void ProcessHost::After(common::Duration delay, std::function<void()> action) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context_, delay);
  timer->async_wait(
      [timer, action = std::move(action)](boost::system::error_code ec) {
        if (!ec) action();
      });
}

void ProcessHost::StopWhen(std::function<bool()> idle) {
  constexpr int kMaxPolls = 500;
  PollUntilIdle(std::move(idle), kMaxPolls);
}

void ProcessHost::PollUntilIdle(std::function<bool()> idle, int polls_left) {
  if (idle() || polls_left == 0) return Stop();
  After(kTickInterval, [this, idle = std::move(idle), polls_left] {
    PollUntilIdle(idle, polls_left - 1);
  });
}

common::Incarnation GenerateIncarnation() {
  std::random_device device;
  std::uint64_t number = 0;
  while (number == 0) {
    number = (static_cast<std::uint64_t>(device()) << 32U) | device();
  }
  return static_cast<common::Incarnation>(number);
}

}  // namespace shallotbeam::runtime
