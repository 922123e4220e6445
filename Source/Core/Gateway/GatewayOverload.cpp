#include "Common/Logging.h"
#include "Gateway/Gateway.h"

// What a gateway does when its host has too little processor time.
namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;
using std::chrono::milliseconds;

constexpr common::Duration kLoadLogInterval = std::chrono::seconds(1);

}  // namespace

void Gateway::ControlLoad(common::TimePoint now, common::Duration late) {
  const bool overloaded = load_shedder_.overloaded;
  overload::OnTick(load_shedder_, now, late);
  if (overloaded != load_shedder_.overloaded) {
    Log(Subsystem::kMain, LogLevel::kWarning,
        "event=processor_{} share={:.2f} late_ms={} calls={}",
        overloaded ? "recovered" : "overloaded", load_shedder_.share,
        load_shedder_.tick_delay / milliseconds(1), calls_.size());
  }
  const bool accepting = !load_shedder_.overloaded && !listening_stopped_;
  if (!accept_controller_) return caller_server_.SetAccepting(accepting);
  const std::uint64_t accepted = caller_server_.Accepted();
  const bool crowded = accept_controller_->crowded;
  const std::size_t permitted =
      overload::OnTick(*accept_controller_, now, late,
                       environment_.processor->Used(), accepted - accepted_);
  accepted_ = accepted;
  if (crowded != accept_controller_->crowded) {
    const overload::AcceptController& it = *accept_controller_;
    Log(Subsystem::kMain, LogLevel::kWarning,
        "event=host_{} closed_part={:.2f} hold_ms={} cost_us={:.0f} pauses={}",
        crowded ? "uncrowded" : "crowded", it.closed_part,
        it.hold / milliseconds(1), it.cost / 1e3, it.pauses);
  }
  if (!accepting) return caller_server_.SetAccepting(false);
  caller_server_.SetPermitted(permitted);
}

void Gateway::LogLoad(common::TimePoint now) {
  if (now < next_load_log_) return;
  next_load_log_ = now + kLoadLogInterval;
  if (!accept_controller_) {
    Log(Subsystem::kMain, LogLevel::kInfo,
        "event=load connections={} calls={} waiting={} late_ms={} "
        "passing_share={:.2f}",
        caller_server_.Connections(), calls_.size(), searches_.size(),
        load_shedder_.tick_delay / milliseconds(1), load_shedder_.share);
    return;
  }
  const overload::AcceptController& it = *accept_controller_;
  Log(Subsystem::kMain, LogLevel::kInfo,
      "event=load connections={} calls={} waiting={} late_ms={} "
      "passing_share={:.2f} accepted={} used_ms={} credit_us={:.0f} "
      "cost_us={:.0f} pauses={} ignored={}",
      caller_server_.Connections(), calls_.size(), searches_.size(),
      load_shedder_.tick_delay / milliseconds(1), load_shedder_.share,
      accepted_, it.last_used / milliseconds(1),
      (it.credit - it.reserved) / 1e3, it.cost / 1e3, it.pauses,
      it.ignored_readings);
}

}  // namespace shallotbeam::gateway
