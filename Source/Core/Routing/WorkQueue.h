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
  double virtual_time = 0;  // requests taken per weight of the urgency
};

struct WorkspaceQueue {
  std::map<common::KindName, KindQueue> kinds;
  int waiting = 0;
  double virtual_time = 0;  // of the last kind served, before that service
  // Smoothed time between two dispatches while requests wait; zero until the
  // first one.
  common::Duration dispatch_interval{};
  int dispatches = 0;  // that the interval is known from
  // Last dispatch, or when the first request began to wait.
  common::TimePoint last_progress;
};

// The waiting requests of one pool at one router.
struct WorkQueue {
  std::map<common::WorkspaceName, WorkspaceQueue> workspaces;
  int waiting = 0;
};

// Queues a request at its place by arrival, also when it is put back.
void Push(WorkQueue& queue, const common::WorkspaceName& workspace,
          const common::KindName& kind, common::Urgency urgency,
          const QueuedRequest& request, common::TimePoint now);

// Takes the next request of a workspace. Kinds share by the weights of their
// urgencies (8 : 4 : 1), so that every kind makes progress.
std::optional<QueuedRequest> Pop(WorkQueue& queue,
                                 const common::WorkspaceName& workspace,
                                 common::TimePoint now);

// Removes one request; returns false if it was not queued.
bool Remove(WorkQueue& queue, const common::WorkspaceName& workspace,
            const common::KindName& kind, common::RequestId id);

// Number and bytes of the queued requests of one workspace and kind.
struct QueueSize {
  int requests = 0;
  std::size_t bytes = 0;
};
QueueSize SizeOf(const WorkQueue& queue, const common::WorkspaceName& workspace,
                 const common::KindName& kind);

// Expected time until a request queued now is dispatched, and what it follows
// from.
struct WaitEstimate {
  // Zero while nothing is known of the rate; grows while dispatches stand
  // still.
  common::Duration wait{};
  int dispatches = 0;           // until it is this request's turn
  common::Duration interval{};  // between two dispatches
  common::Duration stall{};     // since the last one
};
WaitEstimate EstimateWait(const WorkQueue& queue,
                          const common::WorkspaceName& workspace,
                          const common::KindName& kind, common::Urgency urgency,
                          common::TimePoint now);

// Forgets workspaces without waiting requests for which `keep` is false.
template <typename Keep>
void ForgetIdle(WorkQueue& queue, Keep&& keep) {
  std::erase_if(queue.workspaces, [&](const auto& it) {
    return it.second.waiting == 0 && !keep(it.first);
  });
}

std::vector<protocol::WorkspaceDemand> SummariseDemand(const WorkQueue& queue,
                                                       common::TimePoint now);

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_WORKQUEUE_H_
