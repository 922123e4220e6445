#include "Common/Logging.h"

#include <fmt/chrono.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <iterator>
#include <mutex>
#include <string>

#include "Common/LogBuffer.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace shallotbeam::common {

namespace {

constexpr std::size_t kSubsystems = static_cast<std::size_t>(Subsystem::kCount);
constexpr std::array<std::string_view, kSubsystems> kSubsystemNames = {
    "main",     "config",    "routing",   "admission",
    "platform", "transport", "membership"};
constexpr std::array<std::string_view, 5> kLevelNames = {
    "debug", "info", "warning", "error", "off"};

std::array<std::atomic<LogLevel>, kSubsystems>& Levels() {
  static std::array<std::atomic<LogLevel>, kSubsystems> levels = {
      LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo,
      LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo};
  return levels;
}

template <std::size_t N>
int IndexOf(const std::array<std::string_view, N>& names,
            std::string_view text) {
  for (std::size_t i = 0; i < N; ++i) {
    if (names[i] == text) return static_cast<int>(i);
  }
  return -1;
}

// Calls `apply(subsystem, level)` for each item of a list; subsystem -1 stands
// for all subsystems.
absl::Status ParseLogLevels(std::string_view spec,
                            const std::function<void(int, LogLevel)>& apply) {
  for (absl::string_view part :
       absl::StrSplit(absl::string_view(spec.data(), spec.size()), ',',
                      absl::SkipEmpty())) {
    const std::vector<std::string> fields = absl::StrSplit(part, '=');
    const int level = IndexOf(kLevelNames, fields.back());
    if (level < 0 || fields.size() > 2) {
      return absl::InvalidArgumentError(
          absl::StrCat("unknown log level in \"", part, "\""));
    }
    const int subsystem =
        fields.size() == 1 ? -1 : IndexOf(kSubsystemNames, fields[0]);
    if (fields.size() == 2 && subsystem < 0) {
      return absl::InvalidArgumentError(
          absl::StrCat("unknown log subsystem \"", fields[0], "\""));
    }
    apply(subsystem, static_cast<LogLevel>(level));
  }
  return absl::OkStatus();
}

constexpr std::int64_t kMillisecondsPerSecond = 1'000;

// Log output of this process.
struct Sink {
  std::mutex mutex;
  LogBuffer buffer;
  std::string line;
  std::time_t formatted_second = -1;
  std::string formatted_date_time;

  Sink() {
    std::atexit([] { FlushLog(); });
  }

  // Date and time to the second. Formatted at most once a second.
  const std::string& FormatSecond(
      std::chrono::time_point<std::chrono::system_clock,
                              std::chrono::milliseconds>
          now) {
    const std::time_t time = std::chrono::system_clock::to_time_t(now);
    if (time != formatted_second) {
      formatted_date_time =
          fmt::format("{:%Y-%m-%dT%H:%M:%S}", fmt::gmtime(time));
      formatted_second = time;
    }
    return formatted_date_time;
  }
};

Sink& GetSink() {
  // Never destroyed, because lines may be logged during static destruction.
  static Sink* const sink = new Sink;
  return *sink;
}

}  // namespace

void SetLogLevel(Subsystem subsystem, LogLevel level) {
  Levels()[static_cast<std::size_t>(subsystem)] = level;
}

bool IsLogged(Subsystem subsystem, LogLevel level) {
  return level >= Levels()[static_cast<std::size_t>(subsystem)].load(
                      std::memory_order_relaxed);
}

absl::Status CheckLogLevels(std::string_view spec) {
  return ParseLogLevels(spec, [](int, LogLevel) {});
}

absl::Status ApplyLogLevels(std::string_view spec) {
  // Validates the whole list first, so that an invalid list changes nothing.
  absl::Status status = CheckLogLevels(spec);
  if (!status.ok()) return status;
  return ParseLogLevels(spec, [](int subsystem, LogLevel level) {
    if (subsystem >= 0) {
      return SetLogLevel(static_cast<Subsystem>(subsystem), level);
    }
    for (auto& it : Levels()) it = level;
  });
}

void WriteLogLine(Subsystem subsystem, LogLevel level, std::string_view text) {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  Sink& sink = GetSink();
  const std::lock_guard<std::mutex> lock(sink.mutex);
  const std::string_view name =
      kSubsystemNames[static_cast<std::size_t>(subsystem)];
  sink.line.clear();
  fmt::format_to(std::back_inserter(sink.line),
                 "{}.{:03}Z level={} subsystem={} {}\n", sink.FormatSecond(now),
                 now.time_since_epoch().count() % kMillisecondsPerSecond,
                 kLevelNames[static_cast<std::size_t>(level)], name, text);
  sink.buffer.Append(subsystem, now, sink.line);
}

std::uint64_t DroppedLogLines() {
  Sink& sink = GetSink();
  const std::lock_guard<std::mutex> lock(sink.mutex);
  return sink.buffer.Dropped();
}

void FlushLog() {
  Sink& sink = GetSink();
  const std::lock_guard<std::mutex> lock(sink.mutex);
  FlushTo(STDOUT_FILENO, sink.buffer);
}

}  // namespace shallotbeam::common
