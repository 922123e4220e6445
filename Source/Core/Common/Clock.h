#ifndef SHALLOTBEAM_CORE_COMMON_CLOCK_H_
#define SHALLOTBEAM_CORE_COMMON_CLOCK_H_

#include <chrono>

namespace shallotbeam::common {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// The unit of durations in control messages.
constexpr std::chrono::microseconds ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration);
}

// Source of monotonic time. Code that makes decisions takes the current time as
// a parameter instead.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

class SteadyClock : public Clock {
 public:
  TimePoint Now() const override;
};

// Includes the time for which the host was suspended, so that information from
// before a suspension isn't taken for recent afterwards.
class BootClock : public Clock {
 public:
  TimePoint Now() const override;
};

// A clock that advances only on request. For tests and scripted scenarios.
class ManualClock : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  void Advance(Duration step) { now_ += step; }

 private:
  // Starts above zero so that `now - some_age` stays positive.
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
};

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_CLOCK_H_
