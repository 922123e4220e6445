#include "Common/Clock.h"

#include <ctime>

namespace shallotbeam::common {

TimePoint SteadyClock::Now() const { return std::chrono::steady_clock::now(); }

TimePoint BootClock::Now() const {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace shallotbeam::common
