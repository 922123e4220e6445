#include "Overload/ProcessorClock.h"

#include <sys/resource.h>
#include <sys/time.h>

namespace shallotbeam::overload {

namespace {

common::Duration ToDuration(const timeval& time) {
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::microseconds(time.tv_usec);
}

}  // namespace

// The clock CLOCK_PROCESS_CPUTIME_ID follows the steady clock on hosts that
// simulate time.
common::Duration ProcessClock::Used() const {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) != 0) return {};
  return ToDuration(usage.ru_utime) + ToDuration(usage.ru_stime);
}

}  // namespace shallotbeam::overload
