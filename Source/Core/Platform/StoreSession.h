#ifndef SHALLOTBEAM_CORE_PLATFORM_STORESESSION_H_
#define SHALLOTBEAM_CORE_PLATFORM_STORESESSION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Common/Clock.h"
#include "Platform/ItemStore.h"

// Keeps a copy of all items of the store, by a list and then long polls.
// Decisions only: the owner carries out the calls and reports their results.
namespace shallotbeam::platform {

struct StoreSessionOptions {
  // Longest wait of a poll; each poll is one priced call. The age of what is
  // known stays below this and the two pauses: a poll that follows one with
  // changes, which confirms nothing later than its sending, waits less.
  std::chrono::milliseconds poll_wait{3'200};
  std::chrono::milliseconds shortest_poll_wait{200};
  // Pause after a poll that brought changes, so that changes in quick
  // succession come with one poll; longer while each poll brings some, but not
  // so long that the copy becomes older than `poll_wait`. The longest one
  // delays a change, which must be in force within 2 s in most deployments.
  std::chrono::milliseconds change_delay{300};
  std::chrono::milliseconds max_change_delay{1'000};
  // Pause after a failed call, doubled up to the longest.
  std::chrono::milliseconds shortest_pause{100};
  std::chrono::milliseconds longest_pause{400};
};

struct ListCall {
  std::string after;  // key
};
struct PollCall {
  std::uint64_t revision = 0;
  std::chrono::milliseconds wait{0};
};
using StoreCall = std::variant<ListCall, PollCall>;

// What a result changes in the copy.
struct StoreUpdate {
  std::vector<ItemChange> changes;
  bool resynced = false;  // by a new list, so that changes may have been missed
  bool lost = false;      // the first call that failed
  bool regained = false;  // the first call that succeeded after failures
};

struct StoreSession {
  StoreSessionOptions options;
  std::unordered_map<std::string, std::uint64_t> revisions;  // of items by key
  // Listed so far, while listing.
  std::unordered_map<std::string, std::uint64_t> listed;
  bool synced = false;           // the list is complete
  std::string list_after;        // next page
  std::uint64_t list_as_of = 0;  // of the first page
  common::TimePoint list_sent;   // when it was asked for
  std::uint64_t revision = 0;    // changes up to here are known
  bool in_flight = false;
  bool reachable = false;
  common::TimePoint call_sent;
  std::chrono::milliseconds call_wait{0};  // of the poll in flight
  common::TimePoint next_call;
  std::chrono::milliseconds pause{0};
  std::chrono::milliseconds change_delay{0};  // after the last poll
  // The copy was complete and up to date at this time or later.
  std::optional<common::TimePoint> confirmed;
  std::optional<common::TimePoint> regained;  // end of the last outage
};

// The call to make now, if any.
std::optional<StoreCall> NextCall(StoreSession& session, common::TimePoint now);

StoreUpdate OnListed(StoreSession& session, common::TimePoint now,
                     const ListResult& result);
StoreUpdate OnChanges(StoreSession& session, common::TimePoint now,
                      const ChangesResult& result);

// How old the copy may be; nothing is known before the first list.
std::optional<common::Duration> AgeOf(const StoreSession& session,
                                      common::TimePoint now);

}  // namespace shallotbeam::platform

#endif  // SHALLOTBEAM_CORE_PLATFORM_STORESESSION_H_
