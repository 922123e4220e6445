#ifndef SHALLOTBEAM_UNITTESTS_CORE_ROUTING_KEYEDSIMULATION_H_
#define SHALLOTBEAM_UNITTESTS_CORE_ROUTING_KEYEDSIMULATION_H_

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

// A store with compare-and-swap. Revisions increase across all writes.
struct FakeStore {
  std::uint64_t revision = 0;
  std::uint64_t key_revision = 0;  // 0 if the key is absent
  std::string value;

  bool Swap(std::uint64_t expected, const std::string& next) {
    if (key_revision != expected) return false;
    key_revision = ++revision;
    value = next;
    return true;
  }
};

// An agent incarnation with a simplified key table (section 6 of the design),
// which records whether the key is unknown, done or revoked.
struct FakeAgent {
  enum class State : std::uint8_t { kUnknown, kDone, kKeyRevoked };

  ProcessName name;
  Incarnation incarnation = Incarnation::kNone;
  State state = State::kUnknown;
  std::uint64_t revoked_revision = 0;

  // Revokes the key, so that attempts up to `revision` are refused. Returns
  // false if the key has run.
  bool RevokeKey(std::uint64_t revision) {
    if (state == State::kDone) return false;
    state = State::kKeyRevoked;
    revoked_revision = std::max(revoked_revision, revision);
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

// Two routers, two agents and a store on an unreliable network. The caller
// sends one key repeatedly through either router.
class KeyedSimulation {
 public:
  explicit KeyedSimulation(std::uint32_t seed) : random_(seed) {
    agents_[0] = {.name = kAgentA, .incarnation = NextIncarnation()};
    agents_[1] = {.name = kAgentB, .incarnation = NextIncarnation()};
    SendHeartbeats();
  }

  void SetKey(std::string key) { key_ = std::move(key); }
  const FakeAgent& AgentAt(int index) const { return agents_.at(index); }

  void Step() {
    switch (Draw(10)) {
      case 0:
        return SendKey();
      case 1:
        SendHeartbeats();
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

  // Delivers all messages and lets every deadline pass.
  void Finish() {
    while (!pending_.empty()) DeliverOne();
    Advance(11'000);
    Advance(1000);
    while (!pending_.empty()) DeliverOne();
  }

  int Runs() const { return runs_; }
  // Describes a wrong verdict or a second answer; empty if there was none.
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
      std::visit([&](const auto& it) { Execute(router, it); }, action);
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

  void SendHeartbeats() {
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

  void EnqueueDelivery(std::function<void()> delivery) {
    pending_.push_back(std::move(delivery));
  }

  // Messages are delivered in random order.
  void DeliverOne() {
    if (pending_.empty()) return;
    std::swap(pending_[Draw(pending_.size())], pending_.back());
    const auto delivery = std::move(pending_.back());
    pending_.pop_back();
    delivery();
  }

  KeyedSend& SendOf(common::RequestId id) { return sends_.at(id.sequence - 1); }

  // Records that the upstream runs the request.
  void RecordRun(common::RequestId id) {
    KeyedSend& send = SendOf(id);
    ++runs_;
    send.ran = true;
    for (std::size_t i = id.sequence - 1; i < sends_.size(); ++i) {
      if (sends_[i].not_run) {
        violation_ =
            "a send ran after it or a later one was refused as not run";
      }
    }
  }

  void RecordAnswer(common::RequestId id, bool not_run) {
    KeyedSend& send = SendOf(id);
    if (send.answered) violation_ = "a send was answered twice";
    send.answered = true;
    send.not_run = not_run;
    if (!not_run) return;
    for (std::size_t i = 0; i < id.sequence; ++i) {
      if (sends_[i].ran) violation_ = "refused as not run after the key ran";
    }
  }

  // Returns the agent's answer to a dispatch.
  std::pair<DispatchOutcome, common::Refusal> AnswerOffer(
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
    if (agent.state == FakeAgent::State::kKeyRevoked &&
        offer.binding_revision <= agent.revoked_revision) {
      return refuse(common::Verdict::kNotRun, Reason::kKeyRevoked);
    }
    if (Chance(40)) {
      agent.RevokeKey(offer.binding_revision);
      constexpr std::array kReasons = {
          Reason::kBusy, Reason::kDraining, Reason::kSuspectIsolated,
          Reason::kUpstreamRefused, Reason::kCrashesUpstreams};
      return refuse(common::Verdict::kNotRun,
                    kReasons.at(Draw(kReasons.size())));
    }
    agent.state = FakeAgent::State::kDone;
    RecordRun(offer.id);
    return {DispatchOutcome::kCompleted, {}};
  }

  void Execute(Fixture& router, const DispatchRequest& offer) {
    const auto end = [this, &router, offer](DispatchOutcome outcome,
                                            common::Refusal refusal) {
      const auto it = router.router.requests.find(offer.id);
      const bool current = it != router.router.requests.end() &&
                           it->second.attempt == offer.attempt;
      if (current && outcome == DispatchOutcome::kCompleted) {
        RecordAnswer(offer.id, false);
      }
      Run(router, DispatchEnded{.id = offer.id,
                                .attempt = offer.attempt,
                                .outcome = outcome,
                                .refusal = refusal});
    };
    if (Chance(10)) {
      return EnqueueDelivery([end] { end(DispatchOutcome::kNotSent, {}); });
    }
    // The connection may break while the request is still in transit.
    const bool breaks = Chance(25);
    if (breaks) EnqueueDelivery([end] { end(DispatchOutcome::kLost, {}); });
    EnqueueDelivery([this, offer, end, breaks] {
      FakeAgent& agent = agents_.at(offer.agent == kAgentA ? 0 : 1);
      const auto [outcome, refusal] = AnswerOffer(agent, offer);
      if (breaks) return;
      EnqueueDelivery([end, outcome = outcome, refusal = refusal] {
        end(outcome, refusal);
      });
    });
  }

  void Execute(Fixture& router, const ReadBinding& read) {
    // The store executes the read at any time after it was sent.
    EnqueueDelivery([this, &router, read] {
      const BindingRead answer{.id = read.id,
                               .outcome = Chance(95)
                                              ? StoreOutcome::kOk
                                              : StoreOutcome::kUnavailable,
                               .revision = store_.key_revision,
                               .value = store_.value};
      EnqueueDelivery([this, &router, answer] { Run(router, answer); });
    });
  }

  void Execute(Fixture& router, const WriteBinding& write) {
    const auto answer = [this, &router, write](StoreOutcome outcome) {
      Run(router, BindingWritten{.id = write.id,
                                 .outcome = outcome,
                                 .revision = store_.key_revision,
                                 .value = store_.value});
    };
    if (Chance(10)) {
      // Neither the write nor the read back is answered; the write may still
      // take effect later.
      if (Chance(50)) {
        EnqueueDelivery([this, write] {
          store_.Swap(write.expected_revision, write.value);
        });
      }
      return EnqueueDelivery([answer] { answer(StoreOutcome::kUnavailable); });
    }
    EnqueueDelivery([this, &router, write] {
      const bool swapped = store_.Swap(write.expected_revision, write.value);
      const BindingWritten written{
          .id = write.id,
          .outcome = swapped ? StoreOutcome::kOk : StoreOutcome::kConflict,
          .revision = store_.key_revision,
          .value = store_.value};
      EnqueueDelivery([this, &router, written] { Run(router, written); });
    });
  }

  void Execute(Fixture& router, const SendMessage& message) {
    const auto* revoke = std::get_if<protocol::Revoke>(&message.body);
    if (revoke == nullptr || Chance(10)) return;
    EnqueueDelivery([this, &router, to = message.to, revoke = *revoke] {
      FakeAgent& agent = agents_.at(to == kAgentA ? 0 : 1);
      const bool ours = agent.incarnation == revoke.bound_to;
      const bool started = !ours || !agent.RevokeKey(revoke.binding_revision);
      const MessageReceived reply{
          .envelope = {.sender = agent.name,
                       .incarnation = agent.incarnation,
                       .body = protocol::RevokeReply{.request = revoke.request,
                                                     .started = started}}};
      EnqueueDelivery([this, &router, reply] { Run(router, reply); });
    });
  }

  void Execute(Fixture&, const RefuseRequest& refuse) {
    RecordAnswer(refuse.id, refuse.refusal.verdict == common::Verdict::kNotRun);
  }

  template <typename Other>
  void Execute(Fixture&, const Other&) {}

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

#endif  // SHALLOTBEAM_UNITTESTS_CORE_ROUTING_KEYEDSIMULATION_H_
