#ifndef SHALLOTBEAM_CORE_OVERLOAD_ACCEPTCONTROLLER_H_
#define SHALLOTBEAM_CORE_OVERLOAD_ACCEPTCONTROLLER_H_

#include <cstddef>
#include <cstdint>

#include "Common/Clock.h"

// Decides how many connections a gateway accepts on a host with a quota of
// processor time. Processor time that nobody has used yet is saved up as
// credit, for a short time; the process uses up credit with whatever it does,
// first of all with the requests and streams that it has. New connections get
// the rest. While there is none, the gateway does not listen, and callers
// connect to other hosts at once. This code only decides; it performs no I/O.
namespace shallotbeam::overload {

struct AcceptControllerOptions {
  double cpu_share = 1;  // quota, as a fraction of a core
  // Part of the quota that is handed out. The rest works off what was accepted
  // in excess of it.
  double usable_part = 0.9;
  // Unused quota is saved up for this long, so a burst of connections waits no
  // longer than that.
  common::Duration burst = std::chrono::milliseconds(100);
  // Credit is never lower than the quota of this time.
  common::Duration max_debt = std::chrono::milliseconds(300);
  // The work of a connection is expected to be done within about this time.
  common::Duration work_time = std::chrono::milliseconds(60);
  // Part of the full credit from which a closed listener opens again.
  double reopen_part = 0.4;
  // Processor time of a connection with its request, before any is measured,
  // and bounds of what is measured.
  common::Duration initial_cost = std::chrono::microseconds(250);
  common::Duration min_cost = std::chrono::microseconds(80);
  common::Duration max_cost = std::chrono::microseconds(1'000);
  // The cost is learnt from intervals of this length.
  common::Duration interval = std::chrono::milliseconds(100);
  common::Duration cost_memory = std::chrono::seconds(4);
  // A host is crowded while its listener is closed for more than this part of
  // the time, on average over `closed_memory`. The load balancer should then
  // send its consumers to other hosts, which takes it seconds.
  double crowded_above = 0.25;
  common::Duration closed_memory = std::chrono::seconds(1);
  // Time for which a crowded host stays crowded. It doubles each time until the
  // host has been uncrowded for `calm_time`, so that a flood moves on until it
  // reaches a host that can take it, instead of coming back.
  common::Duration min_hold = std::chrono::seconds(4);
  common::Duration max_hold = std::chrono::seconds(16);
  common::Duration calm_time = std::chrono::seconds(20);
  // Readings of the processor clock over this time must stay within the quota
  // times `max_excess`, or they are not used.
  common::Duration check_time = std::chrono::milliseconds(400);
  double max_excess = 2;
  // Processor time that an idle process uses in a second.
  common::Duration idle_use = std::chrono::milliseconds(8);
  // Weight of `initial_cost`, in connections.
  double initial_weight = 20;
};

// Decayed sums over intervals.
struct CostSums {
  double seconds = 0;
  double connections = 0;
  double used = 0;  // processor time, ns
};

struct AcceptController {
  AcceptControllerOptions options;
  bool started = false;
  common::TimePoint last_tick;
  common::Duration last_used{0};
  double credit = 0;    // processor time, ns
  double reserved = 0;  // of that, for connections accepted recently
  double cost = 0;      // of a connection, ns
  CostSums sums;
  common::TimePoint interval_start;
  double interval_used = 0;
  double interval_connections = 0;
  // Whether the processor clock stays within the quota, as it must.
  bool trusted = true;
  common::TimePoint check_start;
  common::Duration check_used{0};  // reading at that time
  bool open = true;
  std::size_t permitted = 0;  // by the last tick
  double closed_part = 0;     // of the time, decayed
  bool crowded = false;
  common::TimePoint crowded_until;
  common::Duration hold{0};
  std::uint64_t pauses = 0;            // times that the listener was closed
  std::uint64_t ignored_readings = 0;  // clocks that ran backwards or leapt
};

// Handles a periodic tick that came `late` after its scheduled time. `used` is
// the processor time of the process since its start, `accepted` the number of
// connections accepted since the last tick. Returns how many may be accepted
// before the next one; the listener is to be closed at 0.
std::size_t OnTick(AcceptController& controller, common::TimePoint now,
                   common::Duration late, common::Duration used,
                   std::size_t accepted);

}  // namespace shallotbeam::overload

#endif  // SHALLOTBEAM_CORE_OVERLOAD_ACCEPTCONTROLLER_H_
