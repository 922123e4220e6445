#include "Fakes/FakeUpstream.h"

#include <utility>

namespace shallotbeam::fakes {

namespace {

using admission::UpstreamOutcome;

constexpr common::Duration kCrashDelay = std::chrono::milliseconds(6);
// Time in which the report of a crash reaches every process. The fleet can't
// prevent copies of the request from starting before that.
constexpr common::Duration kCrashReportDelay = std::chrono::milliseconds(10);
constexpr common::Duration kDownTime = std::chrono::milliseconds(300);

}  // namespace

void FakeUpstream::Start(const admission::AttemptId& id, std::size_t call,
                         UpstreamHandlers handlers) {
  if (!IsUp()) return handlers.on_end(UpstreamOutcome::kNotSent, 0);
  if (mode_ == UpstreamMode::kRefuses) {
    return handlers.on_end(UpstreamOutcome::kRefused, 0);
  }
  const CallOptions& options = records_.calls[call].options;
  const std::size_t run = records_.runs.size();
  records_.runs.push_back(
      {.call = call, .agent = agent_, .started = timeline_.Now()});
  in_flight_[run] = std::move(handlers);
  runs_[id] = run;
  if (options.crashes) {
    return timeline_.RunAfter(kCrashDelay, [this, run, options] {
      const auto it = in_flight_.find(run);
      if (it == in_flight_.end()) return;
      RecordCrash(run, it->second.can_report());
      Crash();
    });
  }
  if (mode_ == UpstreamMode::kSilent) return;
  const bool failing = mode_ == UpstreamMode::kErrors;
  const double factor = mode_ == UpstreamMode::kSlow ? 5 : 1;
  const auto latency = std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double, std::milli>(options.cost * factor));
  if (!failing) {
    timeline_.RunAfter(latency / 2, [this, run] {
      const auto it = in_flight_.find(run);
      if (it != in_flight_.end()) it->second.on_chunk(run);
    });
  }
  timeline_.RunAfter(latency, [this, run, failing] {
    End(run, failing ? UpstreamOutcome::kError : UpstreamOutcome::kCompleted);
  });
}

void FakeUpstream::RecordCrash(std::size_t run, bool can_report) {
  const std::uint64_t content =
      records_.calls[records_.runs[run].call].options.content;
  const auto first =
      records_.first_crash.try_emplace(content, timeline_.Now()).first;
  const bool preventable =
      first->second == timeline_.Now() ||
      records_.runs[run].started > first->second + kCrashReportDelay;
  if (!can_report || !preventable) return;
  ++records_.crashes[content];
}

void FakeUpstream::Cancel(const admission::AttemptId& id) {
  const auto it = runs_.find(id);
  if (it != runs_.end()) in_flight_.erase(it->second);
}

void FakeUpstream::Crash() {
  unreachable_until_ = timeline_.Now() + kDownTime;
  const auto broken = std::exchange(in_flight_, {});
  for (const auto& [run, handlers] : broken) {
    handlers.on_end(UpstreamOutcome::kBroken, run);
  }
}

void FakeUpstream::End(std::size_t run, UpstreamOutcome outcome) {
  const auto it = in_flight_.find(run);
  if (it == in_flight_.end()) return;
  const UpstreamHandlers handlers = std::move(it->second);
  in_flight_.erase(it);
  records_.runs[run].ended = true;
  handlers.on_end(outcome, run);
}

}  // namespace shallotbeam::fakes
