#ifndef SHALLOTBEAM_CORE_SCHEDULING_READINGSHARE_H_
#define SHALLOTBEAM_CORE_SCHEDULING_READINGSHARE_H_

#include "Common/Clock.h"

// Which share of its time an engine spends on reading prompts. Running streams
// make one step between two chunks of prompts, so that reading without a break
// makes the pauses between their events longer than callers accept.
namespace shallotbeam::scheduling {

struct ReadingShareOptions {
  // Below this, callers wait longer for first events than running streams gain.
  double least = 0.3;
  double most = 1;
  // Part that is taken away when all running streams pause for too long.
  double decrease = 0.1;
  // Added for each second, soon after a long pause and in calm.
  double increase_per_second = 0.002;
  double calm_increase_per_second = 0.02;
  common::Duration calm_after = std::chrono::seconds(10);
};

struct ReadingShare {
  ReadingShareOptions options;
  double share = 0.8;
  common::TimePoint grown;  // up to this time
  common::TimePoint last_pause;
};

// Called from time to time. The share stays as it is while no streams run,
// which tells nothing of pauses.
void GrowShare(ReadingShare& reading, common::TimePoint now, int running);
// One of `running` streams has paused for longer than its caller accepts.
void OnLongPause(ReadingShare& reading, common::TimePoint now, int running);

}  // namespace shallotbeam::scheduling

#endif  // SHALLOTBEAM_CORE_SCHEDULING_READINGSHARE_H_
