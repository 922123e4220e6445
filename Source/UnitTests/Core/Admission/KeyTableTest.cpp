#include <algorithm>
#include <map>
#include <set>

#include "Admission/KeyTable.h"
#include "AgentHarness.h"
#include "Property.h"

namespace shallotbeam::admission {

namespace {

const common::TimePoint kStart{seconds(1000)};

protocol::Revoke RevokeOf(const std::string& key, std::uint64_t revision) {
  return {.bound_to = kAgentIncarnation,
          .workspace = Workspace("a"),
          .key = key,
          .binding_revision = revision};
}

// Records starts and "not run" answers per key and fails on a contradiction.
struct AtMostOnce {
  std::map<AttemptId, std::pair<std::string, std::uint64_t>> offers;
  std::map<std::string, int> open_starts;
  std::map<std::string, std::uint64_t> revoked;  // highest revision

  void NotRun(const std::string& key, std::uint64_t revision) {
    auto [it, first] = revoked.try_emplace(key, revision);
    if (!first) it->second = std::max(it->second, revision);
    // A request with the key ran or may run, so "not run" would be false.
    RC_ASSERT(open_starts[key] == 0);
  }

  void Check(const AgentActions& actions) {
    for (const AgentAction& it : actions) {
      if (const auto* start = std::get_if<StartUpstream>(&it)) {
        const auto& [key, revision] = offers.at(start->id);
        RC_ASSERT(++open_starts[key] == 1);
        const auto revocation = revoked.find(key);
        // The macro evaluates both sides of an operator without parentheses.
        RC_ASSERT(
            (revocation == revoked.end() || revision > revocation->second));
      }
      const auto* reject = std::get_if<RejectOffer>(&it);
      if (reject != nullptr &&
          reject->refusal.verdict == common::Verdict::kNotRun) {
        NotRun(offers.at(reject->id).first, offers.at(reject->id).second);
      }
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(KeyTableTest)

// Guards against a key that runs twice, and against a start at the same or a
// lower revision after "not run" was answered.
BOOST_AUTO_TEST_CASE(NoKeyRunsTwice) {
  test::CheckProperty("at most one start per key", [] {
    Harness agent(Pool(2));
    agent.state.keys.options = {.max_keys = 3, .max_extra_revoked = 2};
    AtMostOnce check;
    std::uint64_t sequence = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(
        200, rc::gen::inRange(0, 1 << 20));
    for (const int step : steps) {
      const std::string key = std::to_string((step >> 4) % 6);
      const auto revision = static_cast<std::uint64_t>((step >> 8) % 4);
      const int kind = step % 16;
      agent.now += milliseconds(10);
      if (kind < 8) {
        const RequestOffered offer = agent.Offer(++sequence, key, revision);
        check.offers[offer.id] = {key, revision};
        agent.Apply(offer);
      } else if (kind < 10) {
        agent.Message(kRouter, kRouterIncarnation, RevokeOf(key, revision));
        for (const AgentAction& it : agent.actions) {
          const auto* sent = std::get_if<SendMessage>(&it);
          if (sent == nullptr) continue;
          const auto* reply = std::get_if<protocol::RevokeReply>(&sent->body);
          if (reply != nullptr && !reply->started) check.NotRun(key, revision);
        }
      } else if (kind == 10) {
        agent.Apply(Tick{});
        agent.Apply(UpstreamProbed{.reachable = true});
      } else if (kind == 11) {
        if (sequence > 0) {
          agent.Apply(OfferWithdrawn{.id = Id(1 + (step >> 4) % sequence)});
        }
      } else if (!agent.state.running.empty()) {
        const auto outcome = static_cast<UpstreamOutcome>((step >> 4) % 6);
        const AttemptId id = agent.state.running.begin()->first;
        const bool not_run = outcome == UpstreamOutcome::kRefused ||
                             outcome == UpstreamOutcome::kNotSent;
        if (not_run) check.open_starts[check.offers.at(id).first] = 0;
        agent.Apply(
            UpstreamEnded{.id = id, .outcome = outcome, .response_bytes = 10});
      }
      check.Check(std::exchange(agent.actions, {}));
      RC_ASSERT(agent.state.keys.entries.size() <= 5);
    }
  });
}

// Guards against a key whose outcome is unknown (timed out at the deadline,
// connection broken, 5xx) being run again, and against remembering it forever.
BOOST_AUTO_TEST_CASE(UnknownOutcomeStaysMayHaveRun) {
  for (const UpstreamOutcome outcome :
       {UpstreamOutcome::kBroken, UpstreamOutcome::kTimedOut,
        UpstreamOutcome::kError}) {
    Harness agent(Pool(1));
    agent.Apply(agent.Offer(1, "k", 3));
    agent.End(1, outcome);
    agent.Apply(UpstreamProbed{.reachable = true});
    agent.Advance(seconds(3));
    agent.Take<StartUpstream>();
    agent.Apply(agent.Offer(2, "k", 9));
    BOOST_CHECK(agent.state.running.empty());
    const auto rejects = agent.Take<RejectOffer>();
    BOOST_REQUIRE_EQUAL(rejects.size(), 1);
    BOOST_CHECK(rejects[0].refusal.verdict == common::Verdict::kMayHaveRun);
    agent.Message(kRouter, kRouterIncarnation, RevokeOf("k", 9));
    BOOST_CHECK(agent.TakeSent<protocol::RevokeReply>().at(0).started);
    agent.now += std::chrono::hours(25);
    agent.Apply(Tick{});
    BOOST_CHECK(agent.state.keys.entries.empty());
  }
}

// Guards against a keyed request that passes its deadline staying in progress
// for good, or being started again.
BOOST_AUTO_TEST_CASE(KeyedRequestPastItsDeadlineIsCancelled) {
  Harness agent(Pool(1));
  agent.Apply(agent.Offer(1, "k", 3));
  agent.Advance(seconds(31));
  BOOST_CHECK_EQUAL(agent.Take<CancelUpstream>().size(), 1);
  BOOST_CHECK(agent.state.keys.entries.at("a\nk").state == KeyState::kUnknown);
}

// Guards against a workspace that is sent the result of another one.
BOOST_AUTO_TEST_CASE(KeysAreScopedToWorkspaces) {
  Harness agent(Pool(2));
  RequestOffered offer = agent.Offer(1, "b/c", 1);
  agent.Apply(offer);
  agent.End(1, UpstreamOutcome::kCompleted);
  offer = agent.Offer(2, "c", 1);
  offer.workspace = Workspace("a/b");
  agent.Apply(offer);
  BOOST_CHECK(agent.Take<ReplayResult>().empty());
  BOOST_CHECK_EQUAL(agent.state.running.size(), 1);
}

// Guards against a caller that reuses a key with another body and receives, or
// waits for, the result of the first body.
BOOST_AUTO_TEST_CASE(KeyWithAnotherBodyIsRefusedAsReused) {
  Harness agent(Pool(1));
  const RequestOffered first = agent.Offer(1, "k", 1);
  RequestOffered other = agent.Offer(2, "k", 1);
  other.fingerprint = agent.Offer(2).fingerprint;
  BOOST_REQUIRE(first.fingerprint != other.fingerprint);

  agent.Apply(first);
  agent.Take<StartUpstream>();
  for (const bool ended : {false, true}) {
    if (ended) agent.End(1, UpstreamOutcome::kCompleted);
    agent.Take<ReplayResult>();
    agent.Apply(other);
    const auto actions = std::exchange(agent.actions, {});
    BOOST_CHECK(std::none_of(actions.begin(), actions.end(), [](auto& it) {
      return std::holds_alternative<ReplayResult>(it) ||
             std::holds_alternative<StartUpstream>(it);
    }));
    const auto reject = std::find_if(
        actions.begin(), actions.end(),
        [](auto& it) { return std::holds_alternative<RejectOffer>(it); });
    BOOST_REQUIRE(reject != actions.end());
    const auto& refusal = std::get<RejectOffer>(*reject).refusal;
    BOOST_CHECK(refusal.reason == common::Reason::kKeyReused);
    BOOST_CHECK(refusal.verdict == common::Verdict::kMayHaveRun);
  }
  // The first body's resend still receives its result.
  agent.Apply(agent.Offer(3, "k", 1));
  BOOST_CHECK_EQUAL(agent.Take<ReplayResult>().size(), 1);
}

// Guards against a key becoming unusable although the first request with it
// never ran.
BOOST_AUTO_TEST_CASE(RevokedKeyMayCarryAnotherBody) {
  KeyTable table;
  const common::Fingerprint other{7};
  BOOST_CHECK(RevokeKey(table, "k", 1, kStart));
  BOOST_CHECK(Accept(table, {.key = "k", .fingerprint = other, .revision = 2},
                     kStart) == KeyAnswer::kRun);
}

// Guards against memory growth with every revocation or refusal of the same
// key.
BOOST_AUTO_TEST_CASE(RepeatedRevocationsTakeNoMemory) {
  KeyTable table;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    const auto now = kStart + seconds(i);
    BOOST_CHECK(RevokeKey(table, "k", i, now));
    BOOST_CHECK(Accept(table, {.key = "k", .revision = i + 1}, now) ==
                KeyAnswer::kRun);
    RecordNotRun(table, "k", now);
  }
  BOOST_CHECK_EQUAL(table.entries.size(), 1);
  BOOST_CHECK_EQUAL(table.finished.size(), 1);
}

// Guards against a full table answering "not run" for a key that it can't
// store.
BOOST_AUTO_TEST_CASE(FullTableAnswersNotRunOnlyForRevokedKeys) {
  KeyTable table{.options = {.max_keys = 1, .max_extra_revoked = 1}};
  BOOST_CHECK(Accept(table, {.key = "a", .revision = 1}, kStart) ==
              KeyAnswer::kRun);
  BOOST_CHECK(Accept(table, {.key = "b", .revision = 1}, kStart) ==
              KeyAnswer::kFullRevoked);
  BOOST_CHECK(Accept(table, {.key = "b", .revision = 1}, kStart) ==
              KeyAnswer::kRevoked);
  BOOST_CHECK(Accept(table, {.key = "c", .revision = 1}, kStart) ==
              KeyAnswer::kFullNotRevoked);
  BOOST_CHECK(!RevokeKey(table, "c", 1, kStart));
  BOOST_CHECK(RevokeKey(table, "b", 1, kStart));
}

// Guards against results being stored beyond the size limit or their retention
// time, and against a key that runs again after its result was deleted.
BOOST_AUTO_TEST_CASE(ResultsAreBoundedAndExpire) {
  KeyTable table{.options = {.max_result_bytes = 100}};
  for (const std::string key : {"a", "b", "c"}) {
    Accept(table, {.key = key, .revision = 1}, kStart);
    RecordStarted(table, key);
  }
  BOOST_CHECK(RecordDone(table, "a", 60, kStart).empty());
  const std::vector<std::string> dropped =
      RecordDone(table, "b", 60, kStart + seconds(1));
  BOOST_CHECK(dropped == std::vector<std::string>{"a"});
  BOOST_CHECK(Accept(table, {.key = "a", .revision = 9}, kStart) ==
              KeyAnswer::kExpired);
  BOOST_CHECK(Accept(table, {.key = "b", .revision = 1}, kStart) ==
              KeyAnswer::kReplay);
  // Larger than the limit on its own.
  BOOST_CHECK_EQUAL(RecordDone(table, "c", 101, kStart + seconds(2)).size(), 2);
  BOOST_CHECK_EQUAL(table.result_bytes, 0);

  Accept(table, {.key = "d", .revision = 1}, kStart);
  RecordDone(table, "d", 10, kStart + seconds(3));
  BOOST_CHECK_EQUAL(Expire(table, kStart + std::chrono::minutes(11)).size(), 1);
  BOOST_CHECK_EQUAL(table.result_bytes, 0);
  BOOST_CHECK_EQUAL(table.entries.size(), 4);
  Expire(table, kStart + std::chrono::hours(25));
  BOOST_CHECK(table.entries.empty() && table.finished.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::admission
