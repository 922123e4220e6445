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

bool RunGuarded(std::string_view handler, absl::FunctionRef<void()> action) {
  try {
    action();
    return true;
  } catch (const std::exception& error) {
    ++Failures();
    Log(Subsystem::kMain, LogLevel::kError,
        "event=handler_failed handler={} cause=\"{}\"", handler, error.what());
    return false;
  }
}

std::uint64_t HandlerFailures() { return Failures(); }

}  // namespace shallotbeam::common
