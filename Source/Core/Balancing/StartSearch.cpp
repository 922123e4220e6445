#include "Balancing/StartSearch.h"

#include <algorithm>
#include <utility>

namespace shallotbeam::balancing {

namespace {

// Returns the engine to offer the request to next, or null if none is left: the
// one with the shortest expected wait among the first `max_offers` responsive
// candidates, after a penalty for each position further down the list.
const common::UpstreamName* NextCandidate(const StartBook& book,
                                          common::TimePoint now,
                                          const Search& search) {
  const common::UpstreamName* best = nullptr;
  common::Duration best_wait{0};
  int position = 0;
  for (const common::UpstreamName& it : search.request.candidates) {
    if (!IsAnswering(book, now, it)) continue;
    if (position == book.options.max_offers) break;
    const common::Duration wait = book.schedulers.at(it).expected_wait +
                                  position * book.options.away_penalty;
    ++position;
    const bool offered = std::find(search.offered.begin(), search.offered.end(),
                                   it) != search.offered.end();
    if (offered || (best != nullptr && wait >= best_wait)) continue;
    best = &it;
    best_wait = wait;
  }
  return best;
}

// Returns the engine, other than `upstream`, with the longest cached prefix of
// the prompt. Until the home engine has replied, it is assumed to have all
// shared parts cached.
CachedPrefix BestCacheSource(const Search& search,
                             const common::UpstreamName& upstream) {
  const SearchRequest& request = search.request;
  CachedPrefix best;
  bool home_replied = false;
  for (const CachedPrefix& it : search.cached) {
    home_replied = home_replied || it.upstream == request.home;
    if (it.upstream != upstream && it.tokens > best.tokens) best = it;
  }
  const int shared = common::SharedTokens(request.prompt);
  const bool assume_home = !home_replied && !request.home.empty() &&
                           request.home != upstream && shared > best.tokens;
  return assume_home ? CachedPrefix{.upstream = request.home, .tokens = shared}
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

// Returns the shortest wait for a request beyond its workspace's fair share at
// the engines that it would be offered to, or nothing if none of their
// schedulers is responsive.
std::optional<common::Duration> MinOverShareWait(const StartBook& book,
                                                 common::TimePoint now,
                                                 const SearchRequest& request) {
  std::optional<common::Duration> shortest;
  int answering = 0;
  for (const common::UpstreamName& it : request.candidates) {
    if (!IsAnswering(book, now, it)) continue;
    const common::Duration wait = book.schedulers.at(it).surplus_wait;
    shortest = shortest ? std::min(*shortest, wait) : wait;
    if (++answering == book.options.max_offers) break;
  }
  return shortest;
}

void OfferNext(StartBook& book, common::TimePoint now, Search& search,
               SearchActions* actions) {
  if (search.offers_made >= book.options.max_offers) return;
  const common::UpstreamName* next = NextCandidate(book, now, search);
  if (next == nullptr) return;
  ++search.offers_made;
  search.offered.push_back(*next);
  const OfferNumber number = ++book.last_number;
  search.open_offers.push_back(number);
  const bool first = search.offers_made == 1;
  book.offers[number] = {.search = search.request.id,
                         .first = first,
                         .upstream = *next,
                         .sent = now,
                         .repeat_at = now + book.options.repeat_after};
  actions->push_back(
      MakeOffer{.search = search.request.id,
                .upstream = *next,
                .number = number,
                .first = first,
                .fetchable_tokens = BestCacheSource(search, *next).tokens});
}

// Ends the search without a start if it has no open offer.
void FinishIfNoOpenOffers(StartBook& book, SearchId id,
                          SearchActions* actions) {
  const auto it = book.searches.find(id);
  if (it == book.searches.end() || !it->second.open_offers.empty()) return;
  if (it->second.any_declined) {
    actions->push_back(
        NoStart{.search = id, .shortest_wait = it->second.shortest_wait});
  } else {
    actions->push_back(NoScheduler{.search = id});
  }
  book.searches.erase(it);
}

void RemoveOffer(StartBook& book, OfferNumber number) {
  const auto it = book.offers.find(number);
  if (it == book.offers.end()) return;
  const auto search = book.searches.find(it->second.search);
  if (search != book.searches.end()) {
    std::erase(search->second.open_offers, number);
  }
  book.offers.erase(it);
}

// Withdraws the offers that `should_abandon` selects and continues their
// searches at other engines.
template <typename Predicate>
void AbandonOffers(StartBook& book, common::TimePoint now,
                   SearchActions* actions, const Predicate& should_abandon) {
  std::vector<OfferNumber> abandoned;
  for (const auto& [number, it] : book.offers) {
    if (should_abandon(it)) abandoned.push_back(number);
  }
  for (const OfferNumber number : abandoned) {
    const OfferState offer = book.offers.at(number);
    actions->push_back(
        WithdrawOffer{.upstream = offer.upstream, .number = number});
    RemoveOffer(book, number);
    const auto search = book.searches.find(offer.search);
    if (search == book.searches.end()) continue;
    OfferNext(book, now, search->second, actions);
    FinishIfNoOpenOffers(book, offer.search, actions);
  }
}

}  // namespace

std::optional<double> TypicalReadingPace(const StartBook& book) {
  std::vector<double> paces;
  for (const auto& [upstream, it] : book.schedulers) {
    if (it.ns_per_token) paces.push_back(*it.ns_per_token);
  }
  if (paces.empty()) return std::nullopt;
  const auto middle =
      paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

bool IsAnswering(const StartBook& book, common::TimePoint now,
                 const common::UpstreamName& upstream) {
  const auto it = book.schedulers.find(upstream);
  return it != book.schedulers.end() && it->second.responsive &&
         now - it->second.last_heard <= book.options.scheduler_timeout;
}

void BeginSearch(StartBook& book, common::TimePoint now, SearchRequest request,
                 SearchActions* actions) {
  const SearchId id = request.id;
  if (!request.within_share) {
    const auto wait = MinOverShareWait(book, now, request);
    if (wait && now + *wait > request.patience) {
      actions->push_back(
          NoStart{.search = id, .offered = false, .shortest_wait = *wait});
      return;
    }
  }
  Search& search = book.searches[id];
  search.request = std::move(request);
  OfferNext(book, now, search, actions);
  FinishIfNoOpenOffers(book, id, actions);
}

void EndSearch(StartBook& book, SearchId id, SearchActions* actions) {
  const auto it = book.searches.find(id);
  if (it == book.searches.end()) return;
  for (const OfferNumber number : it->second.open_offers) {
    actions->push_back(WithdrawOffer{
        .upstream = book.offers.at(number).upstream, .number = number});
    book.offers.erase(number);
  }
  book.searches.erase(it);
}

void OnReply(StartBook& book, common::TimePoint now,
             const common::UpstreamName& upstream, OfferNumber number,
             const SearchReply& reply, SearchActions* actions) {
  SchedulerView& view = book.schedulers[upstream];
  view.last_heard = now;
  view.responsive = true;
  const auto offer = book.offers.find(number);
  if (offer == book.offers.end()) {
    // The request has started at another engine or its search has ended, so
    // this start is not used.
    if (reply.verdict == common::StartVerdict::kStart) {
      actions->push_back(WithdrawOffer{.upstream = upstream, .number = number});
    }
    return;
  }
  offer->second.replied = true;
  offer->second.repeat_at = now + book.options.refresh_interval;
  const SearchId id = offer->second.search;
  const auto found = book.searches.find(id);
  if (found == book.searches.end()) return;
  Search& search = found->second;
  RecordCachedTokens(search, upstream, reply.cached_tokens);
  if (!reply.cached_at.empty()) {
    RecordCachedTokens(search, reply.cached_at,
                       common::SharedTokens(search.request.prompt));
  }
  if (reply.verdict == common::StartVerdict::kStart) {
    const CachedPrefix source = BestCacheSource(search, upstream);
    const common::UpstreamName home = search.request.home;
    const std::uint64_t subject = common::SubjectOf(search.request.prompt);
    view.expected_wait = common::Duration(0);
    RemoveOffer(book, number);
    EndSearch(book, id, actions);
    actions->push_back(
        StartAt{.search = id,
                .upstream = upstream,
                .number = number,
                .cached_tokens = reply.cached_tokens,
                .cache_source = source.tokens > reply.cached_tokens
                                    ? source.upstream
                                    : common::UpstreamName(),
                .home = home == upstream ? common::UpstreamName() : home,
                .subject = subject});
    return;
  }
  (search.request.within_share ? view.expected_wait : view.surplus_wait) =
      reply.wait;
  if (reply.verdict == common::StartVerdict::kDeclined) {
    search.shortest_wait = search.any_declined
                               ? std::min(search.shortest_wait, reply.wait)
                               : reply.wait;
    search.any_declined = true;
    RemoveOffer(book, number);
    OfferNext(book, now, search, actions);
    return FinishIfNoOpenOffers(book, id, actions);
  }
  if (reply.wait > book.options.tolerated_wait) {
    OfferNext(book, now, search, actions);
  }
}

void OnSchedulerHeard(StartBook& book, common::TimePoint now,
                      const common::UpstreamName& upstream,
                      common::Incarnation incarnation, const EngineLoad& load,
                      SearchActions* actions) {
  SchedulerView& view = book.schedulers[upstream];
  const bool restarted = view.incarnation != common::Incarnation::kNone &&
                         view.incarnation != incarnation;
  view = {.last_heard = now,
          .responsive = true,
          .incarnation = incarnation,
          .expected_wait = load.expected_wait,
          .surplus_wait = load.surplus_wait,
          .ns_per_token = load.ns_per_token};
  if (!restarted) return;
  AbandonOffers(book, now, actions,
                [&](const OfferState& it) { return it.upstream == upstream; });
}

void OnUpstreamLeaving(StartBook& book, common::TimePoint now,
                       const common::UpstreamName& upstream,
                       SearchActions* actions) {
  for (auto& [id, it] : book.searches) {
    std::erase(it.request.candidates, upstream);
  }
  book.schedulers.erase(upstream);
  AbandonOffers(book, now, actions,
                [&](const OfferState& it) { return it.upstream == upstream; });
}

void OnSearchTick(StartBook& book, common::TimePoint now,
                  SearchActions* actions) {
  const auto unanswered = [&](const OfferState& it) {
    const bool overdue =
        !it.replied && now - it.sent > book.options.reply_timeout;
    if (overdue) book.schedulers[it.upstream].responsive = false;
    return overdue || !IsAnswering(book, now, it.upstream);
  };
  AbandonOffers(book, now, actions, unanswered);
  for (auto& [number, it] : book.offers) {
    if (now < it.repeat_at) continue;
    it.repeat_at = now + book.options.refresh_interval;
    const auto search = book.searches.find(it.search);
    if (search == book.searches.end()) continue;
    actions->push_back(
        MakeOffer{.search = it.search,
                  .upstream = it.upstream,
                  .number = number,
                  .first = it.first,
                  .fetchable_tokens =
                      BestCacheSource(search->second, it.upstream).tokens});
  }
}

}  // namespace shallotbeam::balancing
