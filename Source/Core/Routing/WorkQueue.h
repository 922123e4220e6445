#ifndef SHALLOTBEAM_CORE_ROUTING_WORKQUEUE_H_
#define SHALLOTBEAM_CORE_ROUTING_WORKQUEUE_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Protocol/Messages.h"

namespace shallotbeam::routing {

struct QueuedRequest {
  common::RequestId id;
  common::TimePoint arrived;
  common::TimePoint deadline;
  std::size_t bytes = 0;
};

// Requests of one workspace and kind, oldest first.
struct KindQueue {
  common::Urgency urgency = common::Urgency::kNormal;
  std::deque<QueuedRequest> requests;
  std::size_t bytes = 0;
  // Requests taken divided by the weight of the urgency.
  double virtual_time = 0;
};

struct WorkspaceQueue {
  std::map<common::KindName, KindQueue> kinds;
  int waiting = 0;
  double virtual_time = 0;  // of the last kind served, before that service
  // Smoothed time between two dispatches while requests wait; zero before the
  // first dispatch.
  common::Duration dispatch_interval{};
  int dispatches = 0;  // number of dispatches measured in `dispatch_interval`
  // Time of the last dispatch, or when the first request began to wait.
  common::TimePoint last_progress;
};

// The waiting requests of one pool at one router.
struct WorkQueue {
  std::map<common::WorkspaceName, WorkspaceQueue> workspaces;
  int waiting = 0;
};

// Inserts a request in order of arrival, also when the request is queued again.
void Push(WorkQueue& queue, const common::WorkspaceName& workspace,
          const common::KindName& kind, common::Urgency urgency,
          const QueuedRequest& request, common::TimePoint now);

// Takes the next request of a workspace. Kinds share the service by the weights
// of their urgencies (8 : 4 : 1), so that no kind starves.
std::optional<QueuedRequest> Pop(WorkQueue& queue,
                                 const common::WorkspaceName& workspace,
                                 common::TimePoint now);

// Removes one request; returns false if the request was not queued.
bool Remove(WorkQueue& queue, const common::WorkspaceName& workspace,
            const common::KindName& kind, common::RequestId id);

// Number and bytes of the queued requests of one workspace and kind.
struct QueueSize {
  int requests = 0;
  std::size_t bytes = 0;
};
QueueSize SizeOf(const WorkQueue& queue, const common::WorkspaceName& workspace,
                 const common::KindName& kind);

// Expected time until a request queued now is dispatched, and the values that
// the estimate is derived from.
struct WaitEstimate {
  // Zero while the dispatch rate is unknown; grows while no request is
  // dispatched.
  common::Duration wait{};
  int dispatches = 0;  // until this request is dispatched, including it
  common::Duration interval{};  // between two dispatches
  common::Duration stall{};     // time since the last dispatch
};
WaitEstimate EstimateWait(const WorkQueue& queue,
                          const common::WorkspaceName& workspace,
                          const common::KindName& kind, common::Urgency urgency,
                          common::TimePoint now);

// Removes workspaces that have no waiting requests and for which `keep` returns
// false.
template <typename Keep>
void EraseIdleWorkspaces(WorkQueue& queue, Keep&& keep) {
  std::erase_if(queue.workspaces, [&](const auto& it) {
    return it.second.waiting == 0 && !keep(it.first);
  });
}

std::vector<protocol::WorkspaceDemand> SummariseDemand(const WorkQueue& queue,
                                                       common::TimePoint now);

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_WORKQUEUE_H_
