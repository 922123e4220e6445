#ifndef SHALLOTBEAM_CORE_COMMON_LOGBUFFER_H_
#define SHALLOTBEAM_CORE_COMMON_LOGBUFFER_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "Common/Logging.h"

namespace shallotbeam::common {

struct LogBufferOptions {
  // Rate limit of each subsystem, so that a flood from one subsystem doesn't
  // displace the lines of others. Bursts may use the budget of two seconds.
  double lines_per_second = 300;
  std::size_t max_bytes = 262'144;  // of lines that wait to be written
};

// Buffer of log lines that wait to be written. Lines that exceed a subsystem's
// budget or the size of the buffer are dropped and counted; the count is logged
// before the subsystem's next line.
class LogBuffer {
 public:
  using Time = std::chrono::time_point<std::chrono::system_clock,
                                       std::chrono::milliseconds>;

  explicit LogBuffer(LogBufferOptions options = {}) : options_(options) {}

  // `line` ends with a newline. Returns false if it was dropped.
  bool Append(Subsystem subsystem, Time now, std::string_view line);

  // The first bytes of the buffer, at most `max`.
  std::string_view Front(std::size_t max) const;
  // Removes the first `n` bytes after they were written.
  void Remove(std::size_t n);

  bool empty() const { return bytes_.size() == removed_; }
  std::uint64_t Dropped() const { return dropped_; }

 private:
  struct Budget {
    double lines = -1;  // negative: not used yet
    Time refilled;
    std::uint64_t dropped = 0;  // since the last accepted line
  };

  bool TryTakeLine(Budget& budget, Time now) const;
  bool Fits(std::size_t n) const;

  LogBufferOptions options_;
  std::array<Budget, static_cast<std::size_t>(Subsystem::kCount)> budgets_;
  std::string bytes_;
  std::size_t removed_ = 0;  // number of bytes at the start of `bytes_`
  std::uint64_t dropped_ = 0;
};

// Writes as much of `buffer` to `fd` as is possible without blocking.
void FlushTo(int fd, LogBuffer& buffer);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_LOGBUFFER_H_
