#include "AgentHarness.h"
#include "Property.h"

namespace shallotbeam::admission {

namespace {

protocol::Heartbeat LastHeartbeat(Harness& agent) {
  const auto sent = agent.TakeSent<protocol::Heartbeat>();
  return sent.empty() ? protocol::Heartbeat() : sent.back();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(UpstreamFaultsTest)

// Guards against an upstream attracting all requests because it fails fast: in
// 10 s of continuous demand, a slot with a back-off of 50 ms that doubles up to
// 2 s starts at most 12 requests.
BOOST_AUTO_TEST_CASE(FastErrorsAreThrottled) {
  Harness agent(Pool(1));
  std::uint64_t sequence = 0;
  for (int i = 0; i < 500; ++i) {
    agent.Apply(agent.Offer(++sequence));
    if (!agent.state.running.empty()) {
      agent.End(sequence, UpstreamOutcome::kError);
    }
    agent.Advance(milliseconds(20));
  }
  BOOST_CHECK_LE(agent.Take<StartUpstream>().size(), 12);
}

// Guards against heartbeats that advertise slots in back-off or slots for which
// requests wait.
BOOST_AUTO_TEST_CASE(HeartbeatsReportOnlyUsableSlots) {
  Harness agent(Pool(2));
  for (const std::uint64_t it : {1, 2}) agent.Apply(agent.Offer(it));
  agent.End(1, UpstreamOutcome::kError);
  agent.End(2, UpstreamOutcome::kError);
  BOOST_CHECK_EQUAL(agent.state.backoff_slots.size(), 2);
  agent.now += milliseconds(10);
  agent.state.heartbeat_sent = {};
  agent.Apply(Tick{});
  BOOST_CHECK_EQUAL(LastHeartbeat(agent).free_slots, 0);
  agent.Advance(seconds(1));
  BOOST_CHECK_EQUAL(LastHeartbeat(agent).free_slots, 2);
  // No slots are advertised while requests wait at routers.
  agent.state.backoff_slots.insert(agent.now + seconds(9));
  agent.state.backoff_slots.insert(agent.now + seconds(9));
  agent.Demand(1, "a", 1);
  agent.state.heartbeat_sent = {};
  agent.Apply(Tick{});
  BOOST_CHECK_EQUAL(LastHeartbeat(agent).free_slots, 0);
}

// Guards against requests that wait for an unavailable upstream until their
// deadline.
BOOST_AUTO_TEST_CASE(WaitingRequestsAreReturnedWhenTheUpstreamBreaks) {
  Harness agent(Pool(1, 1));
  agent.Apply(agent.Offer(1));
  agent.Apply(agent.Offer(2, "k", 4));
  agent.Demand(1, "b", 3);
  agent.Take<StartUpstream>();
  agent.End(1, UpstreamOutcome::kBroken);
  BOOST_CHECK(agent.state.waiting.empty() && agent.state.grants.empty());
  AgentActions actions = agent.actions;
  const auto rejects = agent.Take<RejectOffer>();
  BOOST_REQUIRE_EQUAL(rejects.size(), 2);
  BOOST_CHECK(rejects[0].id == Id(2));
  BOOST_CHECK(rejects[0].refusal.verdict == common::Verdict::kNotRun);
  BOOST_CHECK(rejects[1].refusal.verdict == common::Verdict::kMayHaveRun);
  agent.actions = std::move(actions);
  const protocol::Heartbeat heartbeat = LastHeartbeat(agent);
  BOOST_CHECK(heartbeat.state == protocol::AgentState::kUpstreamDown);
  BOOST_CHECK_EQUAL(heartbeat.free_slots, 0);
  // The key was revoked at its revision and may run elsewhere at a higher one.
  agent.Apply(UpstreamProbed{.reachable = true});
  BOOST_CHECK(agent.state.keys.entries.at("a\nk").state == KeyState::kRevoked);
  BOOST_CHECK_EQUAL(agent.state.keys.entries.at("a\nk").revision, 4);
}

// Guards against an upstream keeping its slots although it accepts requests and
// never answers: each attempt ends at its deadline and the limit falls to the
// minimum.
BOOST_AUTO_TEST_CASE(SilentUpstreamLosesItsSlots) {
  Harness agent({.initial_slots = 8, .min_slots = 1, .max_slots = 8});
  std::uint64_t sequence = 0;
  std::size_t late = 0;
  for (int i = 0; i < 3000; ++i) {
    RequestOffered offer = agent.Offer(++sequence);
    offer.time_left = seconds(1);
    agent.Apply(offer);
    agent.Advance(milliseconds(20));
    late += agent.Take<CancelUpstream>().size();
  }
  BOOST_CHECK_GT(late, 0);
  BOOST_CHECK_EQUAL(SlotLimit(agent.state.limit), 1);
}

// Guards against two requests suspected of crashing upstreams running together
// because one of them waited when it was checked.
BOOST_AUTO_TEST_CASE(WaitingSuspectsAreIsolated) {
  Harness agent(Pool(2));
  for (const std::uint64_t it : {1, 2}) agent.Apply(agent.Offer(it));
  for (const std::uint64_t it : {3, 4}) {
    RequestOffered offer = agent.Offer(it, std::to_string(it), 1);
    offer.suspect = true;
    agent.Apply(offer);
  }
  agent.End(1, UpstreamOutcome::kCompleted, 1);
  agent.End(2, UpstreamOutcome::kCompleted, 1);
  int suspects = 0;
  for (const auto& [id, it] : agent.state.running) suspects += it.suspect;
  BOOST_CHECK_EQUAL(suspects, 1);
}

// Guards against running a suspect because its router did not know of the crash
// yet, and against running a suspect beside a copy that started before the
// crash.
BOOST_AUTO_TEST_CASE(SuspectUnknownToTheRouterIsRejected) {
  Harness agent(Pool(3));
  RequestOffered copy = agent.Offer(1);
  agent.Apply(copy);
  agent.Message(kRouter, kRouterIncarnation,
                protocol::Suspects{
                    .rows = {{.fingerprint = copy.fingerprint, .crashes = 1}}});
  copy.id = Id(2);
  agent.Take<RejectOffer>();
  agent.Apply(copy);
  auto rejected = agent.Take<RejectOffer>();
  BOOST_REQUIRE_EQUAL(rejected.size(), 1);
  BOOST_CHECK(rejected.front().refusal.reason ==
              common::Reason::kSuspectIsolated);
  copy.id = Id(3);
  copy.suspect = true;
  agent.Apply(copy);
  rejected = agent.Take<RejectOffer>();
  BOOST_REQUIRE_EQUAL(rejected.size(), 1);
  agent.End(1, UpstreamOutcome::kError);
  agent.Advance(milliseconds(100));
  agent.Apply(copy);
  BOOST_CHECK_EQUAL(agent.state.running.size(), 1);
}

// Guards against a crash that is not attributed to a request because its caller
// disconnected just before.
BOOST_AUTO_TEST_CASE(CancelledRequestIsASuspect) {
  Harness agent(Pool(1));
  agent.Apply(agent.Offer(1));
  agent.Apply(OfferWithdrawn{.id = Id(1)});
  agent.Apply(agent.Offer(2));
  agent.Take<SendMessage>();
  agent.End(2, UpstreamOutcome::kNotSent);
  const auto reports = agent.TakeSent<protocol::Suspects>();
  BOOST_REQUIRE_EQUAL(reports.size(), 1);
  std::set<common::Fingerprint> reported;
  for (const auto& it : reports.front().rows) reported.insert(it.fingerprint);
  BOOST_CHECK(reported.contains(agent.Offer(1).fingerprint));
}

// Guards against a crash whose cause can't be identified because another
// suspect was cancelled just before.
BOOST_AUTO_TEST_CASE(SuspectWaitsForACancelledSuspect) {
  Harness agent(Pool(2));
  RequestOffered first = agent.Offer(1);
  RequestOffered second = agent.Offer(2);
  agent.Message(
      kRouter, kRouterIncarnation,
      protocol::Suspects{
          .rows = {{.fingerprint = first.fingerprint, .crashes = 1},
                   {.fingerprint = second.fingerprint, .crashes = 1}}});
  first.suspect = second.suspect = true;
  agent.Apply(first);
  agent.Apply(OfferWithdrawn{.id = Id(1)});
  agent.Apply(second);
  BOOST_CHECK(agent.state.running.empty());
  agent.Advance(seconds(1));
  agent.Apply(second);
  BOOST_CHECK_EQUAL(agent.state.running.size(), 1);
}

// Guards against a suspect that is sent back and forth between its router and
// the only agent that may run it while that agent has no free slot.
BOOST_AUTO_TEST_CASE(SuspectWaitsForASlot) {
  Harness agent(Pool(1));
  agent.Apply(agent.Offer(1));
  RequestOffered suspect = agent.Offer(2);
  suspect.suspect = true;
  agent.Apply(suspect);
  BOOST_CHECK_EQUAL(agent.state.waiting.size(), 1);
  agent.End(1, UpstreamOutcome::kCompleted, 1);
  BOOST_CHECK(agent.state.running.contains(Id(2)));
}

// Guards against cost estimates that fall towards zero because of requests that
// did not complete.
BOOST_AUTO_TEST_CASE(OnlyCompletedRequestsUpdateTheEstimate) {
  Harness agent(Pool(1));
  agent.Apply(agent.Offer(1));
  agent.End(1, UpstreamOutcome::kCompleted, 400);
  for (const auto outcome : {UpstreamOutcome::kRefused, UpstreamOutcome::kError,
                             UpstreamOutcome::kTimedOut}) {
    agent.Advance(seconds(3));
    agent.Apply(agent.Offer(2));
    agent.End(2, outcome);
  }
  agent.Advance(seconds(3));
  agent.Apply(agent.Offer(3));
  BOOST_REQUIRE_EQUAL(agent.state.running.size(), 1);
  BOOST_CHECK_EQUAL(agent.state.running.begin()->second.charged, 400);
}

// Guards against a cancelled or late request that stays charged with its
// estimate, or is refunded the tokens that were generated.
BOOST_AUTO_TEST_CASE(CancelledRequestIsChargedForGeneratedTokens) {
  for (const bool withdrawn : {true, false}) {
    Harness agent(Pool(1));
    agent.Apply(agent.Offer(1));
    agent.End(1, UpstreamOutcome::kCompleted, 400);
    agent.Apply(agent.Offer(2));
    BOOST_CHECK_EQUAL(agent.ServiceOf("a"), 800);
    agent.Apply(UpstreamProgressed{.id = Id(2), .generated_tokens = 90});
    if (withdrawn) {
      agent.Apply(OfferWithdrawn{.id = Id(2)});
    } else {
      agent.Advance(seconds(31));
    }
    BOOST_CHECK_EQUAL(agent.ServiceOf("a"), 490);
    BOOST_CHECK(agent.state.running.empty());
  }
}

// Guards against the time to first token being ignored or counted in the time
// per token.
BOOST_AUTO_TEST_CASE(FirstTokenTimeIsMeasuredSeparately) {
  Harness agent(Pool(1));
  for (std::uint64_t i = 0; i < 8; ++i) {
    agent.Apply(agent.Offer(i));
    agent.now += seconds(1);
    agent.Apply(UpstreamResponded{.id = Id(i)});
    agent.now += milliseconds(640);
    agent.Apply(UpstreamProgressed{.id = Id(i), .generated_tokens = 32});
    agent.End(i, UpstreamOutcome::kCompleted, 32);
  }
  BOOST_CHECK_CLOSE(agent.state.limit.unit_time.best, 0.02, 0.1);
  BOOST_CHECK_CLOSE(agent.state.limit.first_token.at(0).best, 1.0, 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::admission
