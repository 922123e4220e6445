#ifndef SHALLOTBEAM_UNITTESTS_CORE_ROUTING_KEYEDWORLD_H_
#define SHALLOTBEAM_UNITTESTS_CORE_ROUTING_KEYEDWORLD_H_

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Core/Routing/Fixture.h"

namespace shallotbeam::routing::testing {

// A store with compare-and-swap. Revisions grow over all writes.
struct FakeStore {
  std::uint64_t revision = 0;
  std::uint64_t key_revision = 0;  // 0: absent
  std::string value;

  bool Swap(std::uint64_t expected, const std::string& next) {
    if (key_revision != expected) return false;
    key_revision = ++revision;
    value = next;
    return true;
  }
};

// An agent incarnation with the key table of design section 6.
struct FakeAgent {
  enum class State : std::uint8_t { kUnknown, kDone, kBarred };

  ProcessName name;
  Incarnation incarnation = Incarnation::kNone;
  State state = State::kUnknown;
  std::uint64_t barred_at = 0;

  // Bars the key; returns false if it ran.
  bool Bar(std::uint64_t revision) {
    if (state == State::kDone) return false;
    state = State::kBarred;
    barred_at = std::max(barred_at, revision);
    return true;
  }
};

// One send of the key by the caller.
struct KeyedSend {
  common::RequestId id;
  bool answered = false;
  bool not_run = false;
  bool ran = false;
};

// Two routers, two agents and a store on an unreliable network; the caller
// sends one key again and again through either router.
class KeyedWorld {
 public:
  explicit KeyedWorld(std::uint32_t seed) : random_(seed) {
    agents_[0] = {.name = kA, .incarnation = NextIncarnation()};
    agents_[1] = {.name = kB, .incarnation = NextIncarnation()};
    Beat();
  }

  void SetKey(std::string key) { key_ = std::move(key); }
  const FakeAgent& AgentAt(int index) const { return agents_.at(index); }

  void Step() {
    switch (Draw(10)) {
      case 0:
        return SendKey();
      case 1:
        Beat();
        return Advance(Chance(10) ? 9000 : Draw(200));
      case 2:
        if (Chance(8)) RestartAgent(agents_.at(Draw(2)));
        return;
      case 3:
        return Run(RouterAt(Draw(2)), GrantEvent());
      default:
        return DeliverOne();
    }
  }

  // Lets every request end.
  void Finish() {
    while (!pending_.empty()) DeliverOne();
    Advance(11'000);
    Advance(1000);
    while (!pending_.empty()) DeliverOne();
  }

  int Runs() const { return runs_; }
  // Why a verdict was false; empty if none was.
  const std::string& Violation() const { return violation_; }
  bool AllAnswered() const {
    return std::all_of(sends_.begin(), sends_.end(),
                       [](const KeyedSend& it) { return it.answered; });
  }

 private:
  int Draw(std::size_t below) { return static_cast<int>(random_() % below); }
  bool Chance(int percent) { return Draw(100) < percent; }
  Fixture& RouterAt(int index) { return index == 0 ? first_ : second_; }
  Incarnation NextIncarnation() {
    return static_cast<Incarnation>(++last_incarnation_);
  }

  void Run(Fixture& router, const RouterEvent& event) {
    for (const RouterAction& action : router.Send(event)) {
      std::visit([&](const auto& it) { Do(router, it); }, action);
    }
  }

  void SendKey() {
    Fixture& router = RouterAt(Draw(2));
    const auto id = router.Id(static_cast<int>(sends_.size()) + 1);
    sends_.push_back({.id = id});
    Run(router, RequestArrived{.id = id,
                               .workspace = kWorkspace,
                               .kind = kOrder,
                               .idempotency_key = key_});
  }

  void Beat() {
    for (const FakeAgent& agent : agents_) {
      for (int i = 0; i < 2; ++i) {
        const protocol::Heartbeat beat{.role = protocol::Role::kAgent,
                                       .pool = kPool,
                                       .free_slots = Draw(3)};
        Run(RouterAt(i),
            MessageReceived{.envelope = {.sender = agent.name,
                                         .incarnation = agent.incarnation,
                                         .body = beat}});
      }
    }
  }

  RouterEvent GrantEvent() {
    const FakeAgent& agent = agents_.at(Draw(2));
    return MessageReceived{
        .envelope = {.sender = agent.name,
                     .incarnation = agent.incarnation,
                     .body = protocol::Grant{
                         .grant = static_cast<common::GrantId>(1 + Draw(99)),
                         .pool = kPool,
                         .workspace = kWorkspace}}};
  }

  void Advance(int ms) {
    for (int i = 0; i < 2; ++i) {
      RouterAt(i).now += milliseconds(ms);
      Run(RouterAt(i), Tick{});
    }
  }

  void RestartAgent(FakeAgent& agent) {
    agent = {.name = agent.name, .incarnation = NextIncarnation()};
  }

  void Later(std::function<void()> delivery) {
    pending_.push_back(std::move(delivery));
  }

  // Any message may overtake any other.
  void DeliverOne() {
    if (pending_.empty()) return;
    std::swap(pending_[Draw(pending_.size())], pending_.back());
    const auto delivery = std::move(pending_.back());
    pending_.pop_back();
    delivery();
  }

  KeyedSend& SendOf(common::RequestId id) { return sends_.at(id.sequence - 1); }

  // The upstream runs the request.
  void NoteRun(common::RequestId id) {
    KeyedSend& send = SendOf(id);
    ++runs_;
    send.ran = true;
    for (std::size_t i = id.sequence - 1; i < sends_.size(); ++i) {
      if (sends_[i].not_run) {
        violation_ = "a send ran after it or a later one was refused";
      }
    }
  }

  void NoteAnswer(common::RequestId id, bool not_run) {
    KeyedSend& send = SendOf(id);
    if (send.answered) violation_ = "two answers";
    send.answered = true;
    send.not_run = not_run;
    if (!not_run) return;
    for (std::size_t i = 0; i < id.sequence; ++i) {
      if (sends_[i].ran) violation_ = "refused as not run after it ran";
    }
  }

  // The agent's answer to a dispatch.
  std::pair<DispatchOutcome, common::Refusal> Offer(
      FakeAgent& agent, const DispatchRequest& offer) {
    using common::Reason;
    const auto refuse = [](common::Verdict verdict, Reason reason) {
      return std::pair(DispatchOutcome::kRefused,
                       common::Refusal{.verdict = verdict, .reason = reason});
    };
    if (offer.bound_to != agent.incarnation) {
      return refuse(common::Verdict::kMayHaveRun, Reason::kBoundElsewhere);
    }
    if (Chance(10)) {
      return refuse(common::Verdict::kNotRun, Reason::kBadRequest);
    }
    if (agent.state == FakeAgent::State::kDone) {
      return {DispatchOutcome::kCompleted, {}};
    }
    if (agent.state == FakeAgent::State::kBarred &&
        offer.binding_revision <= agent.barred_at) {
      return refuse(common::Verdict::kNotRun, Reason::kBarred);
    }
    if (Chance(40)) {
      agent.Bar(offer.binding_revision);
      constexpr std::array kReasons = {
          Reason::kBusy, Reason::kDraining, Reason::kSuspectIsolated,
          Reason::kUpstreamRefused, Reason::kPoisonous};
      return refuse(common::Verdict::kNotRun,
                    kReasons.at(Draw(kReasons.size())));
    }
    agent.state = FakeAgent::State::kDone;
    NoteRun(offer.id);
    return {DispatchOutcome::kCompleted, {}};
  }

  void Do(Fixture& router, const DispatchRequest& offer) {
    const auto end = [this, &router, offer](DispatchOutcome outcome,
                                            common::Refusal refusal) {
      const auto it = router.router.requests.find(offer.id);
      const bool current = it != router.router.requests.end() &&
                           it->second.attempt == offer.attempt;
      if (current && outcome == DispatchOutcome::kCompleted) {
        NoteAnswer(offer.id, false);
      }
      Run(router, DispatchEnded{.id = offer.id,
                                .attempt = offer.attempt,
                                .outcome = outcome,
                                .refusal = refusal});
    };
    if (Chance(10)) {
      return Later([end] { end(DispatchOutcome::kNotSent, {}); });
    }
    // The connection may break while the offer is still on its way.
    const bool breaks = Chance(25);
    if (breaks) Later([end] { end(DispatchOutcome::kLost, {}); });
    Later([this, offer, end, breaks] {
      FakeAgent& agent = agents_.at(offer.agent == kA ? 0 : 1);
      const auto [outcome, refusal] = Offer(agent, offer);
      if (breaks) return;
      Later([end, outcome = outcome, refusal = refusal] {
        end(outcome, refusal);
      });
    });
  }

  void Do(Fixture& router, const ReadBinding& read) {
    // Takes effect at any time after it was sent.
    Later([this, &router, read] {
      const BindingRead answer{.id = read.id,
                               .outcome = Chance(95)
                                              ? StoreOutcome::kOk
                                              : StoreOutcome::kUnavailable,
                               .revision = store_.key_revision,
                               .value = store_.value};
      Later([this, &router, answer] { Run(router, answer); });
    });
  }

  void Do(Fixture& router, const WriteBinding& write) {
    const auto answer = [this, &router, write](StoreOutcome outcome) {
      Run(router, BindingWritten{.id = write.id,
                                 .outcome = outcome,
                                 .revision = store_.key_revision,
                                 .value = store_.value});
    };
    if (Chance(10)) {
      // Neither the write nor the read back is answered; it may come late.
      if (Chance(50)) {
        Later([this, write] {
          store_.Swap(write.expected_revision, write.value);
        });
      }
      return Later([answer] { answer(StoreOutcome::kUnavailable); });
    }
    Later([this, &router, write] {
      const bool swapped = store_.Swap(write.expected_revision, write.value);
      const BindingWritten written{
          .id = write.id,
          .outcome = swapped ? StoreOutcome::kOk : StoreOutcome::kConflict,
          .revision = store_.key_revision,
          .value = store_.value};
      Later([this, &router, written] { Run(router, written); });
    });
  }

  void Do(Fixture& router, const SendMessage& message) {
    const auto* revoke = std::get_if<protocol::Revoke>(&message.body);
    if (revoke == nullptr || Chance(10)) return;
    Later([this, &router, to = message.to, revoke = *revoke] {
      FakeAgent& agent = agents_.at(to == kA ? 0 : 1);
      const bool ours = agent.incarnation == revoke.bound_to;
      const bool begun = !ours || !agent.Bar(revoke.binding_revision);
      const MessageReceived reply{
          .envelope = {.sender = agent.name,
                       .incarnation = agent.incarnation,
                       .body = protocol::RevokeReply{.request = revoke.request,
                                                     .begun = begun}}};
      Later([this, &router, reply] { Run(router, reply); });
    });
  }

  void Do(Fixture&, const RefuseRequest& refuse) {
    NoteAnswer(refuse.id, refuse.refusal.verdict == common::Verdict::kNotRun);
  }

  template <typename Other>
  void Do(Fixture&, const Other&) {}

  std::mt19937 random_;
  std::uint64_t last_incarnation_ = 10;
  std::string key_ = "order-1";
  Fixture first_{"router-1", 100};
  Fixture second_{"router-2", 200};
  FakeStore store_;
  std::array<FakeAgent, 2> agents_;
  std::vector<KeyedSend> sends_;
  std::vector<std::function<void()>> pending_;
  int runs_ = 0;
  std::string violation_;
};

}  // namespace shallotbeam::routing::testing

#endif  // SHALLOTBEAM_UNITTESTS_CORE_ROUTING_KEYEDWORLD_H_
