#include "Overload/AcceptController.h"

#include <algorithm>
#include <cmath>

#include "Common/ExponentialDecay.h"

namespace shallotbeam::overload {

namespace {

double Nanoseconds(common::Duration duration) {
  return static_cast<double>(duration.count());
}

double QuotaOf(const AcceptController& controller, common::Duration time) {
  return controller.options.cpu_share * Nanoseconds(time);
}

double FullCredit(const AcceptController& controller) {
  const double quota = QuotaOf(controller, controller.options.burst) *
                       controller.options.usable_part;
  return std::max(quota, 2 * controller.cost);
}

// Processor time by connections accepted. It has to contain the streams, whose
// work comes long after the connection, but not what an idle process uses.
double MeasuredCost(const AcceptController& controller) {
  const AcceptControllerOptions& options = controller.options;
  const CostSums& sums = controller.sums;
  const double used =
      std::max(sums.used - sums.seconds * Nanoseconds(options.idle_use), 0.0);
  const double cost =
      (used + options.initial_weight * Nanoseconds(options.initial_cost)) /
      (sums.connections + options.initial_weight);
  return std::clamp(cost, Nanoseconds(options.min_cost),
                    Nanoseconds(options.max_cost));
}

void LearnCost(AcceptController& controller, common::TimePoint now) {
  const common::Duration length = now - controller.interval_start;
  if (length < controller.options.interval) return;
  CostSums& sums = controller.sums;
  // An interval in which the host stood still says nothing.
  if (controller.trusted && length < 2 * controller.options.interval) {
    const double decay =
        common::DecayFactor(length, controller.options.cost_memory);
    sums.seconds =
        sums.seconds * decay + std::chrono::duration<double>(length).count();
    sums.connections =
        sums.connections * decay + controller.interval_connections;
    sums.used = sums.used * decay + controller.interval_used;
    controller.cost = MeasuredCost(controller);
  }
  controller.interval_start = now;
  controller.interval_used = 0;
  controller.interval_connections = 0;
}

void Start(AcceptController& controller, common::TimePoint now,
           common::Duration used) {
  controller.started = true;
  controller.last_tick = now;
  controller.last_used = used;
  controller.interval_start = now;
  controller.interval_used = 0;
  controller.interval_connections = 0;
  controller.check_start = now;
  controller.check_used = used;
}

// Whether a process with one core can have used that much.
bool IsPlausible(common::Duration elapsed, common::Duration used) {
  constexpr auto kMargin = std::chrono::milliseconds(20);
  return elapsed >= common::Duration(0) && used >= common::Duration(0) &&
         used <= elapsed + kMargin;
}

// Some hosts have a clock of processor time that follows the steady clock.
void CheckClock(AcceptController& controller, common::TimePoint now,
                common::Duration used) {
  const common::Duration length = now - controller.check_start;
  if (length < controller.options.check_time) return;
  const common::Duration spent = used - controller.check_used;
  const bool trusted = Nanoseconds(spent) <= QuotaOf(controller, length) *
                                                 controller.options.max_excess;
  if (!trusted) {
    ++controller.ignored_readings;
    if (controller.trusted) controller.credit = 0;
  }
  controller.trusted = trusted;
  controller.check_start = now;
  controller.check_used = used;
}

std::size_t Permitted(AcceptController& controller) {
  const double free = controller.credit - controller.reserved;
  const double needed =
      controller.open
          ? controller.cost
          : std::max(controller.cost,
                     FullCredit(controller) * controller.options.reopen_part);
  controller.open = free >= needed;
  controller.permitted =
      controller.open
          ? static_cast<std::size_t>(std::floor(free / controller.cost))
          : 0;
  return controller.permitted;
}

void UpdateCrowded(AcceptController& controller, common::TimePoint now,
                   common::Duration elapsed, std::size_t accepted) {
  const AcceptControllerOptions& options = controller.options;
  // All that were permitted have come, and others were refused after them.
  const bool used_up = accepted >= controller.permitted;
  if (used_up && controller.permitted > 0) ++controller.pauses;
  if (used_up) controller.open = false;
  const double decay = common::DecayFactor(
      std::min(elapsed, options.closed_memory), options.closed_memory);
  controller.closed_part =
      controller.closed_part * decay + (used_up ? 1 - decay : 0);
  const bool closed_often = controller.closed_part > options.crowded_above;
  if (controller.crowded) {
    controller.crowded = closed_often || now < controller.crowded_until;
    if (!controller.crowded) controller.crowded_until = now;
    return;
  }
  if (!closed_often) return;
  const bool calm = now - controller.crowded_until > options.calm_time;
  controller.hold =
      calm ? options.min_hold : std::min(2 * controller.hold, options.max_hold);
  controller.hold = std::max(controller.hold, options.min_hold);
  controller.crowded = true;
  controller.crowded_until = now + controller.hold;
}

}  // namespace

std::size_t OnTick(AcceptController& controller, common::TimePoint now,
                   common::Duration late, common::Duration reading,
                   std::size_t accepted) {
  constexpr common::Duration kMaxReading = std::chrono::hours(24 * 365 * 100);
  const bool possible = reading >= common::Duration(0) && reading < kMaxReading;
  const common::Duration used = possible ? reading : controller.last_used;
  if (!possible) ++controller.ignored_readings;
  const AcceptControllerOptions& options = controller.options;
  if (!controller.started) {
    controller.cost = Nanoseconds(options.initial_cost);
    controller.credit = FullCredit(controller);
    Start(controller, now, used);
    return Permitted(controller);
  }
  const common::Duration elapsed = now - controller.last_tick;
  common::Duration spent = used - controller.last_used;
  controller.reserved += static_cast<double>(accepted) * controller.cost;
  if (!IsPlausible(elapsed, spent)) {
    ++controller.ignored_readings;
    Start(controller, now, used);
    return Permitted(controller);
  }
  controller.last_tick = now;
  controller.last_used = used;
  CheckClock(controller, now, used);
  if (!controller.trusted) spent = common::Duration(0);
  controller.interval_used += Nanoseconds(spent);
  controller.interval_connections += static_cast<double>(accepted);
  LearnCost(controller, now);
  UpdateCrowded(controller, now, elapsed, accepted);
  controller.reserved *= common::DecayFactor(elapsed, options.work_time);
  controller.credit +=
      QuotaOf(controller, elapsed) * options.usable_part - Nanoseconds(spent);
  // Work that delayed this tick waits already. Some of it may not be part of
  // `used`: the kernel's work for this process counts towards the quota, too.
  const common::Duration waiting =
      std::clamp(late, common::Duration(0), options.burst);
  controller.credit =
      std::clamp(controller.credit, -QuotaOf(controller, options.max_debt),
                 FullCredit(controller) - QuotaOf(controller, waiting));
  return Permitted(controller);
}

}  // namespace shallotbeam::overload
