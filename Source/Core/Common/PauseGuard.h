#ifndef SHALLOTBEAM_CORE_COMMON_PAUSEGUARD_H_
#define SHALLOTBEAM_CORE_COMMON_PAUSEGUARD_H_

#include <cstdint>

#include "Common/Clock.h"

namespace shallotbeam::common {

// Recognises heartbeats that were delayed because this process was paused. They
// carry the state from before the end of the pause.
struct PauseGuard {
  // Ticks are 20 ms apart, so a gap this long between events means that the
  // process was paused.
  Duration threshold = std::chrono::milliseconds(500);
  TimePoint last_event;
  TimePoint resumed;  // end of the last pause
};

// Must be called for every event.
inline void RecordEvent(PauseGuard& guard, TimePoint now) {
  const bool first = guard.last_event == TimePoint();
  if (!first && now - guard.last_event >= guard.threshold) guard.resumed = now;
  guard.last_event = now;
}

// Converts a time to the format of a heartbeat's `sent`.
inline std::uint64_t ToStamp(TimePoint time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

// Whether a heartbeat was sent after the last process pause. `echoed_sent` is
// the `sent` of this process that the peer echoes; 0, which counts as fresh,
// means that the peer hasn't received a heartbeat from this process yet.
inline bool IsFresh(const PauseGuard& guard, std::uint64_t echoed_sent) {
  return echoed_sent == 0 || echoed_sent >= ToStamp(guard.resumed);
}

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_PAUSEGUARD_H_
