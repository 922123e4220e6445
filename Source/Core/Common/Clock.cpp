#include "Common/Clock.h"

namespace shallotbeam::common {

TimePoint SteadyClock::Now() const { return std::chrono::steady_clock::now(); }

}  // namespace shallotbeam::common
