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

constexpr std::array kReasons = {Reason::kBusy,
                                 Reason::kDraining,
                                 Reason::kSuspectIsolated,
                                 Reason::kKeyRevoked,
                                 Reason::kUpstreamFailed,
                                 Reason::kUpstreamRefused,
                                 Reason::kCrashesUpstreams,
                                 Reason::kBadRequest};

// Sends random events to one router and counts the final answers.
struct RandomEvents {
  Fixture fixture;
  std::mt19937 random;
  int arrivals = 0;
  std::map<std::uint64_t, int> final_answers;  // by sequence number
  std::set<std::uint64_t> keyed_arrivals;
  // Number of attempts that may have run.
  std::map<std::uint64_t, int> possible_runs;
  // All attempts, for late and repeated ends.
  std::vector<DispatchRequest> attempts;
  std::vector<WriteBinding> writes;  // not answered yet
  std::vector<ReadBinding> reads;    // not answered yet
  std::vector<protocol::Revoke> revokes;
  bool draining = false;

  explicit RandomEvents(std::uint32_t seed) : random(seed) {
    // Short enough for deadlines to pass while agents still send heartbeats.
    config::FleetConfig config = MakeConfig();
    config.version = static_cast<common::ConfigVersion>(2);
    config.kinds[kChat].default_deadline = seconds(1);
    config.kinds[kOrder].default_deadline = seconds(1);
    fixture.Send(ConfigReceived{.config = config});
  }

  int Draw(int below) { return static_cast<int>(random() % below); }
  bool Chance(int percent) { return Draw(100) < percent; }
  const ProcessName& AnyAgent() { return Chance(50) ? kAgentA : kAgentB; }
  Incarnation AnyIncarnation() {
    return Chance(90) ? kFirstIncarnation : kSecondIncarnation;
  }

  void RecordActions(const RouterActions& actions) {
    for (const RouterAction& action : actions) {
      if (const auto* refuse = std::get_if<RefuseRequest>(&action)) {
        ++final_answers[refuse->id.sequence];
        const bool keyed = keyed_arrivals.count(refuse->id.sequence) > 0;
        if (!keyed && refuse->refusal.verdict == Verdict::kNotRun) {
          RC_ASSERT(possible_runs[refuse->id.sequence] == 0);
        }
      } else if (const auto* truncation =
                     std::get_if<TruncateResponse>(&action)) {
        ++final_answers[truncation->id.sequence];
      } else if (const auto* dispatch = std::get_if<DispatchRequest>(&action)) {
        RC_ASSERT(dispatch->time_left > common::Duration());
        attempts.push_back(*dispatch);
        ++possible_runs[dispatch->id.sequence];
      } else if (const auto* write = std::get_if<WriteBinding>(&action)) {
        writes.push_back(*write);
      } else if (const auto* read = std::get_if<ReadBinding>(&action)) {
        reads.push_back(*read);
      }
    }
    for (const auto& message : SentBodies<protocol::Revoke>(actions)) {
      revokes.push_back(message);
    }
  }

  void EndAttempt() {
    if (attempts.empty()) return;
    const DispatchRequest attempt =
        attempts[Draw(static_cast<int>(attempts.size()))];
    const auto outcome = static_cast<DispatchOutcome>(Draw(4));
    const auto request = fixture.router.requests.find(attempt.id);
    const bool current = request != fixture.router.requests.end() &&
                         request->second.attempt == attempt.attempt;
    const bool dispatched =
        current && request->second.phase == Phase::kDispatched;
    const auto verdict = static_cast<Verdict>(Draw(2));
    const bool not_run =
        outcome == DispatchOutcome::kNotSent ||
        (outcome == DispatchOutcome::kRefused && verdict == Verdict::kNotRun);
    if (dispatched && not_run) --possible_runs[attempt.id.sequence];
    if (current && outcome == DispatchOutcome::kCompleted) {
      ++final_answers[attempt.id.sequence];
    }
    RecordActions(fixture.Send(DispatchEnded{
        .id = attempt.id,
        .attempt = attempt.attempt,
        .outcome = outcome,
        .refusal = {.verdict = verdict,
                    .reason = kReasons.at(Draw(kReasons.size()))}}));
    if (current && outcome == DispatchOutcome::kCompleted) {
      RC_ASSERT(fixture.router.requests.count(attempt.id) == 0);
    }
  }

  std::string AnyBinding() {
    return FormatBinding(
        {.tombstone = Chance(50),
         .owner = {.agent = AnyAgent(), .incarnation = AnyIncarnation()},
         .written_by = fixture.Id(99)});
  }

  void AnswerStore() {
    if (!reads.empty()) {
      const ReadBinding read = reads.back();
      reads.pop_back();
      const bool absent = Chance(50);
      RecordActions(fixture.Send(
          BindingRead{.id = read.id,
                      .outcome = Chance(80) ? StoreOutcome::kOk
                                            : StoreOutcome::kUnavailable,
                      .revision = absent ? 0U : 1U,
                      .value = absent ? "" : AnyBinding()}));
    }
    if (writes.empty()) return;
    const WriteBinding write = writes.back();
    writes.pop_back();
    const auto outcome = static_cast<StoreOutcome>(Draw(3));
    RecordActions(fixture.Send(BindingWritten{
        .id = write.id,
        .outcome = outcome,
        .revision = write.expected_revision + 1,
        .value = outcome == StoreOutcome::kOk ? write.value : AnyBinding()}));
  }

  void DisconnectCaller() {
    if (arrivals == 0) return;
    const common::RequestId id = fixture.Id(1 + Draw(arrivals));
    if (fixture.router.requests.count(id) > 0) ++final_answers[id.sequence];
    RecordActions(fixture.Send(CallerDisconnected{.id = id}));
  }

  void ReplyToRevoke() {
    if (revokes.empty()) return;
    const protocol::Revoke& revoke =
        revokes[Draw(static_cast<int>(revokes.size()))];
    RecordActions(
        fixture.Receive(AnyAgent(), AnyIncarnation(),
                        protocol::RevokeReply{.request = revoke.request,
                                              .started = Chance(50)}));
  }

  void Step() {
    switch (Draw(12)) {
      case 0:
        return RecordActions(fixture.Arrive(++arrivals, 10, Draw(4)));
      case 1: {
        const bool ticket = Chance(50);
        const Ticket named{
            .owner = {.agent = AnyAgent(), .incarnation = AnyIncarnation()}};
        keyed_arrivals.insert(++arrivals);
        return RecordActions(fixture.ArriveKeyed(
            arrivals, ticket ? FormatTicket(named) : "key"));
      }
      case 2:
      case 3:
        return EndAttempt();
      case 4:
        return RecordActions(fixture.ReceiveHeartbeat(
            AnyAgent(), Draw(3), AnyIncarnation(),
            static_cast<protocol::AgentState>(Chance(80) ? 0 : Draw(4))));
      case 5:
        return RecordActions(
            fixture.Grant(AnyAgent(), Draw(50) + 1, AnyIncarnation()));
      case 6:
        return AnswerStore();
      case 7:
        return ReplyToRevoke();
      case 8:
        if (attempts.empty()) return;
        return RecordActions(fixture.Send(ResponseStarted{
            .id = attempts.back().id, .attempt = attempts.back().attempt}));
      case 9:
        if (Chance(30)) DisconnectCaller();
        if (Chance(2)) RecordActions(fixture.Send(DrainRequested{}));
        return RecordActions(fixture.Receive(
            kAgentA, kFirstIncarnation,
            protocol::Suspects{
                .rows = {
                    {.fingerprint = static_cast<common::Fingerprint>(Draw(4)),
                     .crashes = Draw(3),
                     .ban_left = milliseconds(Draw(10) == 0 ? 1000 : 0)}}}));
      default:
        return RecordActions(
            fixture.Tick(milliseconds(Draw(20) == 0 ? 3000 : Draw(300))));
    }
  }

  void CheckInvariants() {
    const RouterState& router = fixture.router;
    int queued = 0;
    std::size_t dispatched = 0;
    RC_ASSERT(router.timers.size() == router.requests.size());
    for (const auto& [id, request] : router.requests) {
      RC_ASSERT(final_answers.count(id.sequence) == 0);
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

BOOST_AUTO_TEST_SUITE(RandomEventsTest)

// Guards against two final answers to a request, a request that is never
// answered, a "not run" after an attempt that may have run, a missing or leaked
// timer, and a leaked slot or queue entry, under late, repeated and reordered
// events.
BOOST_AUTO_TEST_CASE(EveryArrivalGetsOneFinalAnswer) {
  test::CheckProperty("one final answer per arrival", [] {
    RandomEvents events(*rc::gen::arbitrary<std::uint32_t>());
    events.RecordActions(events.fixture.ReceiveHeartbeat(kAgentA, 3));
    const int steps = *rc::gen::inRange(1, 400);
    for (int i = 0; i < steps; ++i) {
      events.Step();
      events.CheckInvariants();
    }
    // All deadlines pass; no other process answers any more.
    events.RecordActions(events.fixture.Tick(seconds(11)));
    events.RecordActions(events.fixture.Tick(seconds(1)));
    events.CheckInvariants();
    RC_ASSERT(events.fixture.router.requests.empty());
    for (int i = 1; i <= events.arrivals; ++i) {
      RC_ASSERT(events.final_answers[static_cast<std::uint64_t>(i)] == 1);
    }
    for (const auto& [name, agent] : events.fixture.router.agents.agents) {
      RC_ASSERT(agent.in_flight.empty());
      RC_ASSERT(agent.suspects_in_flight == 0);
    }
  });
}

// Guards against a repeated arrival event that starts a request twice.
BOOST_AUTO_TEST_CASE(RepeatedArrivalIsIgnored) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 5);
  BOOST_CHECK_EQUAL(ActionsOfType<DispatchRequest>(fixture.Arrive(1)).size(),
                    1);
  BOOST_CHECK(fixture.Arrive(1).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::routing::testing
