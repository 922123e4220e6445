#ifndef SHALLOTBEAM_CORE_PACING_STARTPACER_H_
#define SHALLOTBEAM_CORE_PACING_STARTPACER_H_

#include "Common/Clock.h"

// Spaces the starts of requests at one upstream, so that they stay within a
// rate.
namespace shallotbeam::pacing {

// Parts of the rate that an upstream states. Each part is given to one place
// for good, so that their sum stays within the rate whichever of them are
// alive or cut off from each other.

// Handed out by the scheduler of an engine, or by both permit desks of another
// upstream together.
inline constexpr double kSupervisedPart = 0.95;
// Permit desks of an upstream.
inline constexpr int kDeskCount = 2;
inline constexpr double kDeskPart = kSupervisedPart / kDeskCount;
// Used by all gateways together without asking anyone, while no scheduler or
// desk answers. They learn by it when the limit ends.
inline constexpr double kUnsupervisedPart = 1 - kSupervisedPart;

struct StartPacer {
  common::Duration interval{0};  // between two starts
  common::TimePoint next;        // earliest next start
};

// Returns the time between two starts at `part` of `per_second`.
common::Duration IntervalOf(double per_second, double part);

// Paces starts at `part` of `per_second`. Very low rates are raised, as an
// upstream without any request can't state that its need has ended.
StartPacer MakePacer(double per_second, double part, common::TimePoint now);

// Changes the rate. The wait for the next start changes in proportion.
void SetRate(StartPacer& pacer, double per_second, double part,
             common::TimePoint now);

// Returns the time until a start is allowed if `ahead` others come first.
common::Duration WaitFor(const StartPacer& pacer, common::TimePoint now,
                         int ahead = 0);

// Takes the next start, which may lie ahead.
void TakeStart(StartPacer& pacer, common::TimePoint now);

// Gives back a start that was not used.
void ReturnStart(StartPacer& pacer);

}  // namespace shallotbeam::pacing

#endif  // SHALLOTBEAM_CORE_PACING_STARTPACER_H_
