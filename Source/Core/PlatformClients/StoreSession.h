#ifndef SHALLOTBEAM_CORE_PLATFORMCLIENTS_STORESESSION_H_
#define SHALLOTBEAM_CORE_PLATFORMCLIENTS_STORESESSION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Common/Clock.h"
#include "PlatformClients/ItemStore.h"

// Keeps a local copy of all items of the store: lists them once, then follows
// changes by long polling. Lists them again if the store no longer has the
// changes in between, or was restored from an older copy. A state machine
// without I/O: the owner makes the calls and reports their results.
namespace shallotbeam::platform_clients {

struct StoreSessionOptions {
  // Longest wait of a poll; the platform charges for each poll. A poll whose
  // response never comes is noticed after this time and the time-out of the
  // call. The age of the copy stays below the sum of poll_wait, change_delay
  // and min_poll_wait: a poll with changes confirms the copy only up to the
  // time at which the poll was sent, so that the next poll waits for a shorter
  // time.
  std::chrono::milliseconds poll_wait{3'200};
  std::chrono::milliseconds min_poll_wait{200};
  // Delay after a poll that returned changes, so that one poll collects changes
  // in quick succession. The delay doubles while every poll returns changes,
  // but not beyond the point at which the copy would be older than `poll_wait`.
  // A change may come into force later by up to `max_change_delay`. That delay
  // is short because most deployments require that a change is in force within
  // 2 s.
  std::chrono::milliseconds change_delay{300};
  std::chrono::milliseconds max_change_delay{1'000};
  // Delay after a failed call; doubles with each failure up to the maximum.
  std::chrono::milliseconds min_retry_delay{100};
  std::chrono::milliseconds max_retry_delay{400};
};

struct ListCall {
  std::string after;  // list items whose keys sort after this one
};
struct PollCall {
  common::StorePosition position;
  std::chrono::milliseconds wait{0};
};
using StoreCall = std::variant<ListCall, PollCall>;

// Changes of the copy and of the connection that follow from one result.
struct StoreUpdate {
  std::vector<ItemChange> changes;
  // A list was completed; intermediate changes may have been missed.
  bool resynced = false;
  bool disconnected = false;  // the first failure after a success
  bool reconnected =
      false;  // the first success after failures, or of all calls
  // The store was restored from an older copy; it is listed anew.
  bool restored = false;
};

struct StoreSession {
  StoreSessionOptions options;
  // Positions of the items in the copy, by key.
  std::unordered_map<std::string, common::StorePosition> positions;
  // Positions of the items on the pages of an unfinished list, by key.
  std::unordered_map<std::string, common::StorePosition> listed;
  bool synced = false;               // the list is complete
  std::string list_after;            // last key of the previous page
  common::StorePosition list_as_of;  // of the first page
  common::TimePoint list_sent;       // when the first page was requested
  // The copy has all changes up to this position.
  common::StorePosition position;
  std::uint64_t era = 0;  // latest era that the store has stated
  bool in_flight = false;
  bool reachable = false;
  common::TimePoint call_sent;
  std::chrono::milliseconds call_wait{0};  // wait of the poll in flight
  common::TimePoint next_call;
  std::chrono::milliseconds retry_delay{0};   // after the last failed call
  std::chrono::milliseconds change_delay{0};  // after the last poll
  // Latest time at which the copy is known to have been complete and current.
  std::optional<common::TimePoint> confirmed_at;
  // End of the last outage, or the time at which a restored store was noticed.
  std::optional<common::TimePoint> reconnected;
};

// Returns the call to make now, if any.
std::optional<StoreCall> NextCall(StoreSession& session, common::TimePoint now);

StoreUpdate OnListed(StoreSession& session, common::TimePoint now,
                     const ListResult& result);
StoreUpdate OnChanges(StoreSession& session, common::TimePoint now,
                      const ChangesResult& result);

// Returns an upper bound on the age of the copy; none before the first list is
// complete.
std::optional<common::Duration> AgeOf(const StoreSession& session,
                                      common::TimePoint now);

}  // namespace shallotbeam::platform_clients

#endif  // SHALLOTBEAM_CORE_PLATFORMCLIENTS_STORESESSION_H_
