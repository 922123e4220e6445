#include "Balancing/PlacementSearch.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace shallotbeam::balancing {

namespace {

// Whether the engine states a limit of requests a second that is used up for
// now.
bool IsUsedUp(const PlacementState& state,
              const common::UpstreamName& upstream) {
  return state.limited.count(upstream) != 0 &&
         state.schedulers.at(upstream).expected_wait >
             state.options.tolerated_wait;
}

// Returns the engine, other than `upstream`, to fetch the shared parts from. If
// candidates are weighed, it is not one that may have crashed.
CachedPrefix BestCacheSource(const PlacementState& state, common::TimePoint now,
                             const Search& search,
                             const common::UpstreamName& upstream) {
  const SearchRequest& request = search.request;
  const int shared = common::SharedTokens(request.prompt);
  CachedPrefix best = BestCacheSource(search.cached, request.preferred_engine,
                                      shared, upstream);
  if (state.options.order == PlacementOrder::kRanked ||
      IsResponsive(state, now, best.upstream)) {
    return best;
  }
  const std::uint64_t key = common::SharedPrefixKey(request.prompt);
  for (const auto& it : RecentHolders(state.holders, now, key)) {
    if (it != upstream && IsResponsive(state, now, it)) {
      return {.upstream = it, .tokens = shared};
    }
  }
  return {};
}

// What the engine has cached of the prompt's shared parts, as stated in its
// reply or else as expected.
int HeldTokens(const PlacementState& state, common::TimePoint now,
               const Search& search, const common::UpstreamName& upstream) {
  const CachedPrefix* stated = FindCached(search.cached, upstream);
  if (stated != nullptr) return stated->tokens;
  const SearchRequest& request = search.request;
  const bool held = upstream == request.preferred_engine ||
                    IsHolder(state.holders, now,
                             common::SharedPrefixKey(request.prompt), upstream);
  return held ? common::SharedTokens(request.prompt) : 0;
}

bool WasOffered(const Search& search, const common::UpstreamName& upstream) {
  return std::find(search.offered.begin(), search.offered.end(), upstream) !=
         search.offered.end();
}

// Returns the engine to offer the request to next, or null if none is left. It
// is one of the first `max_offers` responsive candidates.
const common::UpstreamName* NextCandidate(const PlacementState& state,
                                          common::TimePoint now,
                                          const Search& search) {
  const bool is_weighed = state.options.order == PlacementOrder::kWeighed;
  const double median_ns =
      is_weighed ? MedianPrefillTime(state.schedulers).value_or(0) : 0;
  std::vector<const common::UpstreamName*> names;
  std::vector<CandidateFigures> figures;
  int position = 0;
  for (const common::UpstreamName& it : search.request.candidates) {
    if (!IsResponsive(state, now, it)) continue;
    if (position == state.options.max_offers) break;
    const SchedulerView& view = state.schedulers.at(it);
    const int own_position = IsUsedUp(state, it) ? position : position++;
    if (WasOffered(search, it)) continue;
    names.push_back(&it);
    figures.push_back({.wait = view.expected_wait,
                       .ns_per_token = view.ns_per_token,
                       .position = own_position});
    if (median_ns <= 0) continue;
    figures.back().held_tokens = HeldTokens(state, now, search, it);
    figures.back().fetchable_tokens =
        BestCacheSource(state, now, search, it).tokens;
  }
  const common::Prompt& prompt = search.request.prompt;
  const auto chosen =
      median_ns > 0
          ? LeastExpectedTime(state.options.cost,
                              {.tokens = prompt.prompt_tokens,
                               .shared_tokens = common::SharedTokens(prompt)},
                              figures, median_ns)
          : ShortestPenalisedWait(figures, state.options.away_penalty);
  return chosen ? names[*chosen] : nullptr;
}

// Returns the shortest wait for an over-share request at the engines that it
// would be offered to, or nothing if none of their schedulers is responsive.
std::optional<common::Duration> MinOverShareWait(const PlacementState& state,
                                                 common::TimePoint now,
                                                 const SearchRequest& request) {
  std::optional<common::Duration> shortest;
  int considered = 0;
  for (const common::UpstreamName& it : request.candidates) {
    if (!IsResponsive(state, now, it)) continue;
    const common::Duration wait = state.schedulers.at(it).over_share_wait;
    shortest = shortest ? std::min(*shortest, wait) : wait;
    if (IsUsedUp(state, it)) continue;
    if (++considered == state.options.max_offers) break;
  }
  return shortest;
}

void OfferTo(PlacementState& state, common::TimePoint now, Search& search,
             const common::UpstreamName& upstream, SearchActions* actions) {
  ++search.offers_made;
  search.offered.push_back(upstream);
  const OfferNumber number = ++state.last_number;
  search.open_offers.push_back(number);
  const bool first = search.offers_made == 1;
  state.offers[number] = {.search = search.request.id,
                          .first = first,
                          .upstream = upstream,
                          .sent = now,
                          .repeat_at = now + state.options.repeat_after};
  actions->push_back(
      SendOffer{.search = search.request.id,
                .upstream = upstream,
                .number = number,
                .first = first,
                .fetchable_tokens =
                    BestCacheSource(state, now, search, upstream).tokens});
}

// Offers the request to one of `engines` that runs at most `max_running`
// requests, if there is one.
void OfferOverflow(PlacementState& state, common::TimePoint now, Search& search,
                   const std::vector<common::UpstreamName>& engines,
                   int max_running, SearchActions* actions) {
  std::vector<const common::UpstreamName*> names;
  std::vector<OverflowFigures> figures;
  for (const common::UpstreamName& it : engines) {
    const auto full =
        static_cast<std::size_t>(state.options.max_overflow_engines);
    if (names.size() == full) break;
    if (!IsResponsive(state, now, it) || IsUsedUp(state, it)) continue;
    const SchedulerView& view = state.schedulers.at(it);
    if (!view.ns_per_token || view.running > max_running) continue;
    if (WasOffered(search, it)) continue;
    names.push_back(&it);
    figures.push_back({.wait = view.expected_wait,
                       .ns_per_token = *view.ns_per_token,
                       .running = view.running});
  }
  const common::Prompt& prompt = search.request.prompt;
  const auto chosen = LeastTotalDelay(
      figures, prompt.prompt_tokens - common::SharedTokens(prompt));
  if (chosen) OfferTo(state, now, search, *names[*chosen], actions);
}

// Whether no scheduler that was asked will start the request on time, as far as
// their replies tell.
bool IsExpectedLate(const PlacementState& state, common::TimePoint now,
                    const Search& search) {
  // Without any reply, there is no scheduler to rely on.
  if (search.open_offers.empty()) return search.any_declined;
  return std::all_of(search.open_offers.begin(), search.open_offers.end(),
                     [&](OfferNumber number) {
                       const OfferState& it = state.offers.at(number);
                       return it.replied &&
                              now + it.wait > search.request.target;
                     });
}

void OfferNext(PlacementState& state, common::TimePoint now, Search& search,
               SearchActions* actions) {
  if (search.offers_made < state.options.max_offers) {
    const common::UpstreamName* next = NextCandidate(state, now, search);
    if (next != nullptr) return OfferTo(state, now, search, *next, actions);
  }
  if (!search.request.within_share) return;
  if (!search.overflowed_if_late && IsExpectedLate(state, now, search)) {
    search.overflowed_if_late = true;
    OfferOverflow(state, now, search, search.request.overflow.if_late,
                  std::numeric_limits<int>::max(), actions);
  }
  if (!search.overflowed_if_declined && search.open_offers.empty() &&
      search.any_declined) {
    search.overflowed_if_declined = true;
    OfferOverflow(state, now, search, search.request.overflow.if_declined,
                  state.options.max_stalled_requests, actions);
  }
}

// Ends the search without a start if it has no open offer.
void FinishIfNoOpenOffers(PlacementState& state, SearchId id,
                          SearchActions* actions) {
  const auto it = state.searches.find(id);
  if (it == state.searches.end() || !it->second.open_offers.empty()) return;
  if (it->second.any_declined) {
    actions->push_back(SearchRejected{
        .search = id, .shortest_wait = it->second.shortest_wait});
  } else {
    actions->push_back(NoReachableScheduler{.search = id});
  }
  state.searches.erase(it);
}

void RemoveOffer(PlacementState& state, OfferNumber number) {
  const auto it = state.offers.find(number);
  if (it == state.offers.end()) return;
  const auto search = state.searches.find(it->second.search);
  if (search != state.searches.end()) {
    std::erase(search->second.open_offers, number);
  }
  state.offers.erase(it);
}

// Withdraws the offers that `should_abandon` selects and continues their
// searches at other engines.
template <typename Predicate>
void AbandonOffers(PlacementState& state, common::TimePoint now,
                   SearchActions* actions, const Predicate& should_abandon) {
  std::vector<OfferNumber> abandoned;
  for (const auto& [number, it] : state.offers) {
    if (should_abandon(it)) abandoned.push_back(number);
  }
  for (const OfferNumber number : abandoned) {
    const OfferState offer = state.offers.at(number);
    actions->push_back(
        WithdrawOffer{.upstream = offer.upstream, .number = number});
    RemoveOffer(state, number);
    const auto search = state.searches.find(offer.search);
    if (search == state.searches.end()) continue;
    OfferNext(state, now, search->second, actions);
    FinishIfNoOpenOffers(state, offer.search, actions);
  }
}

}  // namespace

bool IsResponsive(const PlacementState& state, common::TimePoint now,
                  const common::UpstreamName& upstream) {
  const auto it = state.schedulers.find(upstream);
  return it != state.schedulers.end() && it->second.responsive &&
         now - it->second.last_heard <= state.options.scheduler_timeout;
}

void BeginSearch(PlacementState& state, common::TimePoint now,
                 SearchRequest request, SearchActions* actions) {
  const SearchId id = request.id;
  if (!request.within_share) {
    const auto wait = MinOverShareWait(state, now, request);
    if (wait && now + *wait > request.first_event_deadline) {
      actions->push_back(SearchRejected{
          .search = id, .offered = false, .shortest_wait = *wait});
      return;
    }
  }
  Search& search = state.searches[id];
  search.request = std::move(request);
  OfferNext(state, now, search, actions);
  FinishIfNoOpenOffers(state, id, actions);
}

void EndSearch(PlacementState& state, SearchId id, SearchActions* actions) {
  const auto it = state.searches.find(id);
  if (it == state.searches.end()) return;
  for (const OfferNumber number : it->second.open_offers) {
    actions->push_back(WithdrawOffer{
        .upstream = state.offers.at(number).upstream, .number = number});
    state.offers.erase(number);
  }
  state.searches.erase(it);
}

void OnReply(PlacementState& state, common::TimePoint now,
             const common::UpstreamName& upstream, OfferNumber number,
             const SearchReply& reply, SearchActions* actions) {
  SchedulerView& view = state.schedulers[upstream];
  view.last_heard = now;
  view.responsive = true;
  const auto offer = state.offers.find(number);
  if (offer == state.offers.end()) {
    // The request has started at another engine or its search has ended, so
    // this start is not used.
    if (reply.decision == common::OfferDecision::kStart) {
      actions->push_back(WithdrawOffer{.upstream = upstream, .number = number});
    }
    return;
  }
  offer->second.replied = true;
  offer->second.repeat_at = now + state.options.refresh_interval;
  const SearchId id = offer->second.search;
  const auto found = state.searches.find(id);
  if (found == state.searches.end()) return;
  Search& search = found->second;
  RecordCachedTokens(search.cached, upstream, reply.cached_tokens);
  if (!reply.prefix_holder.empty()) {
    RecordCachedTokens(search.cached, reply.prefix_holder,
                       common::SharedTokens(search.request.prompt));
  }
  if (reply.decision == common::OfferDecision::kStart) {
    const CachedPrefix source = BestCacheSource(state, now, search, upstream);
    const common::UpstreamName preferred_engine =
        search.request.preferred_engine;
    const std::uint64_t prefix_key =
        common::SharedPrefixKey(search.request.prompt);
    view.expected_wait = common::Duration(0);
    if (state.options.order == PlacementOrder::kWeighed) {
      RecordSent(state.holders, now, prefix_key, upstream);
    }
    RemoveOffer(state, number);
    EndSearch(state, id, actions);
    actions->push_back(
        StartAt{.search = id,
                .upstream = upstream,
                .number = number,
                .cached_tokens = reply.cached_tokens,
                .cache_source = source.tokens > reply.cached_tokens
                                    ? source.upstream
                                    : common::UpstreamName(),
                .preferred_engine = preferred_engine == upstream
                                        ? common::UpstreamName()
                                        : preferred_engine,
                .prefix_key = prefix_key});
    return;
  }
  (search.request.within_share ? view.expected_wait : view.over_share_wait) =
      reply.wait;
  if (reply.decision == common::OfferDecision::kDeclined) {
    search.shortest_wait = search.any_declined
                               ? std::min(search.shortest_wait, reply.wait)
                               : reply.wait;
    search.any_declined = true;
    RemoveOffer(state, number);
    OfferNext(state, now, search, actions);
    return FinishIfNoOpenOffers(state, id, actions);
  }
  offer->second.wait = reply.wait;
  if (reply.wait > state.options.tolerated_wait) {
    OfferNext(state, now, search, actions);
  }
}

void OnSchedulerLoad(PlacementState& state, common::TimePoint now,
                     const common::UpstreamName& upstream,
                     common::Incarnation incarnation, const EngineLoad& load,
                     SearchActions* actions) {
  if (!RecordLoad(state.schedulers[upstream], now, incarnation, load)) return;
  ForgetHolder(state.holders, upstream);
  AbandonOffers(state, now, actions,
                [&](const OfferState& it) { return it.upstream == upstream; });
}

void OnUpstreamLeaving(PlacementState& state, common::TimePoint now,
                       const common::UpstreamName& upstream,
                       SearchActions* actions) {
  for (auto& [id, it] : state.searches) {
    std::erase(it.request.candidates, upstream);
    std::erase(it.request.overflow.if_late, upstream);
    std::erase(it.request.overflow.if_declined, upstream);
  }
  state.schedulers.erase(upstream);
  ForgetHolder(state.holders, upstream);
  AbandonOffers(state, now, actions,
                [&](const OfferState& it) { return it.upstream == upstream; });
}

void OnSearchTick(PlacementState& state, common::TimePoint now,
                  SearchActions* actions) {
  const auto unanswered = [&](const OfferState& it) {
    const bool overdue =
        !it.replied && now - it.sent > state.options.reply_timeout;
    if (overdue) state.schedulers[it.upstream].responsive = false;
    return overdue || !IsResponsive(state, now, it.upstream);
  };
  AbandonOffers(state, now, actions, unanswered);
  for (auto& [number, it] : state.offers) {
    if (now < it.repeat_at) continue;
    it.repeat_at = now + state.options.refresh_interval;
    const auto search = state.searches.find(it.search);
    if (search == state.searches.end()) continue;
    actions->push_back(SendOffer{
        .search = it.search,
        .upstream = it.upstream,
        .number = number,
        .first = it.first,
        .fetchable_tokens =
            BestCacheSource(state, now, search->second, it.upstream).tokens});
  }
}

}  // namespace shallotbeam::balancing
