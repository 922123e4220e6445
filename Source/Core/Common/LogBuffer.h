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
  // Lines a second of one subsystem, so that a flood of one does not push out
  // the others'. The budget of two seconds may be used at once.
  double lines_per_second = 300;
  std::size_t max_bytes = 262'144;  // waiting to be written
};

// Lines that wait to be written. What exceeds a subsystem's budget or the
// buffer is dropped and counted; the count follows as a line of its own.
class LogBuffer {
 public:
  using Time = std::chrono::time_point<std::chrono::system_clock,
                                       std::chrono::milliseconds>;

  explicit LogBuffer(LogBufferOptions options = {}) : options_(options) {}

  // `line` ends with a newline. Returns false if it was dropped.
  bool Append(Subsystem subsystem, Time now, std::string_view line);

  // Bytes at the front, at most `max`.
  std::string_view Front(std::size_t max) const;
  // Removes bytes that were written.
  void Remove(std::size_t n);

  bool empty() const { return bytes_.size() == removed_; }
  std::uint64_t Dropped() const { return dropped_; }

 private:
  struct Budget {
    double lines = -1;  // below 0: not used yet
    Time refilled;
    std::uint64_t dropped = 0;  // since the last line that was kept
  };

  bool TakeBudget(Budget& budget, Time now) const;
  bool Fits(std::size_t n) const;

  LogBufferOptions options_;
  std::array<Budget, static_cast<std::size_t>(Subsystem::kCount)> budgets_;
  std::string bytes_;
  std::size_t removed_ = 0;  // bytes at the front of `bytes_`
  std::uint64_t dropped_ = 0;
};

// Writes as much of `buffer` to `fd` as it takes without blocking.
void FlushTo(int fd, LogBuffer& buffer);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_LOGBUFFER_H_
