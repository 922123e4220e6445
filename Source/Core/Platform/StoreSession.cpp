#include "Platform/StoreSession.h"

#include <algorithm>
#include <utility>

namespace shallotbeam::platform {

namespace {

// Whether the call succeeded; otherwise schedules the next one.
bool EndCall(StoreSession& session, common::TimePoint now,
             const absl::Status& status, StoreUpdate* news) {
  session.in_flight = false;
  const bool answered = status.ok() || absl::IsOutOfRange(status);
  if (answered) {
    session.pause = std::chrono::milliseconds(0);
    session.next_call = now;
    news->regained = !session.reachable;
    if (news->regained) session.regained = now;
    session.reachable = true;
    return status.ok();
  }
  const StoreSessionOptions& options = session.options;
  session.pause = std::clamp(session.pause * 2, options.shortest_pause,
                             options.longest_pause);
  session.next_call = now + session.pause;
  news->lost = session.reachable;
  session.reachable = false;
  return false;
}

// Drops items that the list no longer has.
void FinishList(StoreSession& session, StoreUpdate* news) {
  for (const auto& [key, revision] : session.revisions) {
    if (session.listed.count(key) != 0) continue;
    news->changes.push_back({.item = {.key = key}, .removed = true});
  }
  session.revisions = std::exchange(session.listed, {});
  session.revision = session.list_as_of;
  session.confirmed = session.list_sent;
  session.synced = true;
  news->resynced = true;
}

void StartList(StoreSession& session) {
  session.synced = false;
  session.listed.clear();
  session.list_after.clear();
}

std::chrono::milliseconds NextChangePause(const StoreSession& session,
                                          common::TimePoint now) {
  const StoreSessionOptions& options = session.options;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - session.confirmed.value_or(now));
  const auto pause =
      std::min({session.change_delay * 2, options.max_change_delay,
                options.poll_wait - age});
  return std::max(pause, options.change_delay);
}

}  // namespace

std::optional<StoreCall> NextCall(StoreSession& session,
                                  common::TimePoint now) {
  if (session.in_flight || now < session.next_call) return std::nullopt;
  session.in_flight = true;
  session.call_sent = now;
  if (!session.synced) return ListCall{.after = session.list_after};
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - session.confirmed.value_or(now));
  session.call_wait =
      std::clamp(session.options.poll_wait - age,
                 session.options.shortest_poll_wait, session.options.poll_wait);
  return PollCall{.revision = session.revision, .wait = session.call_wait};
}

StoreUpdate OnListed(StoreSession& session, common::TimePoint now,
                     const ListResult& result) {
  StoreUpdate news;
  if (!EndCall(session, now, result.status, &news)) return news;
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
    news.changes.push_back({.item = it});
  }
  if (result.truncated && !result.items.empty()) {
    session.list_after = result.items.back().key;
    return news;
  }
  FinishList(session, &news);
  return news;
}

StoreUpdate OnChanges(StoreSession& session, common::TimePoint now,
                      const ChangesResult& result) {
  StoreUpdate news;
  if (!EndCall(session, now, result.status, &news)) {
    if (absl::IsOutOfRange(result.status)) StartList(session);
    return news;
  }
  // An empty answer comes at the end of the wait and says that nothing had
  // changed until then.
  const common::Duration waited = now - session.call_sent;
  const bool whole_wait = result.changes.empty() && waited >= session.call_wait;
  session.confirmed =
      session.call_sent +
      (whole_wait ? common::Duration(session.call_wait) : common::Duration(0));
  session.revision = std::max(session.revision, result.as_of);
  for (const ItemChange& it : result.changes) {
    if (it.removed) {
      session.revisions.erase(it.item.key);
    } else {
      session.revisions[it.item.key] = it.item.revision;
    }
  }
  session.change_delay = result.changes.empty() ? std::chrono::milliseconds(0)
                                                : NextChangePause(session, now);
  session.next_call = now + session.change_delay;
  news.changes = result.changes;
  return news;
}

std::optional<common::Duration> AgeOf(const StoreSession& session,
                                      common::TimePoint now) {
  if (!session.confirmed) return std::nullopt;
  return now - *session.confirmed;
}

}  // namespace shallotbeam::platform
