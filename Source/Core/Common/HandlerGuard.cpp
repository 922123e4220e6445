#include "Common/HandlerGuard.h"

#include <atomic>
#include <exception>

#include "Common/Logging.h"

namespace shallotbeam::common {

namespace {

std::atomic<std::uint64_t>& Failures() {
  static std::atomic<std::uint64_t> failures = 0;
  return failures;
}

}  // namespace

void RunGuarded(std::string_view handler, const std::function<void()>& action) {
  try {
    action();
  } catch (const std::exception& error) {
    ++Failures();
    Log(Subsystem::kMain, LogLevel::kError,
        "event=handler_failed handler={} cause=\"{}\"", handler, error.what());
  }
}

std::uint64_t HandlerFailures() { return Failures(); }

}  // namespace shallotbeam::common
