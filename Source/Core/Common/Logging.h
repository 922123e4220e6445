#ifndef SHALLOTBEAM_CORE_COMMON_LOGGING_H_
#define SHALLOTBEAM_CORE_COMMON_LOGGING_H_

#include <fmt/format.h>

#include <cstdint>
#include <string_view>
#include <utility>

#include "absl/status/status.h"

namespace shallotbeam::common {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError, kOff };

enum class Subsystem : std::uint8_t {
  kMain,
  kConfig,
  kRouting,
  kAdmission,
  kPlatform,
  kTransport,
  kMembership,
  kCount,
};

void SetLogLevel(Subsystem subsystem, LogLevel level);
bool IsLogged(Subsystem subsystem, LogLevel level);

// Applies a list such as "info,routing=debug". A level without a subsystem
// applies to all subsystems. Returns kInvalidArgument for an unknown name and
// changes nothing in that case.
absl::Status ApplyLogLevels(std::string_view spec);
// Validates a list for ApplyLogLevels without applying it.
absl::Status CheckLogLevels(std::string_view spec);

// Adds a line with time, level, subsystem and text to the buffer. Never blocks
// on output.
void WriteLogLine(Subsystem subsystem, LogLevel level, std::string_view text);

// Writes as many buffered lines to standard output as is possible without
// blocking. Processes call it every few tens of milliseconds and at exit.
void FlushLog();

// Lines dropped since the process started because they exceeded the budget of
// their subsystem or the size of the buffer.
std::uint64_t DroppedLogLines();

// Logs `key=value` pairs, for example
//   Log(Subsystem::kRouting, LogLevel::kInfo, "event=dispatch id={}", id);
template <typename... Args>
void Log(Subsystem subsystem, LogLevel level, fmt::format_string<Args...> text,
         Args&&... args) {
  if (!IsLogged(subsystem, level)) return;
  WriteLogLine(subsystem, level,
               fmt::format(text, std::forward<Args>(args)...));
}

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_LOGGING_H_
