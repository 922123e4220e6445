#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "Common/Clock.h"
#include "Property.h"
#include "Suspects/CrashEvidence.h"

namespace shallotbeam::suspects {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

protocol::Trait RequestTrait(std::uint64_t number) {
  return {.fingerprint = static_cast<common::Fingerprint>(number),
          .kind = protocol::TraitKind::kRequest};
}

protocol::Trait PartTrait(std::uint64_t number) {
  return {.fingerprint = static_cast<common::Fingerprint>(number),
          .kind = protocol::TraitKind::kPromptPart};
}

protocol::CrashId Crash(std::uint64_t number) {
  return static_cast<protocol::CrashId>(number);
}

struct Fixture {
  common::ManualClock clock;
  CrashEvidence evidence;

  // Crashes an upstream `step` later, with a request that was sent `ago` before
  // the crash.
  Fingerprints CrashAfter(common::Duration step, std::uint64_t crash,
                          const protocol::Trait& trait, common::Duration ago) {
    clock.Advance(step);
    const common::TimePoint now = clock.Now();
    return RecordCrash(evidence, Crash(crash), now,
                       {{.traits = {trait}, .sent = now - ago}});
  }
  bool IsBanned(const protocol::Trait& trait) const {
    return FindBannedTrait(evidence, clock.Now(), {trait}).has_value();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CrashEvidenceTest, Fixture)

// Guards against a request that crashes more upstreams than two.
BOOST_AUTO_TEST_CASE(SecondCrashBansARequest) {
  CrashAfter(1s, 1, RequestTrait(7), 300ms);
  BOOST_CHECK(!IsBanned(RequestTrait(7)));
  CrashAfter(1s, 2, RequestTrait(7), 300ms);
  BOOST_CHECK(IsBanned(RequestTrait(7)));
  BOOST_CHECK(!IsBanned(RequestTrait(8)));
}

// Guards against requests that crash one upstream after the other by a part of
// their prompts, no two of them alike, and against the refusal of sound
// requests that share the other parts.
BOOST_AUTO_TEST_CASE(OnlyThePartThatCrashesUpstreamsIsBanned) {
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    BOOST_CHECK(!IsBanned(PartTrait(66)));
    clock.Advance(500ms);
    // Part 1 is in all prompts, part 2 in one of the sound ones that wait.
    RecordCrash(
        evidence, Crash(crash), clock.Now(),
        {{.traits = {RequestTrait(100 + crash), PartTrait(1), PartTrait(66)},
          .sent = clock.Now() - 300ms},
         {.traits = {RequestTrait(200 + crash), PartTrait(1),
                     PartTrait(1 + crash)},
          .sent = clock.Now() - 200ms}});
    clock.Advance(100ms);
    RecordResponse(evidence, clock.Now(), {RequestTrait(300), PartTrait(1)});
  }
  BOOST_CHECK(IsBanned(PartTrait(66)));
  for (const std::uint64_t it : {1, 2, 3, 4}) {
    BOOST_CHECK(!IsBanned(PartTrait(it)));
  }
}

// Guards against the refusal of sound requests that share a part with all
// prompts that crash upstreams: that part was answered before, at any gateway.
BOOST_AUTO_TEST_CASE(PartThatWasAnsweredBeforeIsNotBannedWithTheOther) {
  CrashEvidence other;
  RecordResponse(other, clock.Now(), {PartTrait(1)});
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    clock.Advance(500ms);
    const auto changed = RecordCrash(evidence, Crash(crash), clock.Now(),
                                     {{.traits = {PartTrait(1), PartTrait(66)},
                                       .sent = clock.Now() - 300ms}});
    const auto result =
        Merge(other, clock.Now(), RowsOf(evidence, clock.Now(), changed));
    Merge(evidence, clock.Now(),
          RowsOf(other, clock.Now(), result.answered_before));
  }
  BOOST_CHECK(IsBanned(PartTrait(66)));
  BOOST_CHECK(!IsBanned(PartTrait(1)));
  // It is banned all the same if it turns out to crash upstreams.
  for (std::uint64_t crash = 4; crash <= 6; ++crash) {
    BOOST_CHECK(!IsBanned(PartTrait(1)));
    CrashAfter(500ms, crash, PartTrait(1), 300ms);
  }
  BOOST_CHECK(IsBanned(PartTrait(1)));
}

// Guards against a ban of all requests that many upstreams were running when
// they lost power together.
BOOST_AUTO_TEST_CASE(SimultaneousCrashesCountOnce) {
  for (std::uint64_t crash = 1; crash <= 5; ++crash) {
    CrashAfter(10ms, crash, RequestTrait(7), 300ms);
  }
  BOOST_CHECK(!IsBanned(RequestTrait(7)));
  CrashAfter(1s, 6, RequestTrait(7), 300ms);
  BOOST_CHECK(IsBanned(RequestTrait(7)));
}

// Guards against a ban that is kept although the request is answered, and
// against earlier crashes that come back with the rows of other processes.
BOOST_AUTO_TEST_CASE(AnswerClearsEarlierCrashes) {
  CrashAfter(1s, 1, RequestTrait(7), 300ms);
  CrashAfter(1s, 2, RequestTrait(7), 300ms);
  const auto rows = RowsOf(evidence, clock.Now(), Suspects(evidence));
  clock.Advance(1ms);
  BOOST_CHECK_EQUAL(
      RecordResponse(evidence, clock.Now(), {RequestTrait(7)}).size(), 1);
  BOOST_CHECK(!IsBanned(RequestTrait(7)));
  BOOST_CHECK(RecordResponse(evidence, clock.Now(), {RequestTrait(7)}).empty());
  clock.Advance(1ms);
  BOOST_CHECK(Merge(evidence, clock.Now(), rows).changed.empty());
  BOOST_CHECK(!IsBanned(RequestTrait(7)));
}

// Guards against a request that is refused for ever, and against one that is
// forgotten with the end of its ban.
BOOST_AUTO_TEST_CASE(BanEndsAndReturnsWithTheNextCrash) {
  CrashAfter(1s, 1, RequestTrait(7), 300ms);
  CrashAfter(1s, 2, RequestTrait(7), 300ms);
  clock.Advance(evidence.options.ban_duration);
  BOOST_CHECK(!IsBanned(RequestTrait(7)));
  CrashAfter(1s, 3, RequestTrait(7), 300ms);
  BOOST_CHECK(IsBanned(RequestTrait(7)));
  clock.Advance(evidence.options.retention);
  Expire(evidence, clock.Now());
  BOOST_CHECK(evidence.rows.empty());
}

// Guards against verdicts that differ between processes because they received
// rows in another order, or several times.
BOOST_AUTO_TEST_CASE(RowsMergeInAnyOrder) {
  test::CheckProperty("merging is independent of the order", [] {
    common::ManualClock clock;
    CrashEvidence writers[3];
    std::vector<std::pair<protocol::CrashRow, common::TimePoint>> sent;
    const int events = *rc::gen::inRange(1, 12);
    for (int i = 0; i < events; ++i) {
      clock.Advance(std::chrono::milliseconds(*rc::gen::inRange(200, 2'000)));
      CrashEvidence& writer = writers[*rc::gen::inRange(0, 3)];
      const auto trait = RequestTrait(*rc::gen::inRange(1, 3));
      Fingerprints changed;
      if (*rc::gen::inRange(0, 4) == 0) {
        changed = RecordResponse(writer, clock.Now(), {trait});
      } else {
        changed = RecordCrash(
            writer, Crash(static_cast<std::uint64_t>(i)), clock.Now(),
            {{.traits = {trait},
              .sent = clock.Now() -
                      std::chrono::milliseconds(*rc::gen::inRange(10, 900))}});
      }
      for (const auto& it : RowsOf(writer, clock.Now(), changed)) {
        sent.emplace_back(it, clock.Now());
      }
    }
    // All messages arrive at the same time, with their ages on arrival.
    std::vector<protocol::CrashRow> rows;
    for (auto& [row, time] : sent) {
      const auto delay = common::ToMicroseconds(clock.Now() - time);
      row.cleared_age += delay;
      for (auto& it : row.crashes) {
        it.age += delay;
        it.sent_age += delay;
      }
      rows.push_back(row);
    }
    const auto verdict = [&](const std::vector<protocol::CrashRow>& order) {
      CrashEvidence reader;
      for (const auto& it : order) Merge(reader, clock.Now(), {it});
      std::vector<bool> banned;
      for (std::uint64_t it = 1; it < 3; ++it) {
        banned.push_back(
            FindBannedTrait(reader, clock.Now(), {RequestTrait(it)})
                .has_value());
      }
      return banned;
    };
    const auto expected = verdict(rows);
    std::reverse(rows.begin(), rows.end());
    RC_ASSERT(verdict(rows) == expected);
    const auto copy = rows;
    rows.insert(rows.end(), copy.begin(), copy.end());
    RC_ASSERT(verdict(rows) == expected);
  });
}

// Guards against ages in a malformed message that overflow.
BOOST_AUTO_TEST_CASE(MalformedAgesAreLimited) {
  const auto huge = std::chrono::microseconds::max();
  for (const auto age : {huge, -huge}) {
    Merge(evidence, clock.Now(),
          {{.trait = RequestTrait(7),
            .crashes = {{.crash = Crash(1), .age = age, .sent_age = -age}},
            .cleared = true,
            .cleared_age = age}});
    static_cast<void>(
        FindBannedTrait(evidence, clock.Now(), {RequestTrait(7)}));
    Expire(evidence, clock.Now());
  }
}

// Guards against memory that grows with the number of crashed requests.
BOOST_AUTO_TEST_CASE(NumberOfRowsIsLimited) {
  evidence.options.max_rows = 5;
  for (std::uint64_t it = 1; it <= 20; ++it) {
    CrashAfter(1ms, it, RequestTrait(it), 300ms);
  }
  evidence.options.max_answered = 3;
  for (std::uint64_t it = 1; it <= 20; ++it) {
    RecordResponse(evidence, clock.Now(), {PartTrait(100 + it)});
  }
  Expire(evidence, clock.Now());
  BOOST_CHECK_EQUAL(evidence.answered.size(), 3);
  BOOST_CHECK_EQUAL(evidence.rows.size(), 5);
  BOOST_CHECK(evidence.rows.contains(RequestTrait(20).fingerprint));
}

// Guards against a row that is lost because its only message was.
BOOST_AUTO_TEST_CASE(RowsAreSentSeveralTimes) {
  CrashRowQueue queue{.sends = 2, .max_rows = 2};
  Fingerprints changed;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    const auto added = CrashAfter(1ms, it, RequestTrait(it), 300ms);
    changed.insert(changed.end(), added.begin(), added.end());
  }
  Enqueue(queue, clock.Now(), changed);
  std::size_t sent = 0;
  int messages = 0;
  for (int i = 0; i < 100; ++i) {
    const auto rows = TakeDueRows(queue, evidence, clock.Now());
    BOOST_CHECK_LE(rows.size(), 2);
    sent += rows.size();
    if (!rows.empty()) ++messages;
    clock.Advance(20ms);
  }
  BOOST_CHECK_EQUAL(sent, 6);
  BOOST_CHECK_GE(messages, 3);
  BOOST_CHECK(queue.sends_left.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::suspects
