#ifndef SHALLOTBEAM_CORE_BALANCING_PLACEMENTSEARCH_H_
#define SHALLOTBEAM_CORE_BALANCING_PLACEMENTSEARCH_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "Balancing/PlacementCost.h"
#include "Balancing/PrefixHolders.h"
#include "Balancing/SchedulerViews.h"
#include "Common/Clock.h"
#include "Common/OfferDecision.h"
#include "Common/Prompt.h"
#include "Common/Types.h"

// Placement search: finds an engine that can start a request. The request is
// first offered to the scheduler of the engine that likely has its prompt
// cached, and to further schedulers if it would have to wait there. A scheduler
// replies to an offer with a start, which permits sending the request to its
// engine, or by queueing or declining the request. An over-share request is one
// beyond its workspace's fair share. This code only decides; it performs no
// I/O.
namespace shallotbeam::balancing {

enum class SearchId : std::uint64_t {};
// Unique in this process.
using OfferNumber = std::uint64_t;

// Order in which a request is offered to the candidates.
enum class PlacementOrder : std::uint8_t {
  kRanked,   // by wait, with a fixed penalty for each position
  kWeighed,  // by expected time to the first event
};

struct PlacementSearchOptions {
  PlacementOrder order = PlacementOrder::kRanked;
  CostOptions cost;  // of weighed candidates
  // An offer without a reply is repeated once after this time.
  common::Duration repeat_after = std::chrono::milliseconds(15);
  // A queued offer is repeated at this interval, in case the reply of the
  // scheduler that starts it was lost.
  common::Duration refresh_interval = std::chrono::milliseconds(500);
  // If a scheduler does not reply to an offer within this time, the offer is
  // withdrawn and the scheduler gets no offers until it is heard from again.
  common::Duration reply_timeout = std::chrono::milliseconds(60);
  // A scheduler that has sent no message for this long gets no offers.
  // Covers two reports to an idle gateway, of which one may be lost.
  common::Duration scheduler_timeout = std::chrono::milliseconds(2'600);
  // An engine further down the candidate list is preferred only if it starts
  // the request this much earlier for each position. It may have to fetch or
  // recompute a prefix that is cached elsewhere, which also evicts other
  // prefixes from its cache. Candidates are weighed without it once the prefill
  // time of an engine is known.
  common::Duration away_penalty = std::chrono::milliseconds(60);
  // A request that would wait longer than this is offered to further engines.
  common::Duration tolerated_wait = std::chrono::milliseconds(30);
  // Maximum number of offers of one request. Only this many responsive
  // candidates, from the front of the list, are considered, without those whose
  // stated limit of requests a second is used up.
  int max_offers = 2;
  // Overflow engines that are compared, from the front of their list. If all
  // gateways compared all of them, they would choose the same one.
  int max_overflow_engines = 8;
  // An overflow engine whose running streams the prompt would stall is asked
  // only if it runs at most this many requests.
  int max_stalled_requests = 6;
};

// Engines outside of the group that its prompt length gives a request. They are
// asked, one of each list, for requests within their workspace's fair share, so
// that no request is refused while another group has room.
struct OverflowEngines {
  // Asked as soon as the candidates would start the request late. The prompt is
  // not long for them.
  std::vector<common::UpstreamName> if_late;
  // Asked when all others have declined. The prompt stalls their streams.
  std::vector<common::UpstreamName> if_declined;
};

struct SearchRequest {
  SearchId id{};
  std::string request_id;  // for logs
  common::WorkspaceName workspace;
  common::Prompt prompt;
  int priority = 0;
  bool within_share = true;  // within its workspace's fair share
  // The first event of the response stream is on time until `target`. Its
  // deadline, after which it is useless to the caller, is
  // `first_event_deadline`.
  common::TimePoint target;
  common::TimePoint first_event_deadline;
  // Engines that may run the request; those that are more likely to have its
  // prompt cached come first.
  std::vector<common::UpstreamName> candidates;
  OverflowEngines overflow;
  // Preferred engine of the prompt's shared prefix, which most likely has it
  // cached, even if it is not a candidate. May be empty.
  common::UpstreamName preferred_engine;
};

struct Search {
  SearchRequest request;
  int offers_made = 0;
  std::vector<OfferNumber> open_offers;
  std::vector<common::UpstreamName> offered;
  CachedPrefixes cached;              // as stated in the replies so far
  common::Duration shortest_wait{0};  // over the declined offers
  bool any_declined = false;
  // Whether an engine of either overflow list was asked.
  bool overflowed_if_late = false;
  bool overflowed_if_declined = false;
};

struct OfferState {
  SearchId search{};
  bool first = false;  // first offer of its search
  common::UpstreamName upstream;
  common::TimePoint sent;
  common::TimePoint repeat_at;
  bool replied = false;
  common::Duration wait{0};  // as stated in the last reply
};

struct PlacementState {
  PlacementSearchOptions options;
  SchedulerViews schedulers;
  std::map<SearchId, Search> searches;
  std::map<OfferNumber, OfferState> offers;  // open offers of all searches
  OfferNumber last_number = 0;
  PrefixHolders holders;  // only known if candidates are weighed
  // Upstreams that state a limit of requests a second.
  std::unordered_set<common::UpstreamName> limited;
};

struct SendOffer {
  SearchId search{};
  common::UpstreamName upstream;
  OfferNumber number = 0;
  bool first = false;  // first offer of its search
  // Length of the prompt's prefix that the engine can fetch from another
  // engine's cache.
  int fetchable_tokens = 0;
};
// The offer is no longer needed, even if the reply was a start.
struct WithdrawOffer {
  common::UpstreamName upstream;
  OfferNumber number = 0;
};
struct StartAt {
  SearchId search{};
  common::UpstreamName upstream;
  OfferNumber number = 0;
  int cached_tokens = 0;
  // Engine that has a longer prefix of the prompt cached; empty if there is
  // none.
  common::UpstreamName cache_source;
  // Preferred engine of the shared prefix if it is another engine. Its
  // scheduler should be told of the start.
  common::UpstreamName preferred_engine;
  std::uint64_t prefix_key = 0;  // key of the prompt's shared prefix
};
// No responsive scheduler can start the request in time.
struct SearchRejected {
  SearchId search{};
  bool offered = true;  // the request was offered to at least one scheduler
  common::Duration shortest_wait{0};
};
// No scheduler is responsive.
struct NoReachableScheduler {
  SearchId search{};
};
using SearchAction = std::variant<SendOffer, WithdrawOffer, StartAt,
                                  SearchRejected, NoReachableScheduler>;
using SearchActions = std::vector<SearchAction>;

struct SearchReply {
  common::OfferDecision decision = common::OfferDecision::kDeclined;
  common::Duration wait{0};
  int cached_tokens = 0;
  // Another engine that processed the shared parts recently. May be empty.
  common::UpstreamName prefix_holder;
};

// Ends immediately without a start if the request is over its workspace's fair
// share and, according to the last load reports, no engine has room for
// over-share requests.
void BeginSearch(PlacementState& state, common::TimePoint now,
                 SearchRequest request, SearchActions* actions);
// Ends a search whose caller has disconnected or whose request was sent without
// a start.
void EndSearch(PlacementState& state, SearchId id, SearchActions* actions);
void OnReply(PlacementState& state, common::TimePoint now,
             const common::UpstreamName& upstream, OfferNumber number,
             const SearchReply& reply, SearchActions* actions);
// Handles a load report. If the scheduler has restarted as a new incarnation,
// it does not know earlier offers, so they are withdrawn and their searches
// continue.
void OnSchedulerLoad(PlacementState& state, common::TimePoint now,
                     const common::UpstreamName& upstream,
                     common::Incarnation incarnation, const EngineLoad& load,
                     SearchActions* actions);
// Handles an upstream that accepts no more work: its offers are withdrawn and
// their searches continue at other engines.
void OnUpstreamLeaving(PlacementState& state, common::TimePoint now,
                       const common::UpstreamName& upstream,
                       SearchActions* actions);
// Handles timeouts and repeats offers. Must be called every few tens of
// milliseconds.
void OnSearchTick(PlacementState& state, common::TimePoint now,
                  SearchActions* actions);

// Returns whether the scheduler has sent a message recently and no offer to it
// has timed out since.
bool IsResponsive(const PlacementState& state, common::TimePoint now,
                  const common::UpstreamName& upstream);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_PLACEMENTSEARCH_H_
