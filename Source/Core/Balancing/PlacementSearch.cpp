#include "Balancing/PlacementSearch.h"

#include <algorithm>
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

// Returns the engine to offer the request to next, or null if none is left: the
// one with the shortest expected wait among the first `max_offers` responsive
// candidates, after a penalty for each position further down the list.
const common::UpstreamName* NextCandidate(const PlacementState& state,
                                          common::TimePoint now,
                                          const Search& search) {
  const common::UpstreamName* best = nullptr;
  common::Duration best_wait{0};
  int position = 0;
  for (const common::UpstreamName& it : search.request.candidates) {
    if (!IsResponsive(state, now, it)) continue;
    if (position == state.options.max_offers) break;
    const common::Duration wait = state.schedulers.at(it).expected_wait +
                                  position * state.options.away_penalty;
    if (!IsUsedUp(state, it)) ++position;
    const bool offered = std::find(search.offered.begin(), search.offered.end(),
                                   it) != search.offered.end();
    if (offered || (best != nullptr && wait >= best_wait)) continue;
    best = &it;
    best_wait = wait;
  }
  return best;
}

// Returns the engine, other than `upstream`, with the longest cached prefix of
// the prompt. Until the preferred engine has replied, it is assumed to have all
// shared parts cached.
CachedPrefix BestCacheSource(const Search& search,
                             const common::UpstreamName& upstream) {
  const SearchRequest& request = search.request;
  CachedPrefix best;
  bool preferred_replied = false;
  for (const CachedPrefix& it : search.cached) {
    preferred_replied =
        preferred_replied || it.upstream == request.preferred_engine;
    if (it.upstream != upstream && it.tokens > best.tokens) best = it;
  }
  const int shared = common::SharedTokens(request.prompt);
  const bool assume_preferred =
      !preferred_replied && !request.preferred_engine.empty() &&
      request.preferred_engine != upstream && shared > best.tokens;
  return assume_preferred ? CachedPrefix{.upstream = request.preferred_engine,
                                         .tokens = shared}
                          : best;
}

void RecordCachedTokens(Search& search, const common::UpstreamName& upstream,
                        int tokens) {
  for (CachedPrefix& it : search.cached) {
    if (it.upstream != upstream) continue;
    it.tokens = tokens;
    return;
  }
  search.cached.push_back({.upstream = upstream, .tokens = tokens});
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

void OfferNext(PlacementState& state, common::TimePoint now, Search& search,
               SearchActions* actions) {
  if (search.offers_made >= state.options.max_offers) return;
  const common::UpstreamName* next = NextCandidate(state, now, search);
  if (next == nullptr) return;
  ++search.offers_made;
  search.offered.push_back(*next);
  const OfferNumber number = ++state.last_number;
  search.open_offers.push_back(number);
  const bool first = search.offers_made == 1;
  state.offers[number] = {.search = search.request.id,
                          .first = first,
                          .upstream = *next,
                          .sent = now,
                          .repeat_at = now + state.options.repeat_after};
  actions->push_back(
      SendOffer{.search = search.request.id,
                .upstream = *next,
                .number = number,
                .first = first,
                .fetchable_tokens = BestCacheSource(search, *next).tokens});
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

std::optional<double> MedianPrefillTime(const PlacementState& state) {
  std::vector<double> prefill_times;
  for (const auto& [upstream, it] : state.schedulers) {
    if (it.ns_per_token) prefill_times.push_back(*it.ns_per_token);
  }
  if (prefill_times.empty()) return std::nullopt;
  const auto middle = prefill_times.begin() +
                      static_cast<std::ptrdiff_t>(prefill_times.size() / 2);
  std::nth_element(prefill_times.begin(), middle, prefill_times.end());
  return *middle;
}

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
  RecordCachedTokens(search, upstream, reply.cached_tokens);
  if (!reply.prefix_holder.empty()) {
    RecordCachedTokens(search, reply.prefix_holder,
                       common::SharedTokens(search.request.prompt));
  }
  if (reply.decision == common::OfferDecision::kStart) {
    const CachedPrefix source = BestCacheSource(search, upstream);
    const common::UpstreamName preferred_engine =
        search.request.preferred_engine;
    const std::uint64_t prefix_key =
        common::SharedPrefixKey(search.request.prompt);
    view.expected_wait = common::Duration(0);
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
  if (reply.wait > state.options.tolerated_wait) {
    OfferNext(state, now, search, actions);
  }
}

void OnSchedulerLoad(PlacementState& state, common::TimePoint now,
                     const common::UpstreamName& upstream,
                     common::Incarnation incarnation, const EngineLoad& load,
                     SearchActions* actions) {
  SchedulerView& view = state.schedulers[upstream];
  const bool restarted = view.incarnation != common::Incarnation::kNone &&
                         view.incarnation != incarnation;
  view = {.last_heard = now,
          .responsive = true,
          .incarnation = incarnation,
          .expected_wait = load.expected_wait,
          .over_share_wait = load.over_share_wait,
          .ns_per_token = load.ns_per_token};
  if (!restarted) return;
  AbandonOffers(state, now, actions,
                [&](const OfferState& it) { return it.upstream == upstream; });
}

void OnUpstreamLeaving(PlacementState& state, common::TimePoint now,
                       const common::UpstreamName& upstream,
                       SearchActions* actions) {
  for (auto& [id, it] : state.searches) {
    std::erase(it.request.candidates, upstream);
  }
  state.schedulers.erase(upstream);
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
    actions->push_back(
        SendOffer{.search = it.search,
                  .upstream = it.upstream,
                  .number = number,
                  .first = it.first,
                  .fetchable_tokens =
                      BestCacheSource(search->second, it.upstream).tokens});
  }
}

}  // namespace shallotbeam::balancing
