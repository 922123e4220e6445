#include "Core/Routing/Fixture.h"
#include "Property.h"
#include "Routing/Router.h"

namespace shallotbeam::routing::testing {

namespace {

using common::Reason;
using common::Verdict;

constexpr std::uint64_t kFingerprint = 7;

void MarkSuspect(Fixture& it, milliseconds ban_left = milliseconds(0)) {
  it.Receive(kA, kFirst,
             protocol::Suspects{
                 .rows = {{.fingerprint =
                               static_cast<common::Fingerprint>(kFingerprint),
                           .crashes = 1,
                           .ban_left = ban_left}}});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RouterTest)

// Guards against a request that spins between router and busy agent.
BOOST_AUTO_TEST_CASE(BusyRefusalWaitsForAGrant) {
  Fixture it;
  it.Beat(kA, 1);
  BOOST_CHECK_EQUAL(Only<DispatchRequest>(it.Arrive(1)).size(), 1);
  const auto actions = it.RefuseNotRun(1, 1, Reason::kBusy);
  BOOST_CHECK(Only<DispatchRequest>(actions).empty());
  BOOST_CHECK_EQUAL(Sent<protocol::Demand>(it.Tick()).size(), 1);
  const auto granted = Only<DispatchRequest>(it.Grant(kA, 9));
  BOOST_REQUIRE_EQUAL(granted.size(), 1);
  BOOST_CHECK_EQUAL(granted.front().attempt, 2);
  BOOST_CHECK(granted.front().grant == static_cast<common::GrantId>(9));
}

// Guards against names of workspaces that can be found by trying.
BOOST_AUTO_TEST_CASE(UnknownWorkspaceLooksLikeAWrongCredential) {
  Fixture it;
  config::FleetConfig config = it.router.config;
  config.version =
      static_cast<common::ConfigVersion>(common::ToNumber(config.version) + 1);
  config.workspaces[kWorkspace].credential_sha256 = "aa";
  it.Send(ConfigReceived{.config = config});
  const RequestArrived known{.id = it.Id(1),
                             .workspace = kWorkspace,
                             .kind = kChat,
                             .credential_sha256 = "bb"};
  RequestArrived unknown = known;
  unknown.id = it.Id(2);
  unknown.workspace = common::WorkspaceName("nobody");
  BOOST_CHECK(RefusalIn(it.Send(known)).reason == Reason::kBadCredential);
  BOOST_CHECK(RefusalIn(it.Send(unknown)).reason == Reason::kBadCredential);
}

// Guards against more work for an agent that just said that it is leaving.
BOOST_AUTO_TEST_CASE(DrainingRefusalIsNewsOfTheAgent) {
  Fixture it;
  it.Beat(kA, 5);
  it.Beat(kB, 1);
  it.Arrive(1);
  const auto next =
      Only<DispatchRequest>(it.RefuseNotRun(1, 1, Reason::kDraining));
  BOOST_REQUIRE_EQUAL(next.size(), 1);
  BOOST_CHECK_EQUAL(next.front().agent.value, kB.value);
  it.Beat(kB, 1);
  const auto second = Only<DispatchRequest>(it.Arrive(2));
  BOOST_REQUIRE_EQUAL(second.size(), 1);
  BOOST_CHECK_EQUAL(second.front().agent.value, kB.value);
}

// Guards against a suspect that is refused and sent again at network speed.
BOOST_AUTO_TEST_CASE(IsolatedSuspectPauses) {
  Fixture it;
  it.Beat(kA, 5);
  MarkSuspect(it);
  int dispatches = 0;
  auto actions = it.Arrive(1, 10, kFingerprint);
  const common::TimePoint end = it.now + seconds(1);
  std::uint64_t grant = 0;
  while (it.now < end) {
    for (const DispatchRequest& dispatch : Only<DispatchRequest>(actions)) {
      BOOST_CHECK(dispatch.suspect);
      ++dispatches;
      it.RefuseNotRun(1, dispatch.attempt, Reason::kSuspectIsolated);
    }
    it.Beat(kA, 5);
    actions = it.Tick();
    const auto granted = it.Grant(kA, ++grant);
    actions.insert(actions.end(), granted.begin(), granted.end());
  }
  // Pauses of 20, 40, ... 640 ms fit into 1 s six times at most.
  BOOST_CHECK_GE(dispatches, 4);
  BOOST_CHECK_LE(dispatches, 7);
}

// Guards against two suspects at one agent, and against other requests that
// wait behind a suspect.
BOOST_AUTO_TEST_CASE(GrantSkipsASecondSuspect) {
  Fixture it;
  it.Beat(kA, 1);
  MarkSuspect(it);
  BOOST_CHECK_EQUAL(
      Only<DispatchRequest>(it.Arrive(1, 10, kFingerprint)).size(), 1);
  it.Arrive(2, 10, kFingerprint);
  it.Arrive(3);
  const auto granted = Only<DispatchRequest>(it.Grant(kA, 1));
  BOOST_REQUIRE_EQUAL(granted.size(), 1);
  BOOST_CHECK(granted.front().id == it.Id(3));
  it.End(1, 1, DispatchOutcome::kCompleted);
  it.Tick(seconds(0));
  it.Beat(kA, 1);
  BOOST_CHECK_EQUAL(Only<DispatchRequest>(it.Tick()).size(), 1);
}

// Guards against a request that is banned while it waits and runs anyway.
BOOST_AUTO_TEST_CASE(BanReachesQueuedRequests) {
  Fixture it;
  it.Beat(kA, 0);
  it.Arrive(1, 10, kFingerprint);
  MarkSuspect(it, seconds(600));
  const auto actions = it.Grant(kA, 1);
  BOOST_CHECK(Only<DispatchRequest>(actions).empty());
  BOOST_CHECK(RefusalIn(actions).reason == Reason::kPoisonous);
  BOOST_CHECK_EQUAL(Sent<protocol::GrantReturn>(actions).size(), 1);
  BOOST_CHECK(RefusalIn(it.Arrive(2, 10, kFingerprint)).reason ==
              Reason::kPoisonous);
}

// Guards against a pool without agents that holds requests to their deadlines.
BOOST_AUTO_TEST_CASE(PoolWithoutAgentsRefusesAtOnce) {
  Fixture it;
  it.Tick(it.router.options.outage_bridge);
  const common::Refusal refusal = RefusalIn(it.Arrive(1));
  BOOST_CHECK(refusal.reason == Reason::kNoUpstream);
  BOOST_CHECK(refusal.verdict == Verdict::kNotRun);
  BOOST_CHECK(refusal.retry_after.has_value());
}

// Guards against refusals during the restart of an agent or of this router.
BOOST_AUTO_TEST_CASE(ShortOutageIsBridged) {
  Fixture it;
  BOOST_CHECK(Only<RefuseRequest>(it.Arrive(1)).empty());
  it.Tick(seconds(4));
  it.Beat(kA, 0);
  for (int i = 0; i < 9; ++i) {
    it.Beat(kA, 5, kFirst, protocol::AgentState::kUpstreamDown);
    BOOST_CHECK(Only<RefuseRequest>(it.Tick(milliseconds(500))).empty());
  }
  const common::Refusal refusal = RefusalIn(it.Tick(milliseconds(500)));
  BOOST_CHECK(refusal.reason == Reason::kNoUpstream);
  BOOST_CHECK(refusal.verdict == Verdict::kNotRun);
}

// Guards against queues that grow past their limits in number or bytes.
BOOST_AUTO_TEST_CASE(QueueIsBounded) {
  Fixture it;
  it.Beat(kA, 0);
  BOOST_CHECK(Only<RefuseRequest>(it.Arrive(1, 900)).empty());
  BOOST_CHECK(RefusalIn(it.Arrive(2, 101)).reason == Reason::kQueueFull);
  for (int i = 3; i < 6; ++i) {
    BOOST_CHECK(Only<RefuseRequest>(it.Arrive(i)).empty());
  }
  const common::Refusal full = RefusalIn(it.Arrive(6));
  BOOST_CHECK(full.reason == Reason::kQueueFull);
  BOOST_CHECK(full.retry_after.has_value());
  BOOST_CHECK_EQUAL(it.router.requests.size(), 4);
}

// Guards against requests that wait although they can't meet their deadline.
BOOST_AUTO_TEST_CASE(HopelessRequestIsRefusedAtOnce) {
  Fixture it;
  it.Beat(kA, 0);
  it.Arrive(1);
  it.Arrive(2);
  it.now += seconds(9);
  it.Beat(kA, 0);
  it.Grant(kA, 1);
  const common::Refusal refusal = RefusalIn(it.Arrive(3));
  BOOST_CHECK(refusal.reason == Reason::kDeadlineTooShort);
  BOOST_REQUIRE(refusal.retry_after.has_value());
  BOOST_CHECK(*refusal.retry_after >= seconds(13));
  BOOST_CHECK(*refusal.retry_after <= seconds(23));
}

// Guards against requests of a restarted agent that hang, against the late end
// of their old attempts, and against grants of slots that are gone.
BOOST_AUTO_TEST_CASE(RestartedAgentOrphansItsRequests) {
  Fixture it;
  it.Beat(kA, 1);
  it.Arrive(1);
  const auto actions = it.Beat(kA, 0, kSecond);
  BOOST_CHECK_EQUAL(Only<CancelDispatch>(actions).size(), 1);
  BOOST_CHECK(Only<DispatchRequest>(it.Grant(kA, 1, kFirst)).empty());
  const auto again = Only<DispatchRequest>(it.Grant(kA, 2, kSecond));
  BOOST_REQUIRE_EQUAL(again.size(), 1);
  BOOST_CHECK_EQUAL(again.front().attempt, 2);
  it.End(1, 1, DispatchOutcome::kCompleted);
  BOOST_CHECK_EQUAL(it.router.requests.size(), 1);
  it.End(1, 2, DispatchOutcome::kCompleted);
  BOOST_CHECK(it.router.requests.empty());
}

// Guards against a truncated response that is retried or looks complete.
BOOST_AUTO_TEST_CASE(StartedResponseIsTruncated) {
  Fixture it;
  it.Beat(kA, 1);
  it.Arrive(1);
  it.Send(ResponseStarted{.id = it.Id(1), .attempt = 1});
  const auto actions = it.End(1, 1, DispatchOutcome::kLost);
  BOOST_CHECK_EQUAL(Only<TruncateResponse>(actions).size(), 1);
  BOOST_CHECK(it.router.requests.empty());
}

// Guards against "not run" after an attempt that was lost.
BOOST_AUTO_TEST_CASE(LostAttemptIsRememberedInTheVerdict) {
  Fixture it;
  it.Beat(kA, 1);
  it.Arrive(1);
  it.End(1, 1, DispatchOutcome::kLost);
  const common::Refusal refusal = RefusalIn(it.Tick(seconds(10)));
  BOOST_CHECK(refusal.verdict == Verdict::kMayHaveRun);
}

// Guards against a second run of a request whose caller has its response, or
// the beginning of it, while the router just gave the attempt up.
BOOST_AUTO_TEST_CASE(EndThatCrossesAnOrphaningCounts) {
  for (const bool completed : {true, false}) {
    Fixture it;
    it.Beat(kA, 1);
    it.Arrive(1);
    it.Beat(kA, 0, kSecond);
    const auto actions =
        completed ? it.End(1, 1, DispatchOutcome::kCompleted)
                  : it.Send(ResponseStarted{.id = it.Id(1), .attempt = 1});
    BOOST_CHECK_EQUAL(Only<TruncateResponse>(actions).size(),
                      completed ? 0 : 1);
    BOOST_CHECK(it.router.requests.empty());
    BOOST_CHECK(Only<DispatchRequest>(it.Grant(kA, 2, kSecond)).empty());
  }
}

// Guards against a decision line that doesn't say why agents were passed over.
BOOST_AUTO_TEST_CASE(DecisionLineCountsAgentsByCause) {
  Fixture it;
  it.Beat(kA, 1);
  it.Beat(kB, 0);
  it.Beat(ProcessName("agent-c"), 4);
  it.Beat(ProcessName("agent-d"), 4, kFirst, protocol::AgentState::kDraining);
  it.Send(HostsListed{
      .hosts = {{.process = ProcessName("agent-c"), .leaving = true}}});
  const auto lines = Only<LogDecision>(it.Arrive(1));
  BOOST_REQUIRE_EQUAL(lines.size(), 1);
  BOOST_CHECK_EQUAL(lines.front().agent.value, kA.value);
  BOOST_CHECK(lines.front().passed_over ==
              (PassedOver{.busy = 1, .leaving = 2}));
}

// Guards against virtual times at routers that leave out the weights: the
// fairness gap in the metrics would be wrong.
BOOST_AUTO_TEST_CASE(ConfigurationSetsTheWeights) {
  Fixture fixture;
  config::FleetConfig config = MakeConfig();
  config.version = static_cast<common::ConfigVersion>(2);
  config.workspaces[kWorkspace].weight = 4;
  fixture.Send(ConfigReceived{.config = config});
  fixture.Receive(kA, kFirst,
                  protocol::Shares{.rows = {{.writer = kFirst,
                                             .pool = kPool,
                                             .workspace = kWorkspace,
                                             .charged = 20}}});
  BOOST_CHECK_EQUAL(
      fairness::VirtualTime(fixture.router.ledger, {kPool, kWorkspace}), 5);
}

// Guards against routers that never learn of each other, and against one that
// stays known after it is gone.
BOOST_AUTO_TEST_CASE(HeartbeatsNameKnownRouters) {
  Fixture it;
  it.Beat(kA, 1);
  it.Receive(
      kA, kFirst,
      protocol::Heartbeat{
          .role = protocol::Role::kAgent,
          .pool = kPool,
          .known_routers = {{.process = ProcessName("router-2"),
                             .control = {.address = "127.0.0.1", .port = 7}},
                            {.process = ProcessName("router-1"),
                             .control = {.address = "127.0.0.1", .port = 8}}}});
  const auto beats = Sent<protocol::Heartbeat>(it.Tick(milliseconds(250)));
  BOOST_REQUIRE_EQUAL(beats.size(), 1);
  BOOST_REQUIRE_EQUAL(beats.front().known_routers.size(), 1);
  BOOST_CHECK_EQUAL(beats.front().known_routers.front().process.value,
                    "router-2");
  it.now += it.router.options.router_memory;
  it.Beat(kA, 1);
  const auto later = Sent<protocol::Heartbeat>(it.Tick());
  BOOST_REQUIRE_EQUAL(later.size(), 1);
  BOOST_CHECK(later.front().known_routers.empty());
}

// Guards against state of removed pools that stays for ever, and against
// demand that an agent ignores because its sequence starts again.
BOOST_AUTO_TEST_CASE(RemovedPoolsAreForgotten) {
  Fixture it;
  it.Beat(kA, 0);
  it.Arrive(1);
  it.Tick();
  it.Send(CallerLeft{.id = it.Id(1)});
  it.Tick();
  const std::uint64_t sequence = it.router.demand_sequence;
  // To the agent that joined, of the arrival and of its end.
  BOOST_CHECK_EQUAL(sequence, 3);
  config::FleetConfig config;
  config.version = static_cast<common::ConfigVersion>(2);
  it.Send(ConfigReceived{.config = config});
  BOOST_CHECK(it.router.pools.empty());
  it.Grant(kA, 1);
  BOOST_CHECK(it.router.pools.empty());
  BOOST_CHECK(it.router.retry_budgets.empty());
  config = MakeConfig();
  config.version = static_cast<common::ConfigVersion>(3);
  it.Send(ConfigReceived{.config = config});
  it.Beat(kA, 0);
  const auto demand = Sent<protocol::Demand>(it.Arrive(2));
  BOOST_REQUIRE_EQUAL(demand.size(), 1);
  BOOST_CHECK_EQUAL(demand.front().sequence, sequence + 1);
}

// Guards against a queue that waits for the next tick to be reported, and
// against more reports than one per interval.
BOOST_AUTO_TEST_CASE(DemandIsReportedAtOnceButNotOften) {
  Fixture it;
  it.Beat(kA, 0);
  it.now += milliseconds(20);
  const auto first = Sent<protocol::Demand>(it.Arrive(1));
  BOOST_REQUIRE_EQUAL(first.size(), 1);
  BOOST_CHECK_EQUAL(first.front().workspaces.size(), 1);
  BOOST_CHECK(Sent<protocol::Demand>(it.Arrive(2)).empty());
  BOOST_CHECK(Sent<protocol::Demand>(it.Tick(milliseconds(10))).empty());
  const auto second = Sent<protocol::Demand>(it.Tick(milliseconds(10)));
  BOOST_REQUIRE_EQUAL(second.size(), 1);
  BOOST_CHECK_EQUAL(second.front().workspaces.front().waiting, 2);
}

// Guards against requests that stay queued although slots are free: one queued
// request made all later ones wait for the next demand message.
BOOST_AUTO_TEST_CASE(FreeSlotsServeTheQueue) {
  Fixture it;
  it.Beat(kA, 1);
  it.Arrive(1);
  BOOST_CHECK(Only<DispatchRequest>(it.Arrive(2)).empty());
  const auto next =
      Only<DispatchRequest>(it.End(1, 1, DispatchOutcome::kCompleted));
  BOOST_REQUIRE_EQUAL(next.size(), 1);
  BOOST_CHECK(next.front().id == it.Id(2));
  it.Arrive(3);
  it.Arrive(4);
  BOOST_CHECK_EQUAL(Only<DispatchRequest>(it.Beat(kA, 2)).size(), 2);
}

// Guards against a direct dispatch for every slot that frees while others wait
// for it: the agent would refuse each of them.
BOOST_AUTO_TEST_CASE(BusyAgentGetsNoDirectDispatchUntilItReportsSlots) {
  Fixture it;
  it.Beat(kA, 3);
  for (int i = 1; i <= 3; ++i) it.Arrive(i);
  it.RefuseNotRun(1, 1, Reason::kBusy);
  BOOST_CHECK(
      Only<DispatchRequest>(it.End(2, 1, DispatchOutcome::kCompleted)).empty());
  BOOST_CHECK(Only<DispatchRequest>(it.Beat(kA, 0)).empty());
  BOOST_CHECK(
      Only<DispatchRequest>(it.End(3, 1, DispatchOutcome::kCompleted)).empty());
  BOOST_CHECK_EQUAL(Only<DispatchRequest>(it.Beat(kA, 1)).size(), 1);
}

// Guards against a queue that is served by arrival alone, which lets the
// workspace with the most requests take the free slots.
BOOST_AUTO_TEST_CASE(FreeSlotsGoToTheSmallestVirtualTime) {
  Fixture it;
  const common::WorkspaceName other("other");
  config::FleetConfig config = MakeConfig();
  config.version = static_cast<common::ConfigVersion>(2);
  config.workspaces[other] = {.weight = 4, .kinds = {kChat}};
  it.Send(ConfigReceived{.config = config});
  it.Beat(kA, 0);
  protocol::Shares shares;
  shares.rows = {
      {.writer = kFirst,
       .pool = kPool,
       .workspace = kWorkspace,
       .charged = 100},
      {.writer = kFirst, .pool = kPool, .workspace = other, .charged = 300}};
  it.Receive(kA, kFirst, shares);
  it.Arrive(1);
  it.Send(RequestArrived{
      .id = it.Id(2), .workspace = other, .kind = kChat, .body_bytes = 10});
  const auto next = Only<DispatchRequest>(it.Beat(kA, 1));
  BOOST_REQUIRE_EQUAL(next.size(), 1);
  BOOST_CHECK(next.front().id == it.Id(2));
}

// Guards against a lost request that is sent on before the agent's report of a
// crash can arrive.
BOOST_AUTO_TEST_CASE(LostRequestIsNotSentOnAtOnce) {
  Fixture it;
  it.Beat(kA, 1);
  it.Arrive(1);
  it.Beat(kB, 1);
  BOOST_CHECK(
      Only<DispatchRequest>(it.End(1, 1, DispatchOutcome::kLost)).empty());
  BOOST_CHECK(Only<DispatchRequest>(it.Tick(milliseconds(19))).empty());
  const auto next = Only<DispatchRequest>(it.Tick(milliseconds(1)));
  BOOST_REQUIRE_EQUAL(next.size(), 1);
  BOOST_CHECK_EQUAL(next.front().agent.value, kB.value);
}

// Guards against a drain that loses queued work, takes new work, or ends
// before everything is answered.
BOOST_AUTO_TEST_CASE(DrainServesWhatIsQueued) {
  Fixture it;
  it.Beat(kA, 0);
  it.Arrive(1);
  it.Send(DrainRequested{});
  BOOST_CHECK(RefusalIn(it.Arrive(2)).reason == Reason::kDraining);
  BOOST_CHECK(
      RefusalIn(it.Send(TicketRequested{
                    .id = it.Id(3), .workspace = kWorkspace, .kind = kOrder}))
          .reason == Reason::kDraining);
  BOOST_CHECK(Only<DrainCompleted>(it.Tick()).empty());
  BOOST_CHECK_EQUAL(Only<DispatchRequest>(it.Grant(kA, 1)).size(), 1);
  BOOST_CHECK(Only<DrainCompleted>(it.Tick()).empty());
  it.End(1, 1, DispatchOutcome::kCompleted);
  BOOST_CHECK_EQUAL(Only<DrainCompleted>(it.Tick()).size(), 1);
  BOOST_CHECK(Only<DrainCompleted>(it.Tick()).empty());
}

// Guards against a drain that leaves callers without an answer at its
// deadline, and against a second request that moves the deadline.
BOOST_AUTO_TEST_CASE(DrainDeadlineAnswersEverything) {
  Fixture it;
  config::FleetConfig config = MakeConfig();
  config.version = static_cast<common::ConfigVersion>(2);
  config.kinds[kChat].default_deadline = seconds(200);
  config.kinds[kOrder].default_deadline = seconds(200);
  it.Send(ConfigReceived{.config = config});
  it.Beat(kA, 1);
  it.Arrive(1);  // dispatched
  it.Arrive(2);  // queued
  it.ArriveKeyed(3, "key");
  it.ArriveKeyed(4, "other key");
  it.Send(DrainRequested{});
  const common::TimePoint deadline = it.now + it.router.options.drain_deadline;
  std::map<std::uint64_t, common::Refusal> refusals;
  bool completed = false;
  while (it.now < deadline) {
    it.Beat(kA, 0);
    it.Send(DrainRequested{});
    const auto actions = it.Tick(milliseconds(100));
    auto all = actions;
    for (const WriteBinding& write : Only<WriteBinding>(actions)) {
      // Only one tombstone is confirmed; the other answer is lost.
      if (write.id != it.Id(3)) continue;
      all = it.Send(BindingWritten{.id = write.id,
                                   .outcome = StoreOutcome::kOk,
                                   .revision = 1,
                                   .value = write.value});
      all.insert(all.end(), actions.begin(), actions.end());
    }
    for (const RefuseRequest& refusal : Only<RefuseRequest>(all)) {
      BOOST_CHECK(!completed);
      refusals[refusal.id.sequence] = refusal.refusal;
    }
    if (!Only<DrainCompleted>(all).empty()) completed = true;
  }
  BOOST_CHECK(completed);
  BOOST_CHECK(it.router.requests.empty());
  BOOST_REQUIRE_EQUAL(refusals.size(), 4);
  BOOST_CHECK(refusals[1].verdict == Verdict::kMayHaveRun);
  BOOST_CHECK(refusals[2].verdict == Verdict::kNotRun);
  BOOST_CHECK(refusals[3].verdict == Verdict::kNotRun);
  BOOST_CHECK(refusals[4].verdict == Verdict::kMayHaveRun);
}

// Guards against work for an agent that was alive only before a pause of this
// router.
BOOST_AUTO_TEST_CASE(HeldBackHeartbeatsAreNotFresh) {
  Fixture it;
  it.Beat(kA, 5);
  const auto beat = [&](std::uint64_t answers) {
    return it.Receive(kA, kFirst,
                      protocol::Heartbeat{.role = protocol::Role::kAgent,
                                          .answers = answers,
                                          .pool = kPool,
                                          .free_slots = 5});
  };
  const std::uint64_t before = common::ToStamp(it.now);
  it.now += seconds(2);
  beat(before);
  BOOST_CHECK(Only<DispatchRequest>(it.Arrive(1)).empty());
  const RouterActions served = beat(common::ToStamp(it.now));
  BOOST_CHECK_EQUAL(Only<DispatchRequest>(served).size(), 1);
}

// Guards against an agent that is not told that the host list names it.
BOOST_AUTO_TEST_CASE(ListedAgentIsTold) {
  Fixture it;
  it.Beat(kA, 5);
  it.Tick(milliseconds(250));
  it.Send(HostsListed{.hosts = {{.process = kA, .leaving = true}}});
  const auto beats = Sent<protocol::Heartbeat>(it.Tick());
  BOOST_REQUIRE_EQUAL(beats.size(), 1);
  BOOST_CHECK(beats.front().leaving);
}

// Guards against retries at the upstream that just failed while another one of
// the pool is healthy, and against a request that waits for one when there is
// none.
BOOST_AUTO_TEST_CASE(RetryAvoidsTheUpstreamThatFailed) {
  Fixture it;
  it.Beat(kA, 9);
  it.Beat(kB, 1);
  const common::Refusal failed{.verdict = Verdict::kMayHaveRun,
                               .reason = Reason::kUpstreamFailed};
  it.Arrive(1);
  const auto retried =
      Only<DispatchRequest>(it.End(1, 1, DispatchOutcome::kRefused, failed));
  BOOST_REQUIRE_EQUAL(retried.size(), 1);
  BOOST_CHECK_EQUAL(retried.front().agent.value, kB.value);
  it.Beat(kB, 0);
  it.Arrive(2);
  BOOST_CHECK(
      Only<DispatchRequest>(it.End(2, 1, DispatchOutcome::kRefused, failed))
          .empty());
  BOOST_CHECK(Only<DispatchRequest>(it.Grant(kA, 1)).empty());
  BOOST_CHECK_EQUAL(Only<DispatchRequest>(it.Grant(kB, 2)).size(), 1);
  it.Beat(kB, 0, kFirst, protocol::AgentState::kUpstreamDown);
  it.Arrive(3);
  const auto alone =
      Only<DispatchRequest>(it.End(3, 1, DispatchOutcome::kRefused, failed));
  BOOST_REQUIRE_EQUAL(alone.size(), 1);
  BOOST_CHECK_EQUAL(alone.front().agent.value, kA.value);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::routing::testing
