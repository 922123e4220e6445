#include "Pacing/PermitSearch.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Common/Hash.h"
#include "Pacing/StartPacer.h"

namespace shallotbeam::pacing {

namespace {

// A lower count of gateways replaces a higher one after this time.
constexpr common::Duration kCountMemory = std::chrono::seconds(30);
// Shortest time for which a denial is remembered.
constexpr common::Duration kMinDenial = std::chrono::milliseconds(5);

double OwnPart(const PermitSearch& search) {
  const int gateways =
      search.gateways > 0 ? search.gateways : search.options.assumed_gateways;
  return kUnsupervisedPart / gateways;
}

// A gateway's own starts come in windows of its own, which is this part of the
// interval between them. A start that is not used in its window is lost:
// otherwise all gateways would have one when the last desk falls silent.
constexpr int kWindowsPerInterval = 32;

struct OwnWindow {
  common::Duration since_start{0};
  common::Duration until_next{0};
  bool open = false;
};

OwnWindow CurrentWindow(const PermitSearch& search, common::TimePoint now,
                        const common::UpstreamName& upstream,
                        double per_second) {
  const common::Duration interval = IntervalOf(per_second, OwnPart(search));
  const std::uint64_t hash =
      common::Hash64(search.options.gateway.value + " " + upstream.value);
  const double phase =
      static_cast<double>(hash) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const auto offset =
      std::chrono::duration_cast<common::Duration>(interval * phase);
  const common::Duration since_start =
      (now.time_since_epoch() + offset) % interval;
  return {.since_start = since_start,
          .until_next = interval - since_start,
          .open = since_start < interval / kWindowsPerInterval};
}

void Finish(PermitSearch& search, PermitId id) {
  const auto it = search.pending.find(id);
  if (it == search.pending.end()) return;
  search.open.erase(it->second.number);
  search.pending.erase(it);
}

// Ends a search after all desks were asked.
void Conclude(PermitSearch& search, common::TimePoint now, PermitId id,
              PermitActions* actions) {
  const PermitSearch::Pending pending = search.pending.at(id);
  Finish(search, id);
  const PermitRequest& request = pending.request;
  if (!pending.answered &&
      TakeOwnStart(search, now, request.upstream, request.per_second)) {
    actions->emplace_back(PermitGranted{.id = id});
    return;
  }
  const common::Duration wait =
      pending.answered
          ? pending.shortest_wait
          : CurrentWindow(search, now, request.upstream, request.per_second)
                .until_next;
  search.denied_until[request.upstream] = now + std::max(wait, kMinDenial);
  actions->emplace_back(PermitDenied{.id = id, .wait = wait});
}

void AskNext(PermitSearch& search, common::TimePoint now, PermitId id,
             PermitActions* actions) {
  PermitSearch::Pending& pending = search.pending.at(id);
  search.open.erase(pending.number);
  const std::vector<common::Endpoint>& desks = pending.request.desks;
  while (pending.asked < desks.size()) {
    // Searches begin at different desks.
    const std::size_t first = static_cast<std::size_t>(id) % desks.size();
    const common::Endpoint& desk =
        desks[(first + pending.asked++) % desks.size()];
    const auto silent = search.silent_until.find(desk);
    if (silent != search.silent_until.end() && now < silent->second) continue;
    pending.number = ++search.last_number;
    pending.sent = now;
    search.open[pending.number] = id;
    actions->emplace_back(AskDesk{.id = id,
                                  .desk = desk,
                                  .number = pending.number,
                                  .max_wait = pending.request.max_wait});
    return;
  }
  Conclude(search, now, id, actions);
}

}  // namespace

void BeginPermit(PermitSearch& search, common::TimePoint now,
                 PermitRequest request, PermitActions* actions) {
  const PermitId id = request.id;
  search.pending[id] = {.request = std::move(request)};
  AskNext(search, now, id, actions);
}

void CancelPermit(PermitSearch& search, PermitId id) { Finish(search, id); }

void OnPermitReply(PermitSearch& search, common::TimePoint now,
                   std::uint64_t number, bool granted, common::Duration wait,
                   PermitActions* actions) {
  const auto open = search.open.find(number);
  if (open == search.open.end()) return;
  const PermitId id = open->second;
  PermitSearch::Pending& pending = search.pending.at(id);
  if (granted) {
    search.open.erase(open);
    pending.starts = now + wait;
    if (wait > common::Duration(0)) return;
    Finish(search, id);
    actions->emplace_back(PermitGranted{.id = id});
    return;
  }
  pending.shortest_wait =
      pending.answered ? std::min(pending.shortest_wait, wait) : wait;
  pending.answered = true;
  AskNext(search, now, id, actions);
}

void OnPermitTick(PermitSearch& search, common::TimePoint now,
                  PermitActions* actions) {
  std::vector<PermitId> granted;
  std::vector<PermitId> unanswered;
  for (const auto& [id, it] : search.pending) {
    if (it.starts) {
      if (now >= *it.starts) granted.push_back(id);
    } else if (now - it.sent > search.options.reply_timeout) {
      unanswered.push_back(id);
    }
  }
  for (const PermitId id : granted) {
    Finish(search, id);
    actions->emplace_back(PermitGranted{.id = id});
  }
  for (const PermitId id : unanswered) {
    const PermitSearch::Pending& it = search.pending.at(id);
    const std::vector<common::Endpoint>& desks = it.request.desks;
    const std::size_t last =
        (static_cast<std::size_t>(id) + it.asked - 1) % desks.size();
    search.silent_until[desks[last]] = now + search.options.silence;
    AskNext(search, now, id, actions);
  }
}

bool IsDenied(const PermitSearch& search, common::TimePoint now,
              const common::UpstreamName& upstream) {
  const auto it = search.denied_until.find(upstream);
  return it != search.denied_until.end() && now < it->second;
}

bool HasOwnStart(const PermitSearch& search, common::TimePoint now,
                 const common::UpstreamName& upstream, double per_second) {
  const OwnWindow window = CurrentWindow(search, now, upstream, per_second);
  const auto last = search.own_starts.find(upstream);
  const bool used = last != search.own_starts.end() &&
                    last->second >= now - window.since_start;
  return window.open && !used;
}

bool TakeOwnStart(PermitSearch& search, common::TimePoint now,
                  const common::UpstreamName& upstream, double per_second) {
  if (!HasOwnStart(search, now, upstream, per_second)) return false;
  search.own_starts[upstream] = now;
  return true;
}

void SetGatewayCount(PermitSearch& search, common::TimePoint now,
                     int gateways) {
  const bool outdated = now - search.gateways_counted > kCountMemory;
  if (gateways <= 0 || (gateways < search.gateways && !outdated)) return;
  search.gateways = gateways;
  search.gateways_counted = now;
}

void ForgetUpstream(PermitSearch& search,
                    const common::UpstreamName& upstream) {
  search.denied_until.erase(upstream);
  search.own_starts.erase(upstream);
}

}  // namespace shallotbeam::pacing
