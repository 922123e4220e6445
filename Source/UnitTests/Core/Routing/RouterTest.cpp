#include "Core/Routing/Fixture.h"
#include "Property.h"
#include "Routing/Router.h"

namespace shallotbeam::routing::testing {

namespace {

using common::Reason;
using common::Verdict;

constexpr std::uint64_t kFingerprint = 7;

void MarkSuspect(Fixture& fixture, milliseconds ban_left = milliseconds(0)) {
  fixture.Receive(kAgentA, kFirstIncarnation,
                  protocol::Suspects{
                      .rows = {{.fingerprint = static_cast<common::Fingerprint>(
                                    kFingerprint),
                                .crashes = 1,
                                .ban_left = ban_left}}});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RouterTest)

// Guards against a request that is sent to a busy agent again and again.
BOOST_AUTO_TEST_CASE(BusyRefusalWaitsForAGrant) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 1);
  BOOST_CHECK_EQUAL(ActionsOfType<DispatchRequest>(fixture.Arrive(1)).size(),
                    1);
  const auto actions = fixture.RefuseNotRun(1, 1, Reason::kBusy);
  BOOST_CHECK(ActionsOfType<DispatchRequest>(actions).empty());
  BOOST_CHECK_EQUAL(SentBodies<protocol::Demand>(fixture.Tick()).size(), 1);
  const auto granted =
      ActionsOfType<DispatchRequest>(fixture.Grant(kAgentA, 9));
  BOOST_REQUIRE_EQUAL(granted.size(), 1);
  BOOST_CHECK_EQUAL(granted.front().attempt, 2);
  BOOST_CHECK(granted.front().grant == static_cast<common::GrantId>(9));
}

// Guards against workspace names that can be guessed by trying.
BOOST_AUTO_TEST_CASE(UnknownWorkspaceLooksLikeAWrongCredential) {
  Fixture fixture;
  config::FleetConfig config = fixture.router.config;
  config.version =
      static_cast<common::ConfigVersion>(common::ToNumber(config.version) + 1);
  config.workspaces[kWorkspace].credential_sha256 = "aa";
  fixture.Send(ConfigReceived{.config = config});
  const RequestArrived known{.id = fixture.Id(1),
                             .workspace = kWorkspace,
                             .kind = kChat,
                             .credential_sha256 = "bb"};
  RequestArrived unknown = known;
  unknown.id = fixture.Id(2);
  unknown.workspace = common::WorkspaceName("nobody");
  BOOST_CHECK(RefusalIn(fixture.Send(known)).reason == Reason::kBadCredential);
  BOOST_CHECK(RefusalIn(fixture.Send(unknown)).reason ==
              Reason::kBadCredential);
}

// Guards against more work for an agent that has just answered that it is
// draining.
BOOST_AUTO_TEST_CASE(DrainingRefusalUpdatesTheAgentState) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 5);
  fixture.ReceiveHeartbeat(kAgentB, 1);
  fixture.Arrive(1);
  const auto next = ActionsOfType<DispatchRequest>(
      fixture.RefuseNotRun(1, 1, Reason::kDraining));
  BOOST_REQUIRE_EQUAL(next.size(), 1);
  BOOST_CHECK_EQUAL(next.front().agent.value, kAgentB.value);
  fixture.ReceiveHeartbeat(kAgentB, 1);
  const auto second = ActionsOfType<DispatchRequest>(fixture.Arrive(2));
  BOOST_REQUIRE_EQUAL(second.size(), 1);
  BOOST_CHECK_EQUAL(second.front().agent.value, kAgentB.value);
}

// Guards against a suspect that is refused and sent again at once, as fast as
// the network allows.
BOOST_AUTO_TEST_CASE(IsolatedSuspectIsRetriedWithBackoff) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 5);
  MarkSuspect(fixture);
  int dispatches = 0;
  auto actions = fixture.Arrive(1, 10, kFingerprint);
  const common::TimePoint end = fixture.now + seconds(1);
  std::uint64_t grant = 0;
  while (fixture.now < end) {
    for (const DispatchRequest& dispatch :
         ActionsOfType<DispatchRequest>(actions)) {
      BOOST_CHECK(dispatch.suspect);
      ++dispatches;
      fixture.RefuseNotRun(1, dispatch.attempt, Reason::kSuspectIsolated);
    }
    fixture.ReceiveHeartbeat(kAgentA, 5);
    actions = fixture.Tick();
    const auto granted = fixture.Grant(kAgentA, ++grant);
    actions.insert(actions.end(), granted.begin(), granted.end());
  }
  // Delays of 20, 40, ... 640 ms fit into 1 s at most six times.
  BOOST_CHECK_GE(dispatches, 4);
  BOOST_CHECK_LE(dispatches, 7);
}

// Guards against two suspects at one agent, and against other requests that
// wait behind a suspect.
BOOST_AUTO_TEST_CASE(GrantSkipsASecondSuspect) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 1);
  MarkSuspect(fixture);
  BOOST_CHECK_EQUAL(
      ActionsOfType<DispatchRequest>(fixture.Arrive(1, 10, kFingerprint))
          .size(),
      1);
  fixture.Arrive(2, 10, kFingerprint);
  fixture.Arrive(3);
  const auto granted =
      ActionsOfType<DispatchRequest>(fixture.Grant(kAgentA, 1));
  BOOST_REQUIRE_EQUAL(granted.size(), 1);
  BOOST_CHECK(granted.front().id == fixture.Id(3));
  fixture.EndAttempt(1, 1, DispatchOutcome::kCompleted);
  fixture.Tick(seconds(0));
  fixture.ReceiveHeartbeat(kAgentA, 1);
  BOOST_CHECK_EQUAL(ActionsOfType<DispatchRequest>(fixture.Tick()).size(), 1);
}

// Guards against a request that runs although it was banned while it waited.
BOOST_AUTO_TEST_CASE(BanReachesQueuedRequests) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 0);
  fixture.Arrive(1, 10, kFingerprint);
  MarkSuspect(fixture, seconds(600));
  const auto actions = fixture.Grant(kAgentA, 1);
  BOOST_CHECK(ActionsOfType<DispatchRequest>(actions).empty());
  BOOST_CHECK(RefusalIn(actions).reason == Reason::kCrashesUpstreams);
  BOOST_CHECK_EQUAL(SentBodies<protocol::GrantReturn>(actions).size(), 1);
  BOOST_CHECK(RefusalIn(fixture.Arrive(2, 10, kFingerprint)).reason ==
              Reason::kCrashesUpstreams);
}

// Guards against requests that wait until their deadlines in a pool without
// agents.
BOOST_AUTO_TEST_CASE(PoolWithoutAgentsRefusesAtOnce) {
  Fixture fixture;
  fixture.Tick(fixture.router.options.no_upstream_grace);
  const common::Refusal refusal = RefusalIn(fixture.Arrive(1));
  BOOST_CHECK(refusal.reason == Reason::kNoUpstream);
  BOOST_CHECK(refusal.verdict == Verdict::kNotRun);
  BOOST_CHECK(refusal.retry_after.has_value());
}

// Guards against refusals during the restart of an agent or of this router.
BOOST_AUTO_TEST_CASE(ShortOutageRefusesNoRequests) {
  Fixture fixture;
  BOOST_CHECK(ActionsOfType<RefuseRequest>(fixture.Arrive(1)).empty());
  fixture.Tick(seconds(4));
  fixture.ReceiveHeartbeat(kAgentA, 0);
  for (int i = 0; i < 9; ++i) {
    fixture.ReceiveHeartbeat(kAgentA, 5, kFirstIncarnation,
                             protocol::AgentState::kUpstreamDown);
    BOOST_CHECK(
        ActionsOfType<RefuseRequest>(fixture.Tick(milliseconds(500))).empty());
  }
  const common::Refusal refusal = RefusalIn(fixture.Tick(milliseconds(500)));
  BOOST_CHECK(refusal.reason == Reason::kNoUpstream);
  BOOST_CHECK(refusal.verdict == Verdict::kNotRun);
}

// Guards against queues that exceed their limits in requests or bytes.
BOOST_AUTO_TEST_CASE(QueueIsBounded) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 0);
  BOOST_CHECK(ActionsOfType<RefuseRequest>(fixture.Arrive(1, 900)).empty());
  BOOST_CHECK(RefusalIn(fixture.Arrive(2, 101)).reason == Reason::kQueueFull);
  for (int i = 3; i < 6; ++i) {
    BOOST_CHECK(ActionsOfType<RefuseRequest>(fixture.Arrive(i)).empty());
  }
  const common::Refusal full = RefusalIn(fixture.Arrive(6));
  BOOST_CHECK(full.reason == Reason::kQueueFull);
  BOOST_CHECK(full.retry_after.has_value());
  BOOST_CHECK_EQUAL(fixture.router.requests.size(), 4);
}

// Guards against requests that wait although they can't meet their deadline.
BOOST_AUTO_TEST_CASE(RequestThatCannotMeetItsDeadlineIsRefused) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 0);
  fixture.Arrive(1);
  fixture.Arrive(2);
  fixture.now += seconds(9);
  fixture.ReceiveHeartbeat(kAgentA, 0);
  fixture.Grant(kAgentA, 1);
  const common::Refusal refusal = RefusalIn(fixture.Arrive(3));
  BOOST_CHECK(refusal.reason == Reason::kDeadlineTooShort);
  BOOST_REQUIRE(refusal.retry_after.has_value());
  BOOST_CHECK(*refusal.retry_after >= seconds(13));
  BOOST_CHECK(*refusal.retry_after <= seconds(23));
}

// Guards against requests that hang after their agent restarted, against late
// ends of their old attempts, and against grants of slots that no longer exist.
BOOST_AUTO_TEST_CASE(RestartedAgentOrphansItsRequests) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 1);
  fixture.Arrive(1);
  const auto actions = fixture.ReceiveHeartbeat(kAgentA, 0, kSecondIncarnation);
  BOOST_CHECK_EQUAL(ActionsOfType<CancelDispatch>(actions).size(), 1);
  BOOST_CHECK(ActionsOfType<DispatchRequest>(
                  fixture.Grant(kAgentA, 1, kFirstIncarnation))
                  .empty());
  const auto again = ActionsOfType<DispatchRequest>(
      fixture.Grant(kAgentA, 2, kSecondIncarnation));
  BOOST_REQUIRE_EQUAL(again.size(), 1);
  BOOST_CHECK_EQUAL(again.front().attempt, 2);
  fixture.EndAttempt(1, 1, DispatchOutcome::kCompleted);
  BOOST_CHECK_EQUAL(fixture.router.requests.size(), 1);
  fixture.EndAttempt(1, 2, DispatchOutcome::kCompleted);
  BOOST_CHECK(fixture.router.requests.empty());
}

// Guards against a truncated response that is retried or looks complete.
BOOST_AUTO_TEST_CASE(StartedResponseIsTruncated) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 1);
  fixture.Arrive(1);
  fixture.Send(ResponseStarted{.id = fixture.Id(1), .attempt = 1});
  const auto actions = fixture.EndAttempt(1, 1, DispatchOutcome::kLost);
  BOOST_CHECK_EQUAL(ActionsOfType<TruncateResponse>(actions).size(), 1);
  BOOST_CHECK(fixture.router.requests.empty());
}

// Guards against "not run" after an attempt that was lost.
BOOST_AUTO_TEST_CASE(LostAttemptMakesTheVerdictMayHaveRun) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 1);
  fixture.Arrive(1);
  fixture.EndAttempt(1, 1, DispatchOutcome::kLost);
  const common::Refusal refusal = RefusalIn(fixture.Tick(seconds(10)));
  BOOST_CHECK(refusal.verdict == Verdict::kMayHaveRun);
}

// Guards against a second run of a request whose caller has received the
// response, or the beginning of it, just when the router gave up the attempt.
BOOST_AUTO_TEST_CASE(CompletionThatRacesWithOrphaningIsFinal) {
  for (const bool completed : {true, false}) {
    Fixture fixture;
    fixture.ReceiveHeartbeat(kAgentA, 1);
    fixture.Arrive(1);
    fixture.ReceiveHeartbeat(kAgentA, 0, kSecondIncarnation);
    const auto actions =
        completed
            ? fixture.EndAttempt(1, 1, DispatchOutcome::kCompleted)
            : fixture.Send(ResponseStarted{.id = fixture.Id(1), .attempt = 1});
    BOOST_CHECK_EQUAL(ActionsOfType<TruncateResponse>(actions).size(),
                      completed ? 0 : 1);
    BOOST_CHECK(fixture.router.requests.empty());
    BOOST_CHECK(ActionsOfType<DispatchRequest>(
                    fixture.Grant(kAgentA, 2, kSecondIncarnation))
                    .empty());
  }
}

// Guards against a decision log line that doesn't count the unavailable agents
// by cause.
BOOST_AUTO_TEST_CASE(DecisionLineCountsAgentsByCause) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 1);
  fixture.ReceiveHeartbeat(kAgentB, 0);
  fixture.ReceiveHeartbeat(ProcessName("agent-c"), 4);
  fixture.ReceiveHeartbeat(ProcessName("agent-d"), 4, kFirstIncarnation,
                           protocol::AgentState::kDraining);
  fixture.Send(HostListReceived{
      .hosts = {{.process = ProcessName("agent-c"), .leaving = true}}});
  const auto lines = ActionsOfType<LogDecision>(fixture.Arrive(1));
  BOOST_REQUIRE_EQUAL(lines.size(), 1);
  BOOST_CHECK_EQUAL(lines.front().agent.value, kAgentA.value);
  BOOST_CHECK(lines.front().unavailable ==
              (UnavailableAgents{.busy = 1, .leaving = 2}));
}

// Guards against virtual times at routers that ignore the weights: the fairness
// gap in the metrics would be wrong.
BOOST_AUTO_TEST_CASE(ConfigurationSetsTheWeights) {
  Fixture fixture;
  config::FleetConfig config = MakeConfig();
  config.version = static_cast<common::ConfigVersion>(2);
  config.workspaces[kWorkspace].weight = 4;
  fixture.Send(ConfigReceived{.config = config});
  fixture.Receive(kAgentA, kFirstIncarnation,
                  protocol::Shares{.rows = {{.writer = kFirstIncarnation,
                                             .pool = kPool,
                                             .workspace = kWorkspace,
                                             .charged = 20}}});
  BOOST_CHECK_EQUAL(
      fairness::VirtualTime(fixture.router.ledger, {kPool, kWorkspace}), 5);
}

// Guards against routers that never learn of each other, and against a router
// that stays known after it has stopped.
BOOST_AUTO_TEST_CASE(HeartbeatsNameKnownRouters) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 1);
  fixture.Receive(
      kAgentA, kFirstIncarnation,
      protocol::Heartbeat{
          .role = protocol::Role::kAgent,
          .pool = kPool,
          .known_routers = {{.process = ProcessName("router-2"),
                             .control = {.address = "127.0.0.1", .port = 7}},
                            {.process = ProcessName("router-1"),
                             .control = {.address = "127.0.0.1", .port = 8}}}});
  const auto beats =
      SentBodies<protocol::Heartbeat>(fixture.Tick(milliseconds(250)));
  BOOST_REQUIRE_EQUAL(beats.size(), 1);
  BOOST_REQUIRE_EQUAL(beats.front().known_routers.size(), 1);
  BOOST_CHECK_EQUAL(beats.front().known_routers.front().process.value,
                    "router-2");
  fixture.now += fixture.router.options.known_router_ttl;
  fixture.ReceiveHeartbeat(kAgentA, 1);
  const auto later = SentBodies<protocol::Heartbeat>(fixture.Tick());
  BOOST_REQUIRE_EQUAL(later.size(), 1);
  BOOST_CHECK(later.front().known_routers.empty());
}

// Guards against state of removed pools that is never deleted, and against
// demand that an agent ignores because the sequence numbers start again.
BOOST_AUTO_TEST_CASE(RemovedPoolsAreForgotten) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 0);
  fixture.Arrive(1);
  fixture.Tick();
  fixture.Send(CallerDisconnected{.id = fixture.Id(1)});
  fixture.Tick();
  const std::uint64_t sequence = fixture.router.demand_sequence;
  // Sent when the agent joined, when the request arrived and when it ended.
  BOOST_CHECK_EQUAL(sequence, 3);
  config::FleetConfig config;
  config.version = static_cast<common::ConfigVersion>(2);
  fixture.Send(ConfigReceived{.config = config});
  BOOST_CHECK(fixture.router.pools.empty());
  fixture.Grant(kAgentA, 1);
  BOOST_CHECK(fixture.router.pools.empty());
  BOOST_CHECK(fixture.router.retry_budgets.empty());
  config = MakeConfig();
  config.version = static_cast<common::ConfigVersion>(3);
  fixture.Send(ConfigReceived{.config = config});
  fixture.ReceiveHeartbeat(kAgentA, 0);
  const auto demand = SentBodies<protocol::Demand>(fixture.Arrive(2));
  BOOST_REQUIRE_EQUAL(demand.size(), 1);
  BOOST_CHECK_EQUAL(demand.front().sequence, sequence + 1);
}

// Guards against a changed queue that is reported only at the next tick, and
// against more than one report per interval.
BOOST_AUTO_TEST_CASE(DemandIsReportedAtOnceButNotOften) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 0);
  fixture.now += milliseconds(20);
  const auto first = SentBodies<protocol::Demand>(fixture.Arrive(1));
  BOOST_REQUIRE_EQUAL(first.size(), 1);
  BOOST_CHECK_EQUAL(first.front().workspaces.size(), 1);
  BOOST_CHECK(SentBodies<protocol::Demand>(fixture.Arrive(2)).empty());
  BOOST_CHECK(
      SentBodies<protocol::Demand>(fixture.Tick(milliseconds(10))).empty());
  const auto second =
      SentBodies<protocol::Demand>(fixture.Tick(milliseconds(10)));
  BOOST_REQUIRE_EQUAL(second.size(), 1);
  BOOST_CHECK_EQUAL(second.front().workspaces.front().waiting, 2);
}

// Guards against requests that stay queued although slots are free. One queued
// request once made all later requests wait for the next demand message.
BOOST_AUTO_TEST_CASE(FreeSlotsServeTheQueue) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 1);
  fixture.Arrive(1);
  BOOST_CHECK(ActionsOfType<DispatchRequest>(fixture.Arrive(2)).empty());
  const auto next = ActionsOfType<DispatchRequest>(
      fixture.EndAttempt(1, 1, DispatchOutcome::kCompleted));
  BOOST_REQUIRE_EQUAL(next.size(), 1);
  BOOST_CHECK(next.front().id == fixture.Id(2));
  fixture.Arrive(3);
  fixture.Arrive(4);
  BOOST_CHECK_EQUAL(
      ActionsOfType<DispatchRequest>(fixture.ReceiveHeartbeat(kAgentA, 2))
          .size(),
      2);
}

// Guards against a direct dispatch to every slot that becomes free while others
// wait for it: the agent would refuse each of these dispatches.
BOOST_AUTO_TEST_CASE(BusyAgentGetsNoDirectDispatchUntilItReportsSlots) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 3);
  for (int i = 1; i <= 3; ++i) fixture.Arrive(i);
  fixture.RefuseNotRun(1, 1, Reason::kBusy);
  BOOST_CHECK(ActionsOfType<DispatchRequest>(
                  fixture.EndAttempt(2, 1, DispatchOutcome::kCompleted))
                  .empty());
  BOOST_CHECK(
      ActionsOfType<DispatchRequest>(fixture.ReceiveHeartbeat(kAgentA, 0))
          .empty());
  BOOST_CHECK(ActionsOfType<DispatchRequest>(
                  fixture.EndAttempt(3, 1, DispatchOutcome::kCompleted))
                  .empty());
  BOOST_CHECK_EQUAL(
      ActionsOfType<DispatchRequest>(fixture.ReceiveHeartbeat(kAgentA, 1))
          .size(),
      1);
}

// Guards against a queue that is served in order of arrival only, which gives
// the free slots to the workspace with the most requests.
BOOST_AUTO_TEST_CASE(FreeSlotsGoToTheWorkspaceWithTheSmallestVirtualTime) {
  Fixture fixture;
  const common::WorkspaceName other("other");
  config::FleetConfig config = MakeConfig();
  config.version = static_cast<common::ConfigVersion>(2);
  config.workspaces[other] = {.weight = 4, .open = true, .kinds = {kChat}};
  fixture.Send(ConfigReceived{.config = config});
  fixture.ReceiveHeartbeat(kAgentA, 0);
  protocol::Shares shares;
  shares.rows = {{.writer = kFirstIncarnation,
                  .pool = kPool,
                  .workspace = kWorkspace,
                  .charged = 100},
                 {.writer = kFirstIncarnation,
                  .pool = kPool,
                  .workspace = other,
                  .charged = 300}};
  fixture.Receive(kAgentA, kFirstIncarnation, shares);
  fixture.Arrive(1);
  fixture.Send(RequestArrived{.id = fixture.Id(2),
                              .workspace = other,
                              .kind = kChat,
                              .body_bytes = 10});
  const auto next =
      ActionsOfType<DispatchRequest>(fixture.ReceiveHeartbeat(kAgentA, 1));
  BOOST_REQUIRE_EQUAL(next.size(), 1);
  BOOST_CHECK(next.front().id == fixture.Id(2));
}

// Guards against a lost request that is dispatched again before the agent's
// report of a crash can arrive.
BOOST_AUTO_TEST_CASE(LostRequestIsRetriedAfterADelay) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 1);
  fixture.Arrive(1);
  fixture.ReceiveHeartbeat(kAgentB, 1);
  BOOST_CHECK(ActionsOfType<DispatchRequest>(
                  fixture.EndAttempt(1, 1, DispatchOutcome::kLost))
                  .empty());
  BOOST_CHECK(
      ActionsOfType<DispatchRequest>(fixture.Tick(milliseconds(19))).empty());
  const auto next =
      ActionsOfType<DispatchRequest>(fixture.Tick(milliseconds(1)));
  BOOST_REQUIRE_EQUAL(next.size(), 1);
  BOOST_CHECK_EQUAL(next.front().agent.value, kAgentB.value);
}

// Guards against a drain that loses queued requests, accepts new ones, or ends
// before every request is answered.
BOOST_AUTO_TEST_CASE(DrainServesWhatIsQueued) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 0);
  fixture.Arrive(1);
  fixture.Send(DrainRequested{});
  BOOST_CHECK(RefusalIn(fixture.Arrive(2)).reason == Reason::kDraining);
  BOOST_CHECK(RefusalIn(fixture.Send(TicketRequested{.id = fixture.Id(3),
                                                     .workspace = kWorkspace,
                                                     .kind = kOrder}))
                  .reason == Reason::kDraining);
  BOOST_CHECK(ActionsOfType<DrainCompleted>(fixture.Tick()).empty());
  BOOST_CHECK_EQUAL(
      ActionsOfType<DispatchRequest>(fixture.Grant(kAgentA, 1)).size(), 1);
  BOOST_CHECK(ActionsOfType<DrainCompleted>(fixture.Tick()).empty());
  fixture.EndAttempt(1, 1, DispatchOutcome::kCompleted);
  BOOST_CHECK_EQUAL(ActionsOfType<DrainCompleted>(fixture.Tick()).size(), 1);
  BOOST_CHECK(ActionsOfType<DrainCompleted>(fixture.Tick()).empty());
}

// Guards against a drain that leaves callers without an answer at its deadline,
// and against a second drain request that moves the deadline.
BOOST_AUTO_TEST_CASE(DrainDeadlineAnswersEverything) {
  Fixture fixture;
  config::FleetConfig config = MakeConfig();
  config.version = static_cast<common::ConfigVersion>(2);
  config.kinds[kChat].default_deadline = seconds(200);
  config.kinds[kOrder].default_deadline = seconds(200);
  fixture.Send(ConfigReceived{.config = config});
  fixture.ReceiveHeartbeat(kAgentA, 1);
  fixture.Arrive(1);  // dispatched
  fixture.Arrive(2);  // queued
  fixture.ArriveKeyed(3, "key");
  fixture.ArriveKeyed(4, "other key");
  fixture.Send(DrainRequested{});
  const common::TimePoint deadline =
      fixture.now + fixture.router.options.drain_deadline;
  std::map<std::uint64_t, common::Refusal> refusals;
  bool completed = false;
  while (fixture.now < deadline) {
    fixture.ReceiveHeartbeat(kAgentA, 0);
    fixture.Send(DrainRequested{});
    const auto actions = fixture.Tick(milliseconds(100));
    auto all = actions;
    for (const WriteBinding& write : ActionsOfType<WriteBinding>(actions)) {
      // Only one tombstone is confirmed; the answer to the other write is lost.
      if (write.id != fixture.Id(3)) continue;
      all = fixture.Send(BindingWritten{.id = write.id,
                                        .outcome = StoreOutcome::kOk,
                                        .revision = 1,
                                        .value = write.value});
      all.insert(all.end(), actions.begin(), actions.end());
    }
    for (const RefuseRequest& refusal : ActionsOfType<RefuseRequest>(all)) {
      BOOST_CHECK(!completed);
      refusals[refusal.id.sequence] = refusal.refusal;
    }
    if (!ActionsOfType<DrainCompleted>(all).empty()) completed = true;
  }
  BOOST_CHECK(completed);
  BOOST_CHECK(fixture.router.requests.empty());
  BOOST_REQUIRE_EQUAL(refusals.size(), 4);
  BOOST_CHECK(refusals[1].verdict == Verdict::kMayHaveRun);
  BOOST_CHECK(refusals[2].verdict == Verdict::kNotRun);
  BOOST_CHECK(refusals[3].verdict == Verdict::kNotRun);
  BOOST_CHECK(refusals[4].verdict == Verdict::kMayHaveRun);
}

// Guards against work for an agent whose heartbeats date from before a pause of
// this router.
BOOST_AUTO_TEST_CASE(HeartbeatsDelayedByAPauseAreStale) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 5);
  const auto beat = [&](std::uint64_t echoed_sent) {
    return fixture.Receive(kAgentA, kFirstIncarnation,
                           protocol::Heartbeat{.role = protocol::Role::kAgent,
                                               .echoed_sent = echoed_sent,
                                               .pool = kPool,
                                               .free_slots = 5});
  };
  const std::uint64_t before = common::ToStamp(fixture.now);
  fixture.now += seconds(2);
  beat(before);
  BOOST_CHECK(ActionsOfType<DispatchRequest>(fixture.Arrive(1)).empty());
  const RouterActions served = beat(common::ToStamp(fixture.now));
  BOOST_CHECK_EQUAL(ActionsOfType<DispatchRequest>(served).size(), 1);
}

// Guards against an agent that is not told that the host list marks it as
// leaving.
BOOST_AUTO_TEST_CASE(AgentIsToldThatItIsLeaving) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 5);
  fixture.Tick(milliseconds(250));
  fixture.Send(
      HostListReceived{.hosts = {{.process = kAgentA, .leaving = true}}});
  const auto beats = SentBodies<protocol::Heartbeat>(fixture.Tick());
  BOOST_REQUIRE_EQUAL(beats.size(), 1);
  BOOST_CHECK(beats.front().leaving);
}

// Guards against retries at the upstream that just failed while the pool has a
// healthy one, and against a request that waits for a healthy upstream when
// there is none.
BOOST_AUTO_TEST_CASE(RetryAvoidsTheUpstreamThatFailed) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(kAgentA, 9);
  fixture.ReceiveHeartbeat(kAgentB, 1);
  const common::Refusal failed{.verdict = Verdict::kMayHaveRun,
                               .reason = Reason::kUpstreamFailed};
  fixture.Arrive(1);
  const auto retried = ActionsOfType<DispatchRequest>(
      fixture.EndAttempt(1, 1, DispatchOutcome::kRefused, failed));
  BOOST_REQUIRE_EQUAL(retried.size(), 1);
  BOOST_CHECK_EQUAL(retried.front().agent.value, kAgentB.value);
  fixture.ReceiveHeartbeat(kAgentB, 0);
  fixture.Arrive(2);
  BOOST_CHECK(ActionsOfType<DispatchRequest>(
                  fixture.EndAttempt(2, 1, DispatchOutcome::kRefused, failed))
                  .empty());
  BOOST_CHECK(
      ActionsOfType<DispatchRequest>(fixture.Grant(kAgentA, 1)).empty());
  BOOST_CHECK_EQUAL(
      ActionsOfType<DispatchRequest>(fixture.Grant(kAgentB, 2)).size(), 1);
  fixture.ReceiveHeartbeat(kAgentB, 0, kFirstIncarnation,
                           protocol::AgentState::kUpstreamDown);
  fixture.Arrive(3);
  const auto alone = ActionsOfType<DispatchRequest>(
      fixture.EndAttempt(3, 1, DispatchOutcome::kRefused, failed));
  BOOST_REQUIRE_EQUAL(alone.size(), 1);
  BOOST_CHECK_EQUAL(alone.front().agent.value, kAgentA.value);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::routing::testing
