#ifndef SHALLOTBEAM_CORE_BALANCING_STARTSEARCH_H_
#define SHALLOTBEAM_CORE_BALANCING_STARTSEARCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Common/Clock.h"
#include "Common/Prompt.h"
#include "Common/StartVerdict.h"
#include "Common/Types.h"

// Finds an engine that starts a request: offers it to the scheduler of the
// engine that caches its prompt, and to others if it would wait there.
// Decisions only.
namespace shallotbeam::balancing {

enum class SearchId : std::uint64_t {};
// Number of an offer, unique in this process.
using OfferNumber = std::uint64_t;

struct StartSearchOptions {
  // An offer without an answer is repeated once after this time.
  common::Duration repeat_after = std::chrono::milliseconds(15);
  // A queued offer is repeated this often, in case its start was lost.
  common::Duration refresh_interval = std::chrono::milliseconds(500);
  // A scheduler that does not answer an offer within this time is passed over.
  common::Duration reply_timeout = std::chrono::milliseconds(60);
  // A scheduler that was not heard from for this long gets no offers.
  common::Duration silence = std::chrono::milliseconds(1'600);
  // An engine further down the order is preferred only if it starts this much
  // earlier for each place; it may have to fetch or read what is cached
  // elsewhere, and its cache loses something else.
  common::Duration away_penalty = std::chrono::milliseconds(60);
  // A request that would wait longer is offered to further engines as well.
  common::Duration tolerated_wait = std::chrono::milliseconds(30);
  // The first of the candidates that answer get offers.
  int max_offers = 2;
};

// What is known of the scheduler of an upstream.
struct SchedulerView {
  common::TimePoint heard;  // last message from it
  bool known = false;
  common::Incarnation incarnation = common::Incarnation::kNone;
  common::Duration expected_wait{0};
  // The same for requests beyond their workspace's share.
  common::Duration surplus_wait{0};
  std::optional<double> ns_per_token;  // of reading
};

// Load of an engine as its scheduler reports it.
struct EngineLoad {
  common::Duration expected_wait{0};
  common::Duration surplus_wait{0};
  double ns_per_token = 0;  // of reading
};

struct SearchRequest {
  SearchId id{};
  std::string request_id;  // for logs
  common::WorkspaceName workspace;
  common::Prompt prompt;
  int rank = 0;
  bool within_share = true;    // of its workspace
  common::TimePoint target;    // the first event is on time until then
  common::TimePoint patience;  // and helps the caller until then
  // Engines that may run it, in the order in which they are likely to cache its
  // prompt.
  std::vector<common::UpstreamName> candidates;
  // The engine that most likely caches the shared parts of its prompt, even if
  // it is not a candidate; or empty.
  common::UpstreamName home;
};

// What a scheduler believes its engine has cached of a prompt.
struct CachedFront {
  common::UpstreamName upstream;
  int tokens = 0;
};

struct Search {
  SearchRequest request;
  int offers_made = 0;
  std::vector<OfferNumber> open;
  std::vector<common::UpstreamName> offered;
  std::vector<CachedFront> cached;    // by those that have replied
  common::Duration shortest_wait{0};  // of the declined
  bool any_declined = false;
};

struct OfferState {
  SearchId search{};
  bool first = false;  // of its search
  common::UpstreamName upstream;
  common::TimePoint sent;
  common::TimePoint repeat_at;
  bool replied = false;
};

struct StartBook {
  StartSearchOptions options;
  std::unordered_map<common::UpstreamName, SchedulerView> schedulers;
  std::map<SearchId, Search> searches;
  std::map<OfferNumber, OfferState> offers;  // of open searches
  OfferNumber last_number = 0;
};

struct MakeOffer {
  SearchId search{};
  common::UpstreamName upstream;
  OfferNumber number = 0;
  bool first = false;  // of its search
  // Tokens at the front of the prompt that the engine can fetch from another.
  int fetchable_tokens = 0;
};
// The offer is no longer needed, even if it was answered by a start.
struct WithdrawOffer {
  common::UpstreamName upstream;
  OfferNumber number = 0;
};
struct StartAt {
  SearchId search{};
  common::UpstreamName upstream;
  OfferNumber number = 0;
  int cached_tokens = 0;
  // Engine with more of the prompt in its cache; empty if there is none.
  common::UpstreamName cache_source;
  // Home of the prompt's subject, if it is another engine, whose scheduler
  // should know of the start.
  common::UpstreamName home;
  std::uint64_t subject = 0;
};
// No scheduler that answers would start it in time.
struct NoStart {
  SearchId search{};
  bool offered = true;  // to at least one
  common::Duration shortest_wait{0};
};
// No scheduler answers.
struct NoScheduler {
  SearchId search{};
};
using SearchAction =
    std::variant<MakeOffer, WithdrawOffer, StartAt, NoStart, NoScheduler>;
using SearchActions = std::vector<SearchAction>;

struct SearchReply {
  common::StartVerdict verdict = common::StartVerdict::kDeclined;
  common::Duration wait{0};
  int cached_tokens = 0;
  // Another engine that read the shared parts lately; or empty.
  common::UpstreamName cached_at;
};

// Ends at once without a start if the request is beyond its workspace's share
// and no engine had room for such requests when it was last heard.
void BeginSearch(StartBook& book, common::TimePoint now, SearchRequest request,
                 SearchActions* actions);
// The caller has left, or the request was sent without a start.
void EndSearch(StartBook& book, SearchId id, SearchActions* actions);
void OnReply(StartBook& book, common::TimePoint now,
             const common::UpstreamName& upstream, OfferNumber number,
             const SearchReply& reply, SearchActions* actions);
// A scheduler reports its load. A new incarnation knows no earlier offers.
void OnSchedulerHeard(StartBook& book, common::TimePoint now,
                      const common::UpstreamName& upstream,
                      common::Incarnation incarnation, const EngineLoad& load,
                      SearchActions* actions);
// An upstream takes no more work; its offers go elsewhere.
void OnUpstreamLeaving(StartBook& book, common::TimePoint now,
                       const common::UpstreamName& upstream,
                       SearchActions* actions);
// Called every few tens of milliseconds.
void OnSearchTick(StartBook& book, common::TimePoint now,
                  SearchActions* actions);

// Median time in which the known engines read a token; absent if none is known.
std::optional<double> TypicalReadingPace(const StartBook& book);

bool IsAnswering(const StartBook& book, common::TimePoint now,
                 const common::UpstreamName& upstream);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_STARTSEARCH_H_
