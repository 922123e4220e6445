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
  for (const auto& [key, position] : session.positions) {
    if (session.listed.count(key) != 0) continue;
    update->changes.push_back(
        {.item = {.key = key, .position = session.list_as_of},
         .removed = true});
  }
  session.positions = std::exchange(session.listed, {});
  session.position = session.list_as_of;
  session.confirmed_at = session.list_sent;
  session.synced = true;
  update->resynced = true;
}

void StartList(StoreSession& session) {
  session.synced = false;
  session.listed.clear();
  session.list_after.clear();
}

// Records the era that an answered call states. Returns whether the copy or the
// unfinished list is of an earlier one and has to be listed anew.
bool EnterEra(StoreSession& session, common::TimePoint now, std::uint64_t era,
              StoreUpdate* update) {
  if (era == session.era) return false;
  const bool first = !session.confirmed_at && session.list_after.empty();
  session.era = era;
  if (first) return false;
  // Entries may be missing that their owners write again, as after an outage.
  session.reconnected = now;
  update->restored = true;
  StartList(session);
  return true;
}

// A response from before the store was restored that arrives late is none.
absl::Status StatusOf(const StoreSession& session, const absl::Status& status,
                      common::StorePosition as_of) {
  if (!status.ok() || as_of.era >= session.era) return status;
  return absl::UnavailableError("response of an earlier era");
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
  return PollCall{.position = session.position, .wait = session.call_wait};
}

StoreUpdate OnListed(StoreSession& session, common::TimePoint now,
                     const ListResult& result) {
  StoreUpdate update;
  const absl::Status status = StatusOf(session, result.status, result.as_of);
  if (!EndCall(session, now, status, &update)) return update;
  const bool next_page = !session.list_after.empty();
  if (EnterEra(session, now, result.as_of.era, &update) && next_page) {
    return update;
  }
  const bool first_page = session.list_after.empty();
  if (first_page) {
    session.list_as_of = result.as_of;
    session.list_sent = session.call_sent;
  }
  for (const StoredItem& it : result.items) {
    session.listed[it.key] = it.position;
    const auto known = session.positions.find(it.key);
    if (known != session.positions.end() && known->second == it.position) {
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
  const absl::Status status = StatusOf(session, result.status, result.as_of);
  if (!EndCall(session, now, status, &update)) {
    if (absl::IsOutOfRange(status)) StartList(session);
    return update;
  }
  if (EnterEra(session, now, result.as_of.era, &update)) return update;
  // An empty response after the whole wait confirms that nothing had changed
  // by the end of the wait.
  const common::TimePoint confirmed = ConfirmedAt(session, now, result);
  session.confirmed_at =
      std::max(session.confirmed_at.value_or(confirmed), confirmed);
  session.position = std::max(session.position, result.as_of);
  for (const ItemChange& it : result.changes) {
    const auto known = session.positions.find(it.item.key);
    const bool outdated =
        known != session.positions.end() && known->second > it.item.position;
    if (outdated) continue;
    if (it.removed) {
      session.positions.erase(it.item.key);
    } else {
      session.positions[it.item.key] = it.item.position;
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
