#include "Core/Routing/Fixture.h"
#include "Core/Routing/KeyedSimulation.h"
#include "Property.h"

namespace shallotbeam::routing::testing {

namespace {

using common::Reason;
using common::Verdict;

// A router that waits for the store to write the binding of request 1 to agent
// A.
struct PendingBinding : Fixture {
  std::string value;

  PendingBinding() {
    ReceiveHeartbeat(kAgentA, 1);
    ArriveKeyed(1, "key");
    const auto writes = ActionsOfType<WriteBinding>(
        Send(BindingRead{.id = Id(1), .outcome = StoreOutcome::kOk}));
    if (writes.size() == 1) value = writes.front().value;
  }
  RouterActions AnswerWrite(StoreOutcome outcome, std::uint64_t revision,
                            const std::string& current) {
    return Send(BindingWritten{.id = Id(1),
                               .outcome = outcome,
                               .revision = revision,
                               .value = current});
  }
  RouterActions CompleteWrite() {
    return AnswerWrite(StoreOutcome::kOk, 5, value);
  }
  RouterActions ReplyToRevoke(bool started,
                              Incarnation incarnation = kFirstIncarnation) {
    return Receive(kAgentA, incarnation,
                   protocol::RevokeReply{.request = Id(1), .started = started});
  }
};

void CheckSimulation(std::uint32_t seed, int steps, bool ticket) {
  KeyedSimulation simulation(seed);
  if (ticket) {
    const FakeAgent& agent = simulation.AgentAt(0);
    simulation.SetKey(FormatTicket(
        {.owner = {.agent = agent.name, .incarnation = agent.incarnation}}));
  }
  for (int i = 0; i < steps; ++i) simulation.Step();
  simulation.Finish();
  if (!simulation.Violation().empty()) {
    RC_FAIL(simulation.Violation() + ", seed " + std::to_string(seed));
  }
  RC_ASSERT(simulation.Runs() <= 1);
  RC_ASSERT(simulation.AllAnswered());
}

// The rarest fault found showed up only after 2,200 simulations, so every case
// of the property runs many simulations.
void CheckSimulations(bool ticket) {
  constexpr int kSimulations = 50;
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  const int steps = *rc::gen::inRange(1, 300);
  for (int i = 0; i < kSimulations; ++i) {
    CheckSimulation(seed + i, steps, ticket);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(IdempotencyKeyTest)

// Guards against a key that runs twice, and against a false "not run" for the
// refused send or an earlier one, under lost, late and reordered messages,
// agent restarts and store failures.
BOOST_AUTO_TEST_CASE(CallersKeyRunsOnceAndVerdictsAreTrue) {
  test::CheckProperty("callers' own keys", [] { CheckSimulations(false); });
}

// Guards against the same failures for tickets.
BOOST_AUTO_TEST_CASE(TicketRunsOnceAndVerdictsAreTrue) {
  test::CheckProperty("tickets", [] { CheckSimulations(true); });
}

// Guards against a dispatch after the deadline when the store answers the write
// of the binding before the next tick.
BOOST_AUTO_TEST_CASE(DeadlineDuringTheWriteIsEnforced) {
  PendingBinding fixture;
  fixture.now += seconds(10);
  fixture.ReceiveHeartbeat(kAgentA, 1);
  const auto actions = fixture.CompleteWrite();
  BOOST_CHECK(ActionsOfType<DispatchRequest>(actions).empty());
  BOOST_CHECK_EQUAL(SentBodies<protocol::Revoke>(actions).size(), 1);
}

// Guards against "not run" while the write may still take effect, and against a
// dispatch when the write takes effect.
BOOST_AUTO_TEST_CASE(DeadlineBeforeTheWriteIsAnsweredMayHaveRun) {
  PendingBinding fixture;
  const auto actions = fixture.Tick(seconds(10));
  BOOST_CHECK(RefusalIn(actions).verdict == Verdict::kMayHaveRun);
  BOOST_CHECK(RefusalIn(actions).reason == Reason::kDeadlineExceeded);
  BOOST_CHECK(fixture.CompleteWrite().empty());
}

// Guards against a second run: another router may have dispatched according to
// the binding that this router wrote before the owner died.
BOOST_AUTO_TEST_CASE(OwnBindingToADeadOwnerIsNotReplaced) {
  PendingBinding fixture;
  fixture.ReceiveHeartbeat(kAgentA, 1, kSecondIncarnation);
  const auto actions = fixture.CompleteWrite();
  BOOST_CHECK(ActionsOfType<WriteBinding>(actions).empty());
  BOOST_CHECK(RefusalIn(actions).verdict == Verdict::kMayHaveRun);
}

// Guards against "not run" for a key whose store entry can't be parsed.
BOOST_AUTO_TEST_CASE(UnreadableBindingMayHaveRun) {
  PendingBinding fixture;
  const auto actions =
      fixture.AnswerWrite(StoreOutcome::kConflict, 9, "garbage");
  BOOST_CHECK(RefusalIn(actions).verdict == Verdict::kMayHaveRun);
}

// Guards against an earlier send that read another router's tombstone and
// replaces the tombstone by a binding after this send was refused.
BOOST_AUTO_TEST_CASE(ConflictingTombstoneIsOverwritten) {
  PendingBinding fixture;
  const std::string other =
      FormatBinding({.tombstone = true, .written_by = fixture.Id(9)});
  const auto writes = ActionsOfType<WriteBinding>(
      fixture.AnswerWrite(StoreOutcome::kConflict, 9, other));
  BOOST_REQUIRE_EQUAL(writes.size(), 1);
  BOOST_CHECK_EQUAL(writes.front().expected_revision, 9);
  BOOST_CHECK(ParseBinding(writes.front().value)->tombstone);
  const auto actions =
      fixture.AnswerWrite(StoreOutcome::kOk, 10, writes.front().value);
  BOOST_CHECK(RefusalIn(actions).verdict == Verdict::kNotRun);
}

// Guards against an earlier send that runs, with its own body, under the
// binding of a later send, although a send between the two was refused as not
// run.
BOOST_AUTO_TEST_CASE(BindingAfterATombstoneIsNotAdopted) {
  for (const std::uint64_t epoch : {0, 1}) {
    PendingBinding fixture;
    const std::string other = FormatBinding(
        {.owner = {.agent = kAgentA, .incarnation = kFirstIncarnation},
         .written_by = fixture.Id(9),
         .epoch = epoch});
    const auto actions = fixture.AnswerWrite(StoreOutcome::kConflict, 9, other);
    BOOST_CHECK_EQUAL(ActionsOfType<DispatchRequest>(actions).size(),
                      1 - epoch);
    if (epoch == 0) continue;
    BOOST_CHECK(RefusalIn(actions).verdict == Verdict::kMayHaveRun);
  }
}

// Guards against a send that runs although the store executes its read only
// after a later send was refused as not run, and against a key that can no
// longer be bound after that.
BOOST_AUTO_TEST_CASE(TombstoneReadLateIsNotReplaced) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 5);
  const std::string tombstone = FormatBinding(
      {.tombstone = true, .written_by = fixture.Id(9), .epoch = 1});
  fixture.ArriveKeyed(1, "key");
  auto actions = fixture.Send(
      BindingRead{.id = fixture.Id(1), .revision = 9, .value = tombstone});
  BOOST_CHECK(ActionsOfType<WriteBinding>(actions).empty());
  BOOST_CHECK(RefusalIn(actions).verdict == Verdict::kMayHaveRun);
  BOOST_CHECK(RefusalIn(actions).retry_after.has_value());
  fixture.ArriveKeyed(2, "key");
  actions = fixture.Send(
      BindingRead{.id = fixture.Id(2), .revision = 9, .value = tombstone});
  BOOST_CHECK_EQUAL(ActionsOfType<WriteBinding>(actions).size(), 1);
}

// Guards against a write that is mistaken for an earlier write with the same
// value.
BOOST_AUTO_TEST_CASE(EveryWriteHasItsOwnValue) {
  PendingBinding fixture;
  fixture.CompleteWrite();
  fixture.RefuseNotRun(1, 1, Reason::kBusy);
  const auto writes = ActionsOfType<WriteBinding>(fixture.Grant(kAgentA, 1));
  BOOST_REQUIRE_EQUAL(writes.size(), 1);
  BOOST_CHECK_EQUAL(writes.front().expected_revision, 5);
  BOOST_CHECK(writes.front().value != fixture.value);
}

// Guards against "not run" that relies on the agent's reply alone, on the reply
// of another incarnation, or on a late reply.
BOOST_AUTO_TEST_CASE(NotRunNeedsTheOwnersReplyAndATombstone) {
  PendingBinding fixture;
  fixture.CompleteWrite();
  auto actions = fixture.RefuseNotRun(1, 1, Reason::kCrashesUpstreams);
  BOOST_CHECK(ActionsOfType<RefuseRequest>(actions).empty());
  BOOST_CHECK_EQUAL(SentBodies<protocol::Revoke>(actions).size(), 1);
  BOOST_CHECK(fixture.ReplyToRevoke(false, kSecondIncarnation).empty());
  const auto writes = ActionsOfType<WriteBinding>(fixture.ReplyToRevoke(false));
  BOOST_REQUIRE_EQUAL(writes.size(), 1);
  BOOST_CHECK_EQUAL(writes.front().expected_revision, 5);
  BOOST_CHECK(fixture.ReplyToRevoke(false).empty());
  fixture.ReceiveHeartbeat(kAgentA, 1);
  actions = fixture.Tick(fixture.router.options.confirm_timeout);
  BOOST_CHECK(RefusalIn(actions).verdict == Verdict::kMayHaveRun);
  BOOST_CHECK(
      fixture.AnswerWrite(StoreOutcome::kOk, 6, writes.front().value).empty());
}

// Guards against a slot that stays reserved when the caller disconnects or the
// store fails during the write.
BOOST_AUTO_TEST_CASE(GrantIsReturnedWhenTheWriteIsAbandonedOrFails) {
  for (const bool caller_disconnected : {true, false}) {
    Fixture fixture;
    fixture.ReceiveHeartbeat(kAgentA, 0);
    fixture.ArriveKeyed(1, "key");
    fixture.Send(
        BindingRead{.id = fixture.Id(1), .outcome = StoreOutcome::kOk});
    BOOST_CHECK_EQUAL(
        ActionsOfType<WriteBinding>(fixture.Grant(kAgentA, 7)).size(), 1);
    const auto actions =
        caller_disconnected
            ? fixture.Send(CallerDisconnected{.id = fixture.Id(1)})
            : fixture.Send(BindingWritten{
                  .id = fixture.Id(1), .outcome = StoreOutcome::kUnavailable});
    BOOST_CHECK_EQUAL(SentBodies<protocol::GrantReturn>(actions).size(), 1);
  }
}

// Guards against a flood of refusals that exhausts the write rate of the store.
BOOST_AUTO_TEST_CASE(ConfirmationsAreLimited) {
  Fixture fixture;
  fixture.Send(DrainRequested{});
  std::size_t writes = 0;
  std::size_t unknown = 0;
  for (int i = 1; i <= 200; ++i) {
    const auto actions = fixture.ArriveKeyed(i, "key " + std::to_string(i));
    writes += ActionsOfType<WriteBinding>(actions).size();
    if (RefusalIn(actions).verdict == Verdict::kMayHaveRun) ++unknown;
  }
  BOOST_CHECK_EQUAL(writes, 50);
  BOOST_CHECK_EQUAL(unknown, 150);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::routing::testing
