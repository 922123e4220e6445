#include <array>
#include <map>
#include <random>
#include <set>

#include "Core/Routing/Fixture.h"
#include "Property.h"

namespace shallotbeam::routing::testing {

namespace {

using common::Reason;
using common::Verdict;

constexpr std::array kReasons = {
    Reason::kBusy,      Reason::kDraining,       Reason::kSuspectIsolated,
    Reason::kBarred,    Reason::kUpstreamFailed, Reason::kUpstreamRefused,
    Reason::kPoisonous, Reason::kBadRequest};

// Sends random events to one router and counts the final answers.
struct Chaos {
  Fixture it;
  std::mt19937 random;
  int arrivals = 0;
  std::map<std::uint64_t, int> finals;  // by sequence
  std::set<std::uint64_t> keyed_arrivals;
  std::map<std::uint64_t, int> unsure;    // attempts that may have run
  std::vector<DispatchRequest> attempts;  // all, for late and repeated ends
  std::vector<WriteBinding> writes;       // not answered yet
  std::vector<ReadBinding> reads;         // not answered yet
  std::vector<protocol::Revoke> revokes;
  bool draining = false;

  explicit Chaos(std::uint32_t seed) : random(seed) {
    // Short enough to pass while agents are heard of.
    config::FleetConfig config = MakeConfig();
    config.version = static_cast<common::ConfigVersion>(2);
    config.kinds[kChat].default_deadline = seconds(1);
    config.kinds[kOrder].default_deadline = seconds(1);
    it.Send(ConfigReceived{.config = config});
  }

  int Draw(int below) { return static_cast<int>(random() % below); }
  bool Chance(int percent) { return Draw(100) < percent; }
  const ProcessName& AnyAgent() { return Chance(50) ? kA : kB; }
  Incarnation AnyIncarnation() { return Chance(90) ? kFirst : kSecond; }

  void Note(const RouterActions& actions) {
    for (const RouterAction& action : actions) {
      if (const auto* refuse = std::get_if<RefuseRequest>(&action)) {
        ++finals[refuse->id.sequence];
        const bool keyed = keyed_arrivals.count(refuse->id.sequence) > 0;
        if (!keyed && refuse->refusal.verdict == Verdict::kNotRun) {
          RC_ASSERT(unsure[refuse->id.sequence] == 0);
        }
      } else if (const auto* cut = std::get_if<TruncateResponse>(&action)) {
        ++finals[cut->id.sequence];
      } else if (const auto* dispatch = std::get_if<DispatchRequest>(&action)) {
        RC_ASSERT(dispatch->time_left > common::Duration());
        attempts.push_back(*dispatch);
        ++unsure[dispatch->id.sequence];
      } else if (const auto* write = std::get_if<WriteBinding>(&action)) {
        writes.push_back(*write);
      } else if (const auto* read = std::get_if<ReadBinding>(&action)) {
        reads.push_back(*read);
      }
    }
    for (const auto& it : Sent<protocol::Revoke>(actions)) {
      revokes.push_back(it);
    }
  }

  void EndAttempt() {
    if (attempts.empty()) return;
    const DispatchRequest attempt =
        attempts[Draw(static_cast<int>(attempts.size()))];
    const auto outcome = static_cast<DispatchOutcome>(Draw(4));
    const auto request = it.router.requests.find(attempt.id);
    const bool current = request != it.router.requests.end() &&
                         request->second.attempt == attempt.attempt;
    const bool dispatched =
        current && request->second.phase == Phase::kDispatched;
    const auto verdict = static_cast<Verdict>(Draw(2));
    const bool not_run =
        outcome == DispatchOutcome::kNotSent ||
        (outcome == DispatchOutcome::kRefused && verdict == Verdict::kNotRun);
    if (dispatched && not_run) --unsure[attempt.id.sequence];
    if (current && outcome == DispatchOutcome::kCompleted) {
      ++finals[attempt.id.sequence];
    }
    Note(it.Send(DispatchEnded{
        .id = attempt.id,
        .attempt = attempt.attempt,
        .outcome = outcome,
        .refusal = {.verdict = verdict,
                    .reason = kReasons.at(Draw(kReasons.size()))}}));
    if (current && outcome == DispatchOutcome::kCompleted) {
      RC_ASSERT(it.router.requests.count(attempt.id) == 0);
    }
  }

  std::string AnyBinding() {
    return FormatBinding(
        {.tombstone = Chance(50),
         .owner = {.agent = AnyAgent(), .incarnation = AnyIncarnation()},
         .written_by = it.Id(99)});
  }

  void AnswerStore() {
    if (!reads.empty()) {
      const ReadBinding read = reads.back();
      reads.pop_back();
      const bool absent = Chance(50);
      Note(it.Send(BindingRead{.id = read.id,
                               .outcome = Chance(80)
                                              ? StoreOutcome::kOk
                                              : StoreOutcome::kUnavailable,
                               .revision = absent ? 0U : 1U,
                               .value = absent ? "" : AnyBinding()}));
    }
    if (writes.empty()) return;
    const WriteBinding write = writes.back();
    writes.pop_back();
    const auto outcome = static_cast<StoreOutcome>(Draw(3));
    Note(it.Send(BindingWritten{
        .id = write.id,
        .outcome = outcome,
        .revision = write.expected_revision + 1,
        .value = outcome == StoreOutcome::kOk ? write.value : AnyBinding()}));
  }

  void LeaveCaller() {
    if (arrivals == 0) return;
    const common::RequestId id = it.Id(1 + Draw(arrivals));
    if (it.router.requests.count(id) > 0) ++finals[id.sequence];
    Note(it.Send(CallerLeft{.id = id}));
  }

  void ReplyToRevoke() {
    if (revokes.empty()) return;
    const protocol::Revoke& revoke =
        revokes[Draw(static_cast<int>(revokes.size()))];
    Note(it.Receive(
        AnyAgent(), AnyIncarnation(),
        protocol::RevokeReply{.request = revoke.request, .begun = Chance(50)}));
  }

  void Step() {
    switch (Draw(12)) {
      case 0:
        return Note(it.Arrive(++arrivals, 10, Draw(4)));
      case 1: {
        const bool ticket = Chance(50);
        const Ticket named{
            .owner = {.agent = AnyAgent(), .incarnation = AnyIncarnation()}};
        keyed_arrivals.insert(++arrivals);
        return Note(
            it.ArriveKeyed(arrivals, ticket ? FormatTicket(named) : "key"));
      }
      case 2:
      case 3:
        return EndAttempt();
      case 4:
        return Note(it.Beat(
            AnyAgent(), Draw(3), AnyIncarnation(),
            static_cast<protocol::AgentState>(Chance(80) ? 0 : Draw(4))));
      case 5:
        return Note(it.Grant(AnyAgent(), Draw(50) + 1, AnyIncarnation()));
      case 6:
        return AnswerStore();
      case 7:
        return ReplyToRevoke();
      case 8:
        if (attempts.empty()) return;
        return Note(it.Send(ResponseStarted{
            .id = attempts.back().id, .attempt = attempts.back().attempt}));
      case 9:
        if (Chance(30)) LeaveCaller();
        if (Chance(2)) Note(it.Send(DrainRequested{}));
        return Note(it.Receive(
            kA, kFirst,
            protocol::Suspects{
                .rows = {
                    {.fingerprint = static_cast<common::Fingerprint>(Draw(4)),
                     .crashes = Draw(3),
                     .ban_left = milliseconds(Draw(10) == 0 ? 1000 : 0)}}}));
      default:
        return Note(it.Tick(milliseconds(Draw(20) == 0 ? 3000 : Draw(300))));
    }
  }

  void CheckInvariants() {
    const RouterState& router = it.router;
    int queued = 0;
    std::size_t dispatched = 0;
    RC_ASSERT(router.timers.size() == router.requests.size());
    for (const auto& [id, request] : router.requests) {
      RC_ASSERT(finals.count(id.sequence) == 0);
      RC_ASSERT(router.timers.count({request.timer, id}) == 1);
      const common::TimePoint latest =
          request.deadline + router.options.confirm_timeout + seconds(4);
      RC_ASSERT(request.timer <= latest);
      queued += request.phase == Phase::kQueued ? 1 : 0;
      if (request.phase != Phase::kDispatched) continue;
      ++dispatched;
      RC_ASSERT(router.agents.agents.at(request.agent).in_flight.count(id) ==
                1);
    }
    int waiting = 0;
    for (const auto& [name, pool] : router.pools) waiting += pool.queue.waiting;
    RC_ASSERT(waiting == queued);
    std::size_t in_flight = 0;
    for (const auto& [name, agent] : router.agents.agents) {
      in_flight += agent.in_flight.size();
      RC_ASSERT(agent.suspects_in_flight >= 0);
      RC_ASSERT(agent.suspects_in_flight <=
                static_cast<int>(agent.in_flight.size()));
    }
    RC_ASSERT(in_flight == dispatched);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(InterleavingTest)

// Guards against two final answers for a request, a request that is never
// answered, a "not run" after an attempt that may have run, a timer that is
// missing or left behind, and a slot or a queue entry that is leaked, under
// late, repeated and crossed events.
BOOST_AUTO_TEST_CASE(EveryArrivalGetsOneFinalAnswer) {
  test::CheckProperty("one final answer per arrival", [] {
    Chaos chaos(*rc::gen::arbitrary<std::uint32_t>());
    chaos.Note(chaos.it.Beat(kA, 3));
    const int steps = *rc::gen::inRange(1, 400);
    for (int i = 0; i < steps; ++i) {
      chaos.Step();
      chaos.CheckInvariants();
    }
    // All deadlines pass; nobody answers any more.
    chaos.Note(chaos.it.Tick(seconds(11)));
    chaos.Note(chaos.it.Tick(seconds(1)));
    chaos.CheckInvariants();
    RC_ASSERT(chaos.it.router.requests.empty());
    for (int i = 1; i <= chaos.arrivals; ++i) {
      RC_ASSERT(chaos.finals[static_cast<std::uint64_t>(i)] == 1);
    }
    for (const auto& [name, agent] : chaos.it.router.agents.agents) {
      RC_ASSERT(agent.in_flight.empty());
      RC_ASSERT(agent.suspects_in_flight == 0);
    }
  });
}

// Guards against a repeated arrival event that starts a request twice.
BOOST_AUTO_TEST_CASE(RepeatedArrivalIsIgnored) {
  Fixture it;
  it.Beat(kA, 5);
  BOOST_CHECK_EQUAL(Only<DispatchRequest>(it.Arrive(1)).size(), 1);
  BOOST_CHECK(it.Arrive(1).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::routing::testing
