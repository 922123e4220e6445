#ifndef SHALLOTBEAM_CORE_SCHEDULING_PREFILLSHARE_H_
#define SHALLOTBEAM_CORE_SCHEDULING_PREFILLSHARE_H_

#include "Common/Clock.h"

// Limits the share of its time that an engine spends on processing prompts
// (prefill). Running streams make only one step between two chunks of prompts,
// so prefill without breaks makes the event gaps, the times between two events
// of a stream, longer than callers accept. Such a stream is stalled. The share
// is adapted by additive increase and multiplicative decrease.
namespace shallotbeam::scheduling {

struct PrefillShareOptions {
  // A lower share would delay first events by more than running streams gain.
  double min_share = 0.3;
  double max_share = 1;
  // Fraction by which the share decreases when all running streams stall.
  double decrease_fraction = 0.1;
  // Increase per second soon after a stall, and after `stable_after` without
  // one.
  double increase_per_second = 0.002;
  double stable_increase_per_second = 0.02;
  common::Duration stable_after = std::chrono::seconds(10);
};

struct PrefillShare {
  PrefillShareOptions options;
  double share = 0.8;
  common::TimePoint last_update;
  common::TimePoint last_stall;
};

// Increases the share by the time since the last call. Must be called
// periodically. The share does not change while no streams run, because there
// are no event gaps to observe then.
void IncreaseShare(PrefillShare& prefill, common::TimePoint now, int running);
// Decreases the share because one of `running` streams has stalled.
void OnStall(PrefillShare& prefill, common::TimePoint now, int running);

}  // namespace shallotbeam::scheduling

#endif  // SHALLOTBEAM_CORE_SCHEDULING_PREFILLSHARE_H_
