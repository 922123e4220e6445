#include "Routing/WorkQueue.h"

#include <algorithm>
#include <cmath>

namespace shallotbeam::routing {

namespace {

double UrgencyWeight(common::Urgency urgency) {
  switch (urgency) {
    case common::Urgency::kUrgent:
      return 8;
    case common::Urgency::kNormal:
      return 4;
    case common::Urgency::kBackground:
      return 1;
  }
  return 1;
}

KindQueue& QueueOf(WorkspaceQueue& workspace, const common::KindName& kind,
                   common::Urgency urgency) {
  KindQueue& queue = workspace.kinds[kind];
  queue.urgency = urgency;
  if (!queue.requests.empty()) return queue;
  // A kind that becomes backlogged again starts at the virtual time of the last
  // kind served. Its idle time gives it no credit, and service that it received
  // without competition is not charged to it.
  queue.virtual_time = std::max(queue.virtual_time, workspace.virtual_time);
  return queue;
}

void UpdateCounts(WorkQueue& queue, WorkspaceQueue& workspace, KindQueue& kind,
                  const QueuedRequest& request, int delta) {
  queue.waiting += delta;
  workspace.waiting += delta;
  if (delta > 0) {
    kind.bytes += request.bytes;
  } else {
    kind.bytes -= request.bytes;
  }
}

// The smoothed interval moves by 1 / kSmoothingFactor of the difference at each
// dispatch.
constexpr int kSmoothingFactor = 8;
// A dispatch interval is capped at this multiple of the smoothed interval, but
// the cap is at least kMinStall: a single stall does not determine the rate,
// while a rate that has really become slower shows again in the next intervals.
constexpr int kMaxIntervalGrowth = 8;
constexpr common::Duration kMinStall = std::chrono::milliseconds(100);
// A rate measured over n dispatches is extrapolated to at most n times this
// number of dispatches.
constexpr int kMaxExtrapolation = 5;
// The dispatch count stops at this number.
constexpr int kMaxDispatchCount = 1'000'000;

void RecordDispatchInterval(WorkspaceQueue& workspace, common::TimePoint now) {
  const common::Duration longest =
      workspace.dispatches == 0
          ? common::Duration::max()
          : std::max(kMaxIntervalGrowth * workspace.dispatch_interval,
                     kMinStall);
  const common::Duration interval =
      std::min(now - workspace.last_progress, longest);
  workspace.last_progress = now;
  workspace.dispatches = std::min(workspace.dispatches + 1, kMaxDispatchCount);
  // Smoothing that starts from zero would estimate too short waits for many
  // dispatches.
  workspace.dispatch_interval =
      workspace.dispatch_interval.count() == 0
          ? interval
          : workspace.dispatch_interval +
                (interval - workspace.dispatch_interval) / kSmoothingFactor;
}

}  // namespace

void Push(WorkQueue& queue, const common::WorkspaceName& workspace,
          const common::KindName& kind, common::Urgency urgency,
          const QueuedRequest& request, common::TimePoint now) {
  WorkspaceQueue& backlog = queue.workspaces[workspace];
  KindQueue& kind_queue = QueueOf(backlog, kind, urgency);
  const auto position = std::upper_bound(
      kind_queue.requests.begin(), kind_queue.requests.end(), request.arrived,
      [](common::TimePoint arrived, const QueuedRequest& other) {
        return arrived < other.arrived;
      });
  kind_queue.requests.insert(position, request);
  // The time in which nothing waited says nothing about the service rate.
  if (backlog.waiting == 0) backlog.last_progress = now;
  UpdateCounts(queue, backlog, kind_queue, request, +1);
}

std::optional<QueuedRequest> Pop(WorkQueue& queue,
                                 const common::WorkspaceName& workspace,
                                 common::TimePoint now) {
  const auto backlog = queue.workspaces.find(workspace);
  if (backlog == queue.workspaces.end()) return std::nullopt;
  KindQueue* best = nullptr;
  for (auto& [name, kind] : backlog->second.kinds) {
    if (kind.requests.empty()) continue;
    const bool ahead = best == nullptr ||
                       kind.virtual_time < best->virtual_time ||
                       (kind.virtual_time == best->virtual_time &&
                        kind.urgency > best->urgency);
    if (ahead) best = &kind;
  }
  if (best == nullptr) return std::nullopt;
  const QueuedRequest request = best->requests.front();
  best->requests.pop_front();
  backlog->second.virtual_time = best->virtual_time;
  best->virtual_time += 1 / UrgencyWeight(best->urgency);
  UpdateCounts(queue, backlog->second, *best, request, -1);
  RecordDispatchInterval(backlog->second, now);
  return request;
}

bool Remove(WorkQueue& queue, const common::WorkspaceName& workspace,
            const common::KindName& kind, common::RequestId id) {
  const auto backlog = queue.workspaces.find(workspace);
  if (backlog == queue.workspaces.end()) return false;
  const auto kind_queue = backlog->second.kinds.find(kind);
  if (kind_queue == backlog->second.kinds.end()) return false;
  auto& requests = kind_queue->second.requests;
  const auto it =
      std::find_if(requests.begin(), requests.end(),
                   [&](const QueuedRequest& other) { return other.id == id; });
  if (it == requests.end()) return false;
  const QueuedRequest request = *it;
  requests.erase(it);
  UpdateCounts(queue, backlog->second, kind_queue->second, request, -1);
  return true;
}

QueueSize SizeOf(const WorkQueue& queue, const common::WorkspaceName& workspace,
                 const common::KindName& kind) {
  const auto backlog = queue.workspaces.find(workspace);
  if (backlog == queue.workspaces.end()) return {};
  const auto it = backlog->second.kinds.find(kind);
  if (it == backlog->second.kinds.end()) return {};
  return {.requests = static_cast<int>(it->second.requests.size()),
          .bytes = it->second.bytes};
}

WaitEstimate EstimateWait(const WorkQueue& queue,
                          const common::WorkspaceName& workspace,
                          const common::KindName& kind, common::Urgency urgency,
                          common::TimePoint now) {
  const auto it = queue.workspaces.find(workspace);
  if (it == queue.workspaces.end() || it->second.waiting == 0) return {};
  const WorkspaceQueue& backlog = it->second;
  // While requests of this kind wait, the other backlogged kinds are served
  // according to their weights.
  double ahead = 0;
  double weights = UrgencyWeight(urgency);
  for (const auto& [name, other] : backlog.kinds) {
    if (name == kind) {
      ahead = static_cast<double>(other.requests.size());
    } else if (!other.requests.empty()) {
      weights += UrgencyWeight(other.urgency);
    }
  }
  ahead = std::min<double>((ahead + 1) * weights / UrgencyWeight(urgency),
                           backlog.waiting + 1);
  const common::Duration interval = backlog.dispatch_interval;
  const common::Duration stall = now - backlog.last_progress;
  const double extrapolated =
      std::min<double>(ahead, static_cast<double>(kMaxExtrapolation) *
                                  static_cast<double>(backlog.dispatches));
  common::Duration wait =
      std::chrono::duration_cast<common::Duration>(interval * extrapolated);
  // Before the first dispatch it is unknown whether there is a stall.
  if (backlog.dispatches > 0 && stall > interval) wait += stall - interval;
  return {.wait = wait,
          .dispatches = static_cast<int>(std::ceil(ahead)),
          .interval = interval,
          .stall = stall};
}

std::vector<protocol::WorkspaceDemand> SummariseDemand(const WorkQueue& queue,
                                                       common::TimePoint now) {
  std::vector<protocol::WorkspaceDemand> demand;
  for (const auto& [name, workspace] : queue.workspaces) {
    if (workspace.waiting == 0) continue;
    protocol::WorkspaceDemand& it = demand.emplace_back();
    it.workspace = name;
    it.waiting = workspace.waiting;
    it.urgency = common::Urgency::kBackground;
    for (const auto& [kind_name, kind] : workspace.kinds) {
      if (kind.requests.empty()) continue;
      it.urgency = std::max(it.urgency, kind.urgency);
      const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - kind.requests.front().arrived);
      it.oldest_wait = std::max(it.oldest_wait, wait);
    }
  }
  return demand;
}

}  // namespace shallotbeam::routing
