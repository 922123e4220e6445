#include "PlatformClients/StoreSession.h"

#include <algorithm>
#include <utility>

namespace shallotbeam::platform_clients {

namespace {

// Records the end of a call. Returns whether the call succeeded; after a
// failure schedules the next one with exponential backoff.
bool EndCall(StoreSession& session, common::TimePoint now,
             const absl::Status& status, StoreUpdate* update) {
  session.in_flight = false;
  const bool answered = status.ok() || absl::IsOutOfRange(status);
  if (answered) {
    session.retry_delay = std::chrono::milliseconds(0);
    session.next_call = now;
    update->reconnected = !session.reachable;
    if (update->reconnected) session.reconnected = now;
    session.reachable = true;
    return status.ok();
  }
  const StoreSessionOptions& options = session.options;
  session.retry_delay =
      std::clamp(session.retry_delay * 2, options.min_retry_delay,
                 options.max_retry_delay);
  session.next_call = now + session.retry_delay;
  update->disconnected = session.reachable;
  session.reachable = false;
  return false;
}

// Completes a list: reports items that are no longer in the list as removed.
void FinishList(StoreSession& session, StoreUpdate* update) {
  for (const auto& [key, revision] : session.revisions) {
    if (session.listed.count(key) != 0) continue;
    update->changes.push_back({.item = {.key = key}, .removed = true});
  }
  session.revisions = std::exchange(session.listed, {});
  session.revision = session.list_as_of;
  session.confirmed_at = session.list_sent;
  session.synced = true;
  update->resynced = true;
}

void StartList(StoreSession& session) {
  session.synced = false;
  session.listed.clear();
  session.list_after.clear();
}

std::chrono::milliseconds NextChangeDelay(const StoreSession& session,
                                          common::TimePoint now) {
  const StoreSessionOptions& options = session.options;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - session.confirmed_at.value_or(now));
  const auto delay =
      std::min({session.change_delay * 2, options.max_change_delay,
                options.poll_wait - age});
  return std::max(delay, options.change_delay);
}

// Polls of a copy cost the store nothing, so that their delay does not grow.
std::chrono::milliseconds DelayAfter(const StoreSession& session,
                                     common::TimePoint now,
                                     const ChangesResult& result) {
  if (result.changes.empty()) return std::chrono::milliseconds(0);
  return result.copy ? session.options.change_delay
                     : NextChangeDelay(session, now);
}

// Returns the time up to which the result confirms the copy. The time of the
// response itself is not used, as the response may have been delayed.
common::TimePoint ConfirmedAt(const StoreSession& session,
                              common::TimePoint now,
                              const ChangesResult& result) {
  const common::TimePoint sent = session.call_sent;
  if (result.copy) {
    const auto waited = result.changes.empty() ? result.copy->waited
                                               : std::chrono::milliseconds(0);
    return sent + waited - result.copy->age;
  }
  const bool waited_fully =
      result.changes.empty() && now - sent >= session.call_wait;
  return waited_fully ? sent + session.call_wait : sent;
}

}  // namespace

std::optional<StoreCall> NextCall(StoreSession& session,
                                  common::TimePoint now) {
  if (session.in_flight || now < session.next_call) return std::nullopt;
  session.in_flight = true;
  session.call_sent = now;
  if (!session.synced) return ListCall{.after = session.list_after};
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - session.confirmed_at.value_or(now));
  session.call_wait =
      std::clamp(session.options.poll_wait - age, session.options.min_poll_wait,
                 session.options.poll_wait);
  return PollCall{.revision = session.revision, .wait = session.call_wait};
}

StoreUpdate OnListed(StoreSession& session, common::TimePoint now,
                     const ListResult& result) {
  StoreUpdate update;
  if (!EndCall(session, now, result.status, &update)) return update;
  const bool first_page = session.list_after.empty();
  if (first_page) {
    session.list_as_of = result.as_of;
    session.list_sent = session.call_sent;
  }
  for (const StoredItem& it : result.items) {
    session.listed[it.key] = it.revision;
    const auto known = session.revisions.find(it.key);
    if (known != session.revisions.end() && known->second == it.revision) {
      continue;
    }
    update.changes.push_back({.item = it});
  }
  if (result.truncated && !result.items.empty()) {
    session.list_after = result.items.back().key;
    return update;
  }
  FinishList(session, &update);
  return update;
}

StoreUpdate OnChanges(StoreSession& session, common::TimePoint now,
                      const ChangesResult& result) {
  StoreUpdate update;
  if (!EndCall(session, now, result.status, &update)) {
    if (absl::IsOutOfRange(result.status)) StartList(session);
    return update;
  }
  // An empty response after the whole wait confirms that nothing had changed
  // by the end of the wait.
  const common::TimePoint confirmed = ConfirmedAt(session, now, result);
  session.confirmed_at =
      std::max(session.confirmed_at.value_or(confirmed), confirmed);
  session.revision = std::max(session.revision, result.as_of);
  for (const ItemChange& it : result.changes) {
    const auto known = session.revisions.find(it.item.key);
    const bool outdated =
        known != session.revisions.end() && known->second > it.item.revision;
    if (outdated) continue;
    if (it.removed) {
      session.revisions.erase(it.item.key);
    } else {
      session.revisions[it.item.key] = it.item.revision;
    }
    update.changes.push_back(it);
  }
  session.change_delay = DelayAfter(session, now, result);
  session.next_call = now + session.change_delay;
  return update;
}

std::optional<common::Duration> AgeOf(const StoreSession& session,
                                      common::TimePoint now) {
  if (!session.confirmed_at) return std::nullopt;
  return now - *session.confirmed_at;
}

}  // namespace shallotbeam::platform_clients
