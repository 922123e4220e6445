#include "Pacing/StartPacer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace shallotbeam::pacing {

namespace {

// Starts that were not used may be made up for within this time.
constexpr common::Duration kMaxCatchUp = std::chrono::milliseconds(250);
constexpr double kMinPerSecond = 0.1;
constexpr double kMaxPerSecond = 1e6;

}  // namespace

common::Duration IntervalOf(double per_second, double part) {
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(
          1 / (std::clamp(per_second, kMinPerSecond, kMaxPerSecond) * part)));
}

StartPacer MakePacer(double per_second, double part, common::TimePoint now) {
  const common::Duration interval = IntervalOf(per_second, part);
  return {.interval = interval, .next = now + interval};
}

void SetRate(StartPacer& pacer, double per_second, double part,
             common::TimePoint now) {
  const common::Duration before =
      std::exchange(pacer.interval, IntervalOf(per_second, part));
  if (pacer.interval == before || pacer.next <= now) return;
  const double scale = std::chrono::duration<double>(pacer.interval) /
                       std::chrono::duration<double>(before);
  pacer.next = now + std::chrono::duration_cast<common::Duration>(
                         (pacer.next - now) * scale);
}

common::Duration WaitFor(const StartPacer& pacer, common::TimePoint now,
                         int ahead) {
  const common::TimePoint next = std::max(pacer.next, now - kMaxCatchUp);
  return std::max(next + ahead * pacer.interval - now, common::Duration(0));
}

void TakeStart(StartPacer& pacer, common::TimePoint now) {
  pacer.next = std::max(pacer.next, now - kMaxCatchUp) + pacer.interval;
}

void ReturnStart(StartPacer& pacer) { pacer.next -= pacer.interval; }

}  // namespace shallotbeam::pacing
