#include "Scheduling/ReadingShare.h"

#include <algorithm>

namespace shallotbeam::scheduling {

void GrowShare(ReadingShare& reading, common::TimePoint now, int running) {
  if (reading.grown != common::TimePoint() && running > 0) {
    const ReadingShareOptions& options = reading.options;
    const double seconds =
        std::chrono::duration<double>(now - reading.grown).count();
    const bool calm = now - reading.last_pause > options.calm_after;
    const double increase =
        calm ? options.calm_increase_per_second : options.increase_per_second;
    reading.share = std::min(reading.share + seconds * increase, options.most);
  }
  reading.grown = now;
}

void OnLongPause(ReadingShare& reading, common::TimePoint now, int running) {
  reading.last_pause = now;
  const double part = reading.options.decrease / std::max(running, 1);
  reading.share = std::max(reading.share * (1 - part), reading.options.least);
}

}  // namespace shallotbeam::scheduling
