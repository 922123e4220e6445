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
  // A kind back from idle starts level with the last one served: it has saved
  // no credit, and it owes nothing for service while it was alone.
  queue.virtual_time = std::max(queue.virtual_time, workspace.virtual_time);
  return queue;
}

void Account(WorkQueue& queue, WorkspaceQueue& workspace, KindQueue& kind,
             const QueuedRequest& request, int step) {
  queue.waiting += step;
  workspace.waiting += step;
  if (step > 0) {
    kind.bytes += request.bytes;
  } else {
    kind.bytes -= request.bytes;
  }
}

// A share of the difference per dispatch.
constexpr int kSmoothing = 8;
// A longer interval counts as this many times the smoothed one, but not as less
// than the shortest stall: one stall is no rate, a slower rate comes again.
constexpr int kMostGrowth = 8;
constexpr common::Duration kShortestStall = std::chrono::milliseconds(100);
// A rate known from n dispatches is not extended over more than this many
// times n.
constexpr int kMostExtension = 5;
// Dispatches beyond this number are not counted.
constexpr int kManyDispatches = 1'000'000;

void NoteDispatch(WorkspaceQueue& workspace, common::TimePoint now) {
  const common::Duration longest =
      workspace.dispatches == 0
          ? common::Duration::max()
          : std::max(kMostGrowth * workspace.dispatch_interval, kShortestStall);
  const common::Duration interval =
      std::min(now - workspace.last_progress, longest);
  workspace.last_progress = now;
  workspace.dispatches = std::min(workspace.dispatches + 1, kManyDispatches);
  // Starting from zero would promise too short waits for many dispatches.
  workspace.dispatch_interval =
      workspace.dispatch_interval.count() == 0
          ? interval
          : workspace.dispatch_interval +
                (interval - workspace.dispatch_interval) / kSmoothing;
}

}  // namespace

void Push(WorkQueue& queue, const common::WorkspaceName& workspace,
          const common::KindName& kind, common::Urgency urgency,
          const QueuedRequest& request, common::TimePoint now) {
  WorkspaceQueue& owner = queue.workspaces[workspace];
  KindQueue& target = QueueOf(owner, kind, urgency);
  const auto place = std::upper_bound(
      target.requests.begin(), target.requests.end(), request.arrived,
      [](common::TimePoint arrived, const QueuedRequest& other) {
        return arrived < other.arrived;
      });
  target.requests.insert(place, request);
  // A pause while nothing waited says nothing about the rate of service.
  if (owner.waiting == 0) owner.last_progress = now;
  Account(queue, owner, target, request, +1);
}

std::optional<QueuedRequest> Pop(WorkQueue& queue,
                                 const common::WorkspaceName& workspace,
                                 common::TimePoint now) {
  const auto owner = queue.workspaces.find(workspace);
  if (owner == queue.workspaces.end()) return std::nullopt;
  KindQueue* best = nullptr;
  for (auto& [name, kind] : owner->second.kinds) {
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
  owner->second.virtual_time = best->virtual_time;
  best->virtual_time += 1 / UrgencyWeight(best->urgency);
  Account(queue, owner->second, *best, request, -1);
  NoteDispatch(owner->second, now);
  return request;
}

bool Remove(WorkQueue& queue, const common::WorkspaceName& workspace,
            const common::KindName& kind, common::RequestId id) {
  const auto owner = queue.workspaces.find(workspace);
  if (owner == queue.workspaces.end()) return false;
  const auto target = owner->second.kinds.find(kind);
  if (target == owner->second.kinds.end()) return false;
  auto& requests = target->second.requests;
  const auto it =
      std::find_if(requests.begin(), requests.end(),
                   [&](const QueuedRequest& other) { return other.id == id; });
  if (it == requests.end()) return false;
  const QueuedRequest request = *it;
  requests.erase(it);
  Account(queue, owner->second, target->second, request, -1);
  return true;
}

QueueSize SizeOf(const WorkQueue& queue, const common::WorkspaceName& workspace,
                 const common::KindName& kind) {
  const auto owner = queue.workspaces.find(workspace);
  if (owner == queue.workspaces.end()) return {};
  const auto it = owner->second.kinds.find(kind);
  if (it == owner->second.kinds.end()) return {};
  return {.requests = static_cast<int>(it->second.requests.size()),
          .bytes = it->second.bytes};
}

WaitEstimate EstimateWait(const WorkQueue& queue,
                          const common::WorkspaceName& workspace,
                          const common::KindName& kind, common::Urgency urgency,
                          common::TimePoint now) {
  const auto it = queue.workspaces.find(workspace);
  if (it == queue.workspaces.end() || it->second.waiting == 0) return {};
  const WorkspaceQueue& owner = it->second;
  // While requests of this kind wait, the other kinds take their shares.
  double ahead = 0;
  double weights = UrgencyWeight(urgency);
  for (const auto& [name, other] : owner.kinds) {
    if (name == kind) {
      ahead = static_cast<double>(other.requests.size());
    } else if (!other.requests.empty()) {
      weights += UrgencyWeight(other.urgency);
    }
  }
  ahead = std::min<double>((ahead + 1) * weights / UrgencyWeight(urgency),
                           owner.waiting + 1);
  const common::Duration interval = owner.dispatch_interval;
  const common::Duration stall = now - owner.last_progress;
  const double known =
      std::min<double>(ahead, static_cast<double>(kMostExtension) *
                                  static_cast<double>(owner.dispatches));
  common::Duration wait =
      std::chrono::duration_cast<common::Duration>(interval * known);
  // Without a dispatch nothing tells whether there is a stall.
  if (owner.dispatches > 0 && stall > interval) wait += stall - interval;
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
