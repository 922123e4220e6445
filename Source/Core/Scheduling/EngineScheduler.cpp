#include "Scheduling/EngineScheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Common/ExponentialDecay.h"

namespace shallotbeam::scheduling {

namespace {

using Waiting = EngineScheduler::Waiting;

// Limit of the prefill backlog that over-share requests wait for.
constexpr common::Duration kMaxOverShareBacklog =
    std::chrono::milliseconds(500);

// On average, a running request has used half of the memory that it will need.
constexpr double kMeanMemoryFraction = 0.5;
// Upper limit of a measured interval between the ends of two requests: a longer
// gap has other causes than the engine's speed.
constexpr common::Duration kMaxEndInterval = std::chrono::seconds(1);

// Returns the prompt tokens that the engine has to process, which are those
// that it neither has cached nor can fetch.
int TokensToPrefill(const EngineScheduler& scheduler, const Offer& offer) {
  const int cached = std::max(scheduler.cache.CachedTokens(offer.prompt),
                              offer.fetchable_tokens);
  return std::max(offer.prompt.prompt_tokens - cached, 1);
}

bool IsLate(const Waiting& it, common::TimePoint now) {
  return now - it.arrived > it.offer.time_to_target;
}

double PacedTokens(const EngineScheduler& scheduler, common::TimePoint now,
                   const common::WorkspaceName& workspace) {
  const auto it = scheduler.paced_service.find(workspace);
  if (it == scheduler.paced_service.end()) return 0;
  return it->second.tokens *
         common::DecayFactor(now - it->second.updated,
                             scheduler.options.paced_service_memory);
}

double RecentService(const EngineScheduler& scheduler, common::TimePoint now,
                     const Offer& offer) {
  return scheduler.pacer ? PacedTokens(scheduler, now, offer.workspace)
                         : offer.recent_service;
}

// Returns the sort key of a waiting request; smaller keys start earlier.
// Compared in this order: priority; within the workspace's fair share before
// over-share; not late before late; less recent service of the workspace first;
// earlier target first.
auto SchedulingKey(const EngineScheduler& scheduler, const Waiting& it,
                   common::TimePoint now) {
  return std::make_tuple(it.offer.priority, !it.offer.within_share,
                         IsLate(it, now),
                         RecentService(scheduler, now, it.offer),
                         it.arrived + it.offer.time_to_target);
}

double ReservedMemory(const EngineScheduler& scheduler) {
  double tokens = 0;
  for (const auto& [id, it] : scheduler.running) {
    tokens += it.uncached + it.prompt.expected_output_tokens;
  }
  if (scheduler.report) {
    tokens = std::max(tokens, scheduler.report->memory_used);
  }
  return tokens;
}

// Returns the number of slots that may be occupied when a request like `offer`
// starts.
int SlotLimit(const EngineScheduler& scheduler, const Offer& offer) {
  if (offer.within_share) return scheduler.spec.slots;
  return static_cast<int>(scheduler.spec.slots *
                          scheduler.options.over_share_slot_share);
}

// Returns the time until the prefill backlog permits starting a request like
// `offer`. Negative if it does already.
common::Duration PrefillWait(const EngineScheduler& scheduler,
                             common::TimePoint now, const Offer& offer) {
  const EngineSchedulerOptions& options = scheduler.options;
  common::TimePoint until =
      std::max(scheduler.prefill_until - options.prefill_ahead,
               scheduler.paced_prefill_until - options.paced_prefill_ahead);
  if (!offer.within_share) {
    until = std::max(
        {until, scheduler.prefill_until - options.over_share_prefill_ahead,
         scheduler.over_share_prefill_until -
             options.over_share_prefill_ahead});
  }
  return until - now;
}

bool CanStart(const EngineScheduler& scheduler, common::TimePoint now,
              const Offer& offer) {
  if (scheduler.spec.slots > 0 &&
      OccupiedSlots(scheduler) >= SlotLimit(scheduler, offer)) {
    return false;
  }
  if (PrefillWait(scheduler, now, offer) > common::Duration(0)) return false;
  if (scheduler.pacer &&
      pacing::WaitFor(*scheduler.pacer, now) > common::Duration(0)) {
    return false;
  }
  if (scheduler.spec.memory_tokens <= 0 || scheduler.running.empty()) {
    return true;
  }
  const double needed =
      TokensToPrefill(scheduler, offer) +
      static_cast<double>(offer.prompt.expected_output_tokens);
  return ReservedMemory(scheduler) + needed <=
         scheduler.spec.memory_tokens * scheduler.options.memory_share;
}

// Returns the time that prefill takes if it may use only `share` of the
// engine's time.
common::Duration PacedTime(common::Duration prefill, double share) {
  return std::chrono::duration_cast<common::Duration>(prefill / share);
}

OfferReply BuildReply(const EngineScheduler& scheduler, common::TimePoint now,
                      const Offer& offer, common::OfferDecision decision) {
  OfferReply reply{.id = offer.id,
                   .request_id = offer.request_id,
                   .decision = decision,
                   .cached_tokens = scheduler.cache.CachedTokens(offer.prompt)};
  if (reply.cached_tokens < common::SharedTokens(offer.prompt)) {
    reply.prefix_holder = FindHolder(scheduler.directory, now,
                                     common::SharedPrefixKey(offer.prompt));
  }
  return reply;
}

void Start(EngineScheduler& scheduler, common::TimePoint now,
           const Offer& offer, Replies* replies) {
  const int uncached = TokensToPrefill(scheduler, offer);
  replies->push_back(
      BuildReply(scheduler, now, offer, common::OfferDecision::kStart));
  const common::Duration prefill =
      PrefillTime(scheduler.prefill_rate, uncached);
  scheduler.prefill_until = std::max(scheduler.prefill_until, now) + prefill;
  scheduler.paced_prefill_until =
      std::max(scheduler.paced_prefill_until, now) +
      PacedTime(prefill, scheduler.prefill_share.share);
  // Bounded, because requests within their workspace's fair share add to this
  // backlog without waiting for it.
  scheduler.over_share_prefill_until = std::min(
      std::max(scheduler.over_share_prefill_until, now) +
          PacedTime(prefill, scheduler.options.over_share_prefill_share),
      now + kMaxOverShareBacklog);
  if (scheduler.pacer) {
    pacing::TakeStart(*scheduler.pacer, now);
    scheduler.paced_service[offer.workspace] = {
        .tokens = PacedTokens(scheduler, now, offer.workspace) +
                  common::ServiceTokens(offer.prompt),
        .updated = now};
  }
  scheduler.cache.Insert(offer.prompt);
  if (scheduler.spec.memory_tokens > 0) {
    scheduler.cache.EvictTo(scheduler.spec.memory_tokens -
                            ReservedMemory(scheduler) * kMeanMemoryFraction);
  }
  scheduler.service[offer.workspace].served +=
      common::ServiceTokens(offer.prompt);
  scheduler.running[offer.id] = {.request_id = offer.request_id,
                                 .prompt = offer.prompt,
                                 .sent = now,
                                 .uncached = uncached};
}

// Starts waiting requests in scheduling order until the next one does not fit.
void StartWaiting(EngineScheduler& scheduler, common::TimePoint now,
                  Replies* replies) {
  auto& waiting = scheduler.waiting;
  while (!waiting.empty()) {
    const auto first =
        std::min_element(waiting.begin(), waiting.end(),
                         [&](const Waiting& a, const Waiting& b) {
                           return SchedulingKey(scheduler, a, now) <
                                  SchedulingKey(scheduler, b, now);
                         });
    if (!CanStart(scheduler, now, first->offer)) return;
    const Offer offer = std::move(first->offer);
    waiting.erase(first);
    Start(scheduler, now, offer, replies);
  }
}

// Returns the expected time until a request like `offer` starts if `ahead`
// other requests start before it, whose prefill takes `tokens` in total.
common::Duration WaitBehind(const EngineScheduler& scheduler,
                            common::TimePoint now, const Offer& offer,
                            int ahead, double tokens) {
  const double share =
      offer.within_share ? scheduler.prefill_share.share
                         : std::min(scheduler.prefill_share.share,
                                    scheduler.options.over_share_prefill_share);
  const common::Duration prefill =
      PacedTime(PrefillTime(scheduler.prefill_rate, tokens), share);
  common::Duration wait = std::max(PrefillWait(scheduler, now, offer) + prefill,
                                   common::Duration(0));
  const int free_slots = SlotLimit(scheduler, offer) - OccupiedSlots(scheduler);
  if (scheduler.spec.slots > 0 && ahead >= free_slots) {
    wait = std::max(wait, scheduler.end_interval * (ahead - free_slots + 1));
  }
  if (scheduler.pacer) {
    wait = std::max(wait, pacing::WaitFor(*scheduler.pacer, now, ahead));
  }
  return wait;
}

common::Duration ExpectedWaitOf(const EngineScheduler& scheduler,
                                common::TimePoint now, const Waiting& waiting) {
  const auto order = SchedulingKey(scheduler, waiting, now);
  int ahead = 0;
  double tokens = 0;
  for (const Waiting& it : scheduler.waiting) {
    if (it.offer.id == waiting.offer.id) continue;
    if (SchedulingKey(scheduler, it, now) > order) continue;
    ++ahead;
    tokens += TokensToPrefill(scheduler, it.offer);
  }
  return WaitBehind(scheduler, now, waiting.offer, ahead, tokens);
}

// Returns the time to the first event of a request that starts after `wait`.
common::Duration TimeToFirstEvent(const EngineScheduler& scheduler,
                                  const Offer& offer, common::Duration wait) {
  return wait + BaseLatency(scheduler.prefill_rate) +
         PrefillTime(scheduler.prefill_rate, TokensToPrefill(scheduler, offer));
}

// Declines the waiting requests whose first event would come after its
// deadline.
void DeclineUnservable(EngineScheduler& scheduler, common::TimePoint now,
                       Replies* replies) {
  // The expected wait depends on all waiting requests, so that the list must be
  // whole whenever it is computed.
  for (auto it = scheduler.waiting.begin(); it != scheduler.waiting.end();) {
    const common::Duration wait = ExpectedWaitOf(scheduler, now, *it);
    const common::Duration left =
        it->offer.time_to_deadline - (now - it->arrived);
    if (TimeToFirstEvent(scheduler, it->offer, wait) <= left) {
      ++it;
      continue;
    }
    replies->push_back(BuildReply(scheduler, now, it->offer,
                                  common::OfferDecision::kDeclined));
    replies->back().wait = wait;
    it = scheduler.waiting.erase(it);
  }
}

void ReplyQueued(const EngineScheduler& scheduler, common::TimePoint now,
                 OfferId id, bool repeated, Replies* replies) {
  const auto it =
      std::find_if(scheduler.waiting.begin(), scheduler.waiting.end(),
                   [id](const Waiting& w) { return w.offer.id == id; });
  if (it == scheduler.waiting.end()) return;
  replies->push_back(
      BuildReply(scheduler, now, it->offer, common::OfferDecision::kQueued));
  replies->back().wait = ExpectedWaitOf(scheduler, now, *it);
  replies->back().repeated = repeated;
}

// Repeats the reply to a known offer, because the earlier reply may be lost.
// Returns whether the offer is known.
bool RepeatReply(const EngineScheduler& scheduler, common::TimePoint now,
                 OfferId id, Replies* replies) {
  const auto it = scheduler.running.find(id);
  if (it != scheduler.running.end()) {
    replies->push_back({.id = id,
                        .request_id = it->second.request_id,
                        .decision = common::OfferDecision::kStart,
                        .repeated = true});
    return true;
  }
  const std::size_t before = replies->size();
  ReplyQueued(scheduler, now, id, true, replies);
  return replies->size() > before;
}

}  // namespace

void SetCapacity(EngineScheduler& scheduler, const EngineCapacity& spec) {
  scheduler.spec = spec;
}

void SetRateLimit(EngineScheduler& scheduler, common::TimePoint now,
                  std::optional<double> per_second) {
  if (!per_second) {
    scheduler.pacer.reset();
    scheduler.paced_service.clear();
  } else if (scheduler.pacer) {
    pacing::SetRate(*scheduler.pacer, *per_second, pacing::kSupervisedPart,
                    now);
  } else {
    scheduler.pacer =
        pacing::MakePacer(*per_second, pacing::kSupervisedPart, now);
  }
}

void ResetEngine(EngineScheduler& scheduler) {
  scheduler.pacer.reset();
  scheduler.cache.Clear();
  scheduler.running.clear();
  scheduler.report.reset();
  scheduler.prefill_until = {};
  scheduler.paced_prefill_until = {};
  scheduler.over_share_prefill_until = {};
}

int OccupiedSlots(const EngineScheduler& scheduler) {
  const int started = static_cast<int>(scheduler.running.size());
  if (!scheduler.report) return started;
  // The report does not include requests sent after it.
  int sent_since = 0;
  for (const auto& [id, it] : scheduler.running) {
    if (it.sent >= scheduler.last_report) ++sent_since;
  }
  return std::max(started, scheduler.report->running +
                               scheduler.report->waiting + sent_since);
}

common::Duration ExpectedWait(const EngineScheduler& scheduler,
                              common::TimePoint now, const Offer& offer) {
  int ahead = 0;
  double tokens = 0;
  for (const Waiting& it : scheduler.waiting) {
    if (offer.within_share && !it.offer.within_share) continue;
    ++ahead;
    tokens += TokensToPrefill(scheduler, it.offer);
  }
  return WaitBehind(scheduler, now, offer, ahead, tokens);
}

void OnOffer(EngineScheduler& scheduler, common::TimePoint now,
             const Offer& offer, Replies* replies) {
  OnGatewayAlive(scheduler, now, offer.id.gateway);
  if (RepeatReply(scheduler, now, offer.id, replies)) return;
  if (offer.first) {
    scheduler.service[offer.workspace].requested +=
        common::ServiceTokens(offer.prompt);
  }
  const std::size_t before = replies->size();
  scheduler.waiting.push_back({.offer = offer, .arrived = now});
  StartWaiting(scheduler, now, replies);
  if (scheduler.waiting.empty()) return;
  DeclineUnservable(scheduler, now, replies);
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
  if (scheduler.pacer) pacing::ReturnStart(*scheduler.pacer);
  // The start was not used, so its prefill time is released.
  if (it->second.prefilling) {
    const common::Duration prefill =
        PrefillTime(scheduler.prefill_rate, it->second.uncached);
    scheduler.prefill_until -= prefill;
    scheduler.paced_prefill_until -=
        PacedTime(prefill, scheduler.prefill_share.share);
    scheduler.over_share_prefill_until -=
        PacedTime(prefill, scheduler.options.over_share_prefill_share);
  }
  scheduler.running.erase(it);
  StartWaiting(scheduler, now, replies);
}

void OnRejectedWithoutOffer(EngineScheduler& scheduler,
                            const common::WorkspaceName& workspace,
                            double tokens) {
  scheduler.service[workspace].requested += tokens;
}

void OnStartedElsewhere(EngineScheduler& scheduler, common::TimePoint now,
                        std::uint64_t prefix_key,
                        const common::UpstreamName& upstream) {
  RecordHolder(scheduler.directory, now, prefix_key, upstream);
}

void OnFirstEvent(EngineScheduler& scheduler, common::TimePoint now, OfferId id,
                  Replies* replies) {
  const auto it = scheduler.running.find(id);
  if (it == scheduler.running.end() || !it->second.prefilling) return;
  it->second.prefilling = false;
  it->second.first_event = now;
  ObserveFirstEvent(scheduler.prefill_rate, it->second.sent, now,
                    it->second.uncached);
  // The engine processes prompts in order, so every prompt sent before this one
  // has been processed as well.
  double tokens = 0;
  for (const auto& [other, running] : scheduler.running) {
    if (running.prefilling && running.sent > it->second.sent) {
      tokens += running.uncached;
    }
  }
  scheduler.prefill_until = now + PrefillTime(scheduler.prefill_rate, tokens);
  StartWaiting(scheduler, now, replies);
}

void OnStreamStalled(EngineScheduler& scheduler, common::TimePoint now,
                     OfferId id) {
  const auto it = scheduler.running.find(id);
  if (it == scheduler.running.end() || it->second.stalled) return;
  it->second.stalled = true;
  OnStall(scheduler.prefill_share, now,
          static_cast<int>(scheduler.running.size()));
}

void OnFinished(EngineScheduler& scheduler, common::TimePoint now, OfferId id,
                Replies* replies) {
  const auto it = scheduler.running.find(id);
  if (it == scheduler.running.end()) return;
  const bool was_full = scheduler.spec.slots > 0 &&
                        OccupiedSlots(scheduler) >= scheduler.spec.slots - 1;
  if (was_full && scheduler.last_end) {
    const common::Duration interval =
        std::min<common::Duration>(now - *scheduler.last_end, kMaxEndInterval);
    const double weight = scheduler.options.end_interval_weight;
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
  scheduler.last_report = now;
  StartWaiting(scheduler, now, replies);
}

void OnGatewayAlive(EngineScheduler& scheduler, common::TimePoint now,
                    common::Incarnation gateway) {
  scheduler.last_heard[gateway] = now;
}

void OnRequestsInProgress(EngineScheduler& scheduler, common::TimePoint now,
                          common::Incarnation gateway,
                          const std::vector<std::uint64_t>& numbers,
                          Replies* replies) {
  std::erase_if(scheduler.running, [&](const auto& it) {
    const auto& [id, running] = it;
    return id.gateway == gateway &&
           now - running.sent > scheduler.options.unreported_start_grace &&
           !std::binary_search(numbers.begin(), numbers.end(), id.number);
  });
  StartWaiting(scheduler, now, replies);
}

void OnTick(EngineScheduler& scheduler, common::TimePoint now,
            Replies* replies) {
  std::erase_if(scheduler.last_heard, [&](const auto& it) {
    return now - it.second > scheduler.options.gateway_timeout;
  });
  const auto silent = [&](const OfferId& id) {
    return scheduler.last_heard.count(id.gateway) == 0;
  };
  std::erase_if(scheduler.running,
                [&](const auto& it) { return silent(it.first); });
  std::erase_if(scheduler.waiting,
                [&](const Waiting& it) { return silent(it.offer.id); });
  IncreaseShare(scheduler.prefill_share, now,
                static_cast<int>(scheduler.running.size()));
  StartWaiting(scheduler, now, replies);
  if (!scheduler.waiting.empty()) DeclineUnservable(scheduler, now, replies);
}

}  // namespace shallotbeam::scheduling
