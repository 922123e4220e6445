#include "Scheduling/EngineScheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace shallotbeam::scheduling {

namespace {

using Waiting = EngineScheduler::Waiting;

// Reading that surplus requests wait for at most.
constexpr common::Duration kLongestSurplusBacklog =
    std::chrono::milliseconds(500);

// Requests that run have taken half of the memory that they will need, on
// average.
constexpr double kMeanProgress = 0.5;
// Longer intervals between ends of requests say nothing of the engine's rate.
constexpr common::Duration kLongestEndInterval = std::chrono::seconds(1);

// Tokens that the engine has to read.
int Uncached(const EngineScheduler& scheduler, const Offer& offer) {
  const int cached = std::max(scheduler.cache.CachedTokens(offer.prompt),
                              offer.fetchable_tokens);
  return std::max(offer.prompt.prompt_tokens - cached, 1);
}

bool IsLate(const Waiting& it, common::TimePoint now) {
  return now - it.arrived > it.offer.target_left;
}

// Smaller starts earlier: the urgent first, then requests within the share of
// their workspace, then those that can still be on time, then workspaces that
// had less service, then the earlier target.
auto OrderOf(const Waiting& it, common::TimePoint now) {
  return std::make_tuple(it.offer.rank, !it.offer.within_share, IsLate(it, now),
                         it.offer.served, it.arrived + it.offer.target_left);
}

double MemoryInUse(const EngineScheduler& scheduler) {
  double tokens = 0;
  for (const auto& [id, it] : scheduler.running) {
    tokens += it.uncached + it.prompt.expected_output_tokens;
  }
  if (scheduler.report) {
    tokens = std::max(tokens, scheduler.report->memory_used);
  }
  return tokens;
}

// Slots that requests like this one may fill.
int SlotLimit(const EngineScheduler& scheduler, const Offer& offer) {
  if (offer.within_share) return scheduler.spec.slots;
  return static_cast<int>(scheduler.spec.slots *
                          scheduler.options.surplus_slot_share);
}

// Time until what is being read leaves room for a request like this one; below
// zero if there is room.
common::Duration ReadingWait(const EngineScheduler& scheduler,
                             common::TimePoint now, const Offer& offer) {
  const EngineSchedulerOptions& options = scheduler.options;
  common::TimePoint until =
      std::max(scheduler.read_until - options.reading_ahead,
               scheduler.paced_until - options.paced_ahead);
  if (!offer.within_share) {
    until = std::max(
        {until, scheduler.read_until - options.surplus_reading_ahead,
         scheduler.surplus_paced_until - options.surplus_reading_ahead});
  }
  return until - now;
}

bool HasRoom(const EngineScheduler& scheduler, common::TimePoint now,
             const Offer& offer) {
  if (scheduler.spec.slots > 0 &&
      Occupied(scheduler) >= SlotLimit(scheduler, offer)) {
    return false;
  }
  if (ReadingWait(scheduler, now, offer) > common::Duration(0)) return false;
  if (scheduler.spec.memory_tokens <= 0 || scheduler.running.empty()) {
    return true;
  }
  const double needed =
      Uncached(scheduler, offer) +
      static_cast<double>(offer.prompt.expected_output_tokens);
  return MemoryInUse(scheduler) + needed <=
         scheduler.spec.memory_tokens * scheduler.options.memory_share;
}

// Time over which reading is spread if it may take `share` of the time.
common::Duration Paced(common::Duration reading, double share) {
  return std::chrono::duration_cast<common::Duration>(reading / share);
}

OfferReply ReplyTo(const EngineScheduler& scheduler, common::TimePoint now,
                   const Offer& offer, common::StartVerdict verdict) {
  OfferReply reply{.id = offer.id,
                   .request_id = offer.request_id,
                   .verdict = verdict,
                   .cached_tokens = scheduler.cache.CachedTokens(offer.prompt)};
  if (reply.cached_tokens < common::SharedTokens(offer.prompt)) {
    reply.cached_at =
        HolderOf(scheduler.directory, now, common::SubjectOf(offer.prompt));
  }
  return reply;
}

void Start(EngineScheduler& scheduler, common::TimePoint now,
           const Offer& offer, Replies* replies) {
  const int uncached = Uncached(scheduler, offer);
  replies->push_back(
      ReplyTo(scheduler, now, offer, common::StartVerdict::kStart));
  const common::Duration reading = ReadingTime(scheduler.pace, uncached);
  scheduler.read_until = std::max(scheduler.read_until, now) + reading;
  scheduler.paced_until = std::max(scheduler.paced_until, now) +
                          Paced(reading, scheduler.reading_share.share);
  // Bounded, because requests within shares add to it without waiting for it.
  scheduler.surplus_paced_until =
      std::min(std::max(scheduler.surplus_paced_until, now) +
                   Paced(reading, scheduler.options.surplus_reading_share),
               now + kLongestSurplusBacklog);
  scheduler.cache.Use(offer.prompt);
  if (scheduler.spec.memory_tokens > 0) {
    scheduler.cache.Shrink(scheduler.spec.memory_tokens -
                           MemoryInUse(scheduler) * kMeanProgress);
  }
  scheduler.service[offer.workspace].served +=
      common::ServiceTokens(offer.prompt);
  scheduler.running[offer.id] = {.request_id = offer.request_id,
                                 .prompt = offer.prompt,
                                 .sent = now,
                                 .uncached = uncached};
}

// Starts what fits, the first in order first.
void StartWaiting(EngineScheduler& scheduler, common::TimePoint now,
                  Replies* replies) {
  auto& waiting = scheduler.waiting;
  while (!waiting.empty()) {
    const auto first =
        std::min_element(waiting.begin(), waiting.end(),
                         [&](const Waiting& a, const Waiting& b) {
                           return OrderOf(a, now) < OrderOf(b, now);
                         });
    if (!HasRoom(scheduler, now, first->offer)) return;
    const Offer offer = std::move(first->offer);
    waiting.erase(first);
    Start(scheduler, now, offer, replies);
  }
}

// Expected time until a request like `offer` starts behind `ahead` others with
// `tokens` to read.
common::Duration WaitBehind(const EngineScheduler& scheduler,
                            common::TimePoint now, const Offer& offer,
                            int ahead, double tokens) {
  const double share = offer.within_share
                           ? scheduler.reading_share.share
                           : std::min(scheduler.reading_share.share,
                                      scheduler.options.surplus_reading_share);
  const common::Duration reading =
      Paced(ReadingTime(scheduler.pace, tokens), share);
  common::Duration wait = std::max(ReadingWait(scheduler, now, offer) + reading,
                                   common::Duration(0));
  const int free = SlotLimit(scheduler, offer) - Occupied(scheduler);
  if (scheduler.spec.slots > 0 && ahead >= free) {
    wait = std::max(wait, scheduler.end_interval * (ahead - free + 1));
  }
  return wait;
}

common::Duration WaitOf(const EngineScheduler& scheduler, common::TimePoint now,
                        const Waiting& waiting) {
  const auto order = OrderOf(waiting, now);
  int ahead = 0;
  double tokens = 0;
  for (const Waiting& it : scheduler.waiting) {
    if (it.offer.id == waiting.offer.id) continue;
    if (OrderOf(it, now) > order) continue;
    ++ahead;
    tokens += Uncached(scheduler, it.offer);
  }
  return WaitBehind(scheduler, now, waiting.offer, ahead, tokens);
}

// Time to the first event of a request that starts after `wait`.
common::Duration TimeToFirstEvent(const EngineScheduler& scheduler,
                                  const Offer& offer, common::Duration wait) {
  return wait + BaseTime(scheduler.pace) +
         ReadingTime(scheduler.pace, Uncached(scheduler, offer));
}

// Declines what no longer starts while that helps its caller.
void DeclineHopeless(EngineScheduler& scheduler, common::TimePoint now,
                     Replies* replies) {
  std::erase_if(scheduler.waiting, [&](const Waiting& it) {
    const common::Duration wait = WaitOf(scheduler, now, it);
    const common::Duration left = it.offer.patience - (now - it.arrived);
    if (TimeToFirstEvent(scheduler, it.offer, wait) <= left) {
      return false;
    }
    replies->push_back(
        ReplyTo(scheduler, now, it.offer, common::StartVerdict::kDeclined));
    replies->back().wait = wait;
    return true;
  });
}

void ReplyQueued(const EngineScheduler& scheduler, common::TimePoint now,
                 OfferId id, bool repeated, Replies* replies) {
  const auto it =
      std::find_if(scheduler.waiting.begin(), scheduler.waiting.end(),
                   [id](const Waiting& w) { return w.offer.id == id; });
  if (it == scheduler.waiting.end()) return;
  replies->push_back(
      ReplyTo(scheduler, now, it->offer, common::StartVerdict::kQueued));
  replies->back().wait = WaitOf(scheduler, now, *it);
  replies->back().repeated = repeated;
}

// Answers an offer that is known already; the first answer was lost.
bool Repeat(const EngineScheduler& scheduler, common::TimePoint now, OfferId id,
            Replies* replies) {
  const auto it = scheduler.running.find(id);
  if (it != scheduler.running.end()) {
    replies->push_back({.id = id,
                        .request_id = it->second.request_id,
                        .verdict = common::StartVerdict::kStart,
                        .repeated = true});
    return true;
  }
  const std::size_t before = replies->size();
  ReplyQueued(scheduler, now, id, true, replies);
  return replies->size() > before;
}

}  // namespace

void SetSpec(EngineScheduler& scheduler, const EngineSpec& spec) {
  scheduler.spec = spec;
}

void ForgetEngine(EngineScheduler& scheduler) {
  scheduler.cache.Clear();
  scheduler.running.clear();
  scheduler.report.reset();
  scheduler.read_until = {};
  scheduler.paced_until = {};
  scheduler.surplus_paced_until = {};
}

int Occupied(const EngineScheduler& scheduler) {
  const int known = static_cast<int>(scheduler.running.size());
  if (!scheduler.report) return known;
  // Those sent since the report was taken are not in it.
  int since = 0;
  for (const auto& [id, it] : scheduler.running) {
    if (it.sent >= scheduler.report_taken) ++since;
  }
  return std::max(
      known, scheduler.report->running + scheduler.report->waiting + since);
}

common::Duration ExpectedWait(const EngineScheduler& scheduler,
                              common::TimePoint now, const Offer& offer) {
  int ahead = 0;
  double tokens = 0;
  for (const Waiting& it : scheduler.waiting) {
    if (offer.within_share && !it.offer.within_share) continue;
    ++ahead;
    tokens += Uncached(scheduler, it.offer);
  }
  return WaitBehind(scheduler, now, offer, ahead, tokens);
}

void OnOffer(EngineScheduler& scheduler, common::TimePoint now,
             const Offer& offer, Replies* replies) {
  OnHeard(scheduler, now, offer.id.gateway);
  if (Repeat(scheduler, now, offer.id, replies)) return;
  if (offer.first) {
    scheduler.service[offer.workspace].asked +=
        common::ServiceTokens(offer.prompt);
  }
  const std::size_t before = replies->size();
  scheduler.waiting.push_back({.offer = offer, .arrived = now});
  StartWaiting(scheduler, now, replies);
  if (scheduler.waiting.empty()) return;
  DeclineHopeless(scheduler, now, replies);
  const bool answered = std::any_of(
      replies->begin() + static_cast<std::ptrdiff_t>(before), replies->end(),
      [&](const OfferReply& it) { return it.id == offer.id; });
  if (answered) return;
  ReplyQueued(scheduler, now, offer.id, false, replies);
}

void OnWithdrawn(EngineScheduler& scheduler, common::TimePoint now, OfferId id,
                 Replies* replies) {
  std::erase_if(scheduler.waiting,
                [id](const Waiting& it) { return it.offer.id == id; });
  const auto it = scheduler.running.find(id);
  if (it == scheduler.running.end()) return;
  // A start that was not used gives its reading time back.
  if (it->second.reading) {
    const common::Duration reading =
        ReadingTime(scheduler.pace, it->second.uncached);
    scheduler.read_until -= reading;
    scheduler.paced_until -= Paced(reading, scheduler.reading_share.share);
    scheduler.surplus_paced_until -=
        Paced(reading, scheduler.options.surplus_reading_share);
  }
  scheduler.running.erase(it);
  StartWaiting(scheduler, now, replies);
}

void OnNotOffered(EngineScheduler& scheduler,
                  const common::WorkspaceName& workspace, double tokens) {
  scheduler.service[workspace].asked += tokens;
}

void OnStartedElsewhere(EngineScheduler& scheduler, common::TimePoint now,
                        std::uint64_t subject,
                        const common::UpstreamName& upstream) {
  NoteHolder(scheduler.directory, now, subject, upstream);
}

void OnFirstEvent(EngineScheduler& scheduler, common::TimePoint now, OfferId id,
                  Replies* replies) {
  const auto it = scheduler.running.find(id);
  if (it == scheduler.running.end() || !it->second.reading) return;
  it->second.reading = false;
  it->second.first_event = now;
  ObserveFirstEvent(scheduler.pace, it->second.sent, now, it->second.uncached);
  // Whatever was sent before it has been read as well.
  double tokens = 0;
  for (const auto& [other, running] : scheduler.running) {
    if (running.reading && running.sent > it->second.sent) {
      tokens += running.uncached;
    }
  }
  scheduler.read_until = now + ReadingTime(scheduler.pace, tokens);
  StartWaiting(scheduler, now, replies);
}

void OnPaused(EngineScheduler& scheduler, common::TimePoint now, OfferId id) {
  const auto it = scheduler.running.find(id);
  if (it == scheduler.running.end() || it->second.paused) return;
  it->second.paused = true;
  OnLongPause(scheduler.reading_share, now,
              static_cast<int>(scheduler.running.size()));
}

void OnDone(EngineScheduler& scheduler, common::TimePoint now, OfferId id,
            Replies* replies) {
  const auto it = scheduler.running.find(id);
  if (it == scheduler.running.end()) return;
  const bool was_full = scheduler.spec.slots > 0 &&
                        Occupied(scheduler) >= scheduler.spec.slots - 1;
  if (was_full && scheduler.last_end) {
    const common::Duration interval = std::min<common::Duration>(
        now - *scheduler.last_end, kLongestEndInterval);
    const double weight = scheduler.options.end_weight;
    scheduler.end_interval = common::Duration(static_cast<std::int64_t>(
        static_cast<double>(scheduler.end_interval.count()) * (1 - weight) +
        static_cast<double>(interval.count()) * weight));
  }
  scheduler.last_end = now;
  scheduler.running.erase(it);
  StartWaiting(scheduler, now, replies);
}

void OnReport(EngineScheduler& scheduler, common::TimePoint now,
              const EngineReport& report, Replies* replies) {
  scheduler.report = report;
  scheduler.report_taken = now;
  StartWaiting(scheduler, now, replies);
}

void OnHeard(EngineScheduler& scheduler, common::TimePoint now,
             common::Incarnation gateway) {
  scheduler.heard[gateway] = now;
}

void OnInProgress(EngineScheduler& scheduler, common::TimePoint now,
                  common::Incarnation gateway,
                  const std::vector<std::uint64_t>& numbers, Replies* replies) {
  std::erase_if(scheduler.running, [&](const auto& it) {
    const auto& [id, running] = it;
    return id.gateway == gateway &&
           now - running.sent > scheduler.options.unnamed_start_grace &&
           !std::binary_search(numbers.begin(), numbers.end(), id.number);
  });
  StartWaiting(scheduler, now, replies);
}

void OnTick(EngineScheduler& scheduler, common::TimePoint now,
            Replies* replies) {
  std::erase_if(scheduler.heard, [&](const auto& it) {
    return now - it.second > scheduler.options.gateway_silence;
  });
  const auto silent = [&](const OfferId& id) {
    return scheduler.heard.count(id.gateway) == 0;
  };
  std::erase_if(scheduler.running,
                [&](const auto& it) { return silent(it.first); });
  std::erase_if(scheduler.waiting,
                [&](const Waiting& it) { return silent(it.offer.id); });
  GrowShare(scheduler.reading_share, now,
            static_cast<int>(scheduler.running.size()));
  StartWaiting(scheduler, now, replies);
  if (!scheduler.waiting.empty()) DeclineHopeless(scheduler, now, replies);
}

}  // namespace shallotbeam::scheduling
