#ifndef SHALLOTBEAM_CORE_COMMON_PAUSEGUARD_H_
#define SHALLOTBEAM_CORE_COMMON_PAUSEGUARD_H_

#include <cstdint>

#include "Common/Clock.h"

namespace shallotbeam::common {

// Recognises heartbeats that were held back while this process was paused. They
// say what was true before the pause.
struct PauseGuard {
  // Ticks come every 20 ms; a gap this long between events is a pause.
  Duration threshold = std::chrono::milliseconds(500);
  TimePoint last_event;
  TimePoint resumed;  // end of the last pause
};

// Called at every event.
inline void RecordEvent(PauseGuard& guard, TimePoint now) {
  const bool first = guard.last_event == TimePoint();
  if (!first && now - guard.last_event >= guard.threshold) guard.resumed = now;
  guard.last_event = now;
}

// The value of a heartbeat's `sent`.
inline std::uint64_t ToStamp(TimePoint time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

// Whether a heartbeat with this `answers` was sent after the last pause. A peer
// that has not heard of this process yet can't tell.
inline bool IsFresh(const PauseGuard& guard, std::uint64_t echoed_sent) {
  return echoed_sent == 0 || echoed_sent >= ToStamp(guard.resumed);
}

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_PAUSEGUARD_H_
