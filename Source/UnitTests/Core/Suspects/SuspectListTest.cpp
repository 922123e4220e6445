#include <deque>
#include <vector>

#include "Property.h"
#include "Suspects/SuspectList.h"

namespace shallotbeam::suspects {

namespace {

using common::Fingerprint;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr auto kCulprit = static_cast<Fingerprint>(1);
constexpr auto kOther = static_cast<Fingerprint>(2);
const common::TimePoint kStart = common::TimePoint() + std::chrono::hours(1);

protocol::Suspects Row(int crashes, milliseconds age) {
  return {.rows = {{.fingerprint = kCulprit, .crashes = crashes, .age = age}}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SuspectListTest)

// Guards against a ban after one crash and against a third crash.
BOOST_AUTO_TEST_CASE(SecondCrashOfTheOnlySuspectBans) {
  SuspectList list;
  NoteCrash(list, {kCulprit, kOther}, kStart);
  BOOST_CHECK(IsSuspect(list, kCulprit, kStart));
  BOOST_CHECK(!IsBanned(list, kCulprit, kStart));
  NoteCrash(list, {kCulprit, static_cast<Fingerprint>(3)}, kStart);
  BOOST_CHECK(IsBanned(list, kCulprit, kStart));
  BOOST_CHECK(!IsBanned(list, kOther, kStart));
  BOOST_CHECK(!IsBanned(list, static_cast<Fingerprint>(3), kStart));
  BOOST_CHECK(!IsBanned(list, kCulprit, kStart + list.options.poison_ban));
}

// Guards against a ban of innocent requests when the cause is not certain.
BOOST_AUTO_TEST_CASE(TwoSuspectsAreNotBanned) {
  SuspectList list;
  NoteCrash(list, {kCulprit, kOther}, kStart);
  NoteCrash(list, {kCulprit, kOther}, kStart + seconds(1));
  BOOST_CHECK(!IsBanned(list, kCulprit, kStart + seconds(1)));
  BOOST_CHECK(!IsBanned(list, kOther, kStart + seconds(1)));
}

// Guards against a culprit that escapes the ban by being in flight twice.
BOOST_AUTO_TEST_CASE(TwoSendsOfOneRequestAreOneSuspect) {
  SuspectList list;
  NoteCrash(list, {kCulprit}, kStart);
  NoteCrash(list, {kCulprit, kCulprit}, kStart);
  BOOST_CHECK(IsBanned(list, kCulprit, kStart));
  BOOST_CHECK_EQUAL(list.suspects.at(kCulprit).crashes, 2);
}

// Guards against a harmless request that stays a suspect elsewhere after it
// completed, and against a clearing that outlives a later crash.
BOOST_AUTO_TEST_CASE(ClearingReachesPeers) {
  SuspectList list;
  SuspectList peer;
  Merge(peer, NoteCrash(list, {kCulprit}, kStart, common::ProcessName("a")),
        kStart);
  BOOST_CHECK_EQUAL(CrashedAt(peer, kCulprit).size(), 1);
  const protocol::Suspects cleared =
      NoteCompleted(list, kCulprit, kStart + seconds(1));
  BOOST_CHECK(Merge(peer, cleared, kStart + seconds(1)));
  BOOST_CHECK(!Merge(peer, cleared, kStart + seconds(1)));
  BOOST_CHECK(!IsSuspect(peer, kCulprit, kStart + seconds(1)));
  BOOST_CHECK(CrashedAt(peer, kCulprit).empty());
  NoteCrash(peer, {kCulprit}, kStart + seconds(3));
  protocol::Suspects late = cleared;
  late.rows.front().age = seconds(3);
  BOOST_CHECK(!Merge(peer, late, kStart + seconds(4)));
  BOOST_CHECK(IsSuspect(peer, kCulprit, kStart + seconds(4)));
}

// Guards against a third crash when the first two happened at the same time,
// and against a ban because a report arrived twice.
BOOST_AUTO_TEST_CASE(CrashesAtTheSameTimeAreCounted) {
  const common::ProcessName a("a");
  const common::ProcessName b("b");
  SuspectList at_a;
  SuspectList at_b;
  const auto first = NoteCrash(at_a, {kCulprit, kOther}, kStart, a);
  const auto second = NoteCrash(at_b, {kCulprit}, kStart, b);
  SuspectList router;
  Merge(router, first, kStart);
  Merge(router, first, kStart);
  BOOST_CHECK(!IsBanned(router, kCulprit, kStart));
  BOOST_CHECK(Merge(router, second, kStart));
  BOOST_CHECK(IsBanned(router, kCulprit, kStart));
  BOOST_CHECK(!IsBanned(router, kOther, kStart));
  Merge(at_a, second, kStart);
  BOOST_CHECK(IsBanned(at_a, kCulprit, kStart));
  // With two candidates in flight twice, neither is proven.
  SuspectList at_c;
  const auto third =
      NoteCrash(at_c, {kCulprit, kOther}, kStart, common::ProcessName("c"));
  SuspectList unsure;
  Merge(unsure, first, kStart);
  Merge(unsure, third, kStart);
  BOOST_CHECK(!IsBanned(unsure, kCulprit, kStart));
  BOOST_CHECK(!IsBanned(unsure, kOther, kStart));
}

// Guards against a suspect that is sent to an upstream which it crashed
// according to another agent.
BOOST_AUTO_TEST_CASE(CrashedAgentsAreMerged) {
  SuspectList list;
  Merge(list, NoteCrash(list, {kCulprit}, kStart, common::ProcessName("a")),
        kStart);
  SuspectList other;
  const protocol::Suspects rows =
      NoteCrash(other, {kCulprit}, kStart, common::ProcessName("b"));
  BOOST_CHECK(Merge(list, rows, kStart));
  BOOST_CHECK(!Merge(list, rows, kStart));
  BOOST_CHECK_EQUAL(CrashedAt(list, kCulprit).size(), 2);
}

// Guards against a cleared suspect that a late report marks again.
BOOST_AUTO_TEST_CASE(ReportFromBeforeTheClearingIsIgnored) {
  SuspectList list;
  NoteCrash(list, {kCulprit}, kStart);
  NoteCompleted(list, kCulprit, kStart + seconds(2));
  BOOST_CHECK(!IsSuspect(list, kCulprit, kStart + seconds(3)));
  BOOST_CHECK(!Merge(list, Row(1, seconds(2)), kStart + seconds(3)));
  BOOST_CHECK(!IsSuspect(list, kCulprit, kStart + seconds(3)));
  BOOST_CHECK(Merge(list, Row(1, milliseconds(500)), kStart + seconds(3)));
  BOOST_CHECK(IsSuspect(list, kCulprit, kStart + seconds(3)));
}

// Guards against a suspect that is forgotten although it crashed again.
BOOST_AUTO_TEST_CASE(NewCrashRenewsAnExpiredSuspect) {
  SuspectList list;
  NoteCrash(list, {kCulprit}, kStart);
  const auto later = kStart + list.options.memory;
  BOOST_CHECK(!IsSuspect(list, kCulprit, later));
  BOOST_CHECK(Merge(list, Row(1, milliseconds(0)), later));
  BOOST_CHECK(IsSuspect(list, kCulprit, later));
}

// Guards against peers that echo rows to each other for ever.
BOOST_AUTO_TEST_CASE(MergeOfKnownRowsIsNoNews) {
  test::CheckProperty("a second merge of the same rows is no news", [] {
    SuspectList list;
    protocol::Suspects rows;
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
      rows.rows.push_back(
          {.fingerprint = static_cast<Fingerprint>(*rc::gen::inRange(1, 4)),
           .crashes = *rc::gen::inRange(0, 4),
           .ban_left = milliseconds(*rc::gen::inRange(0, 900'000)),
           .age = milliseconds(*rc::gen::inRange(0, 900'000))});
    }
    Merge(list, rows, kStart);
    RC_ASSERT(!Merge(list, rows, kStart));
    RC_ASSERT(!Merge(list, Snapshot(list, kStart), kStart));
  });
}

// Pattern: an upstream crashes while an equal request completes elsewhere.
// Guards against reports that the fleet passes round for ever: 3 routers and 4
// agents did at 55 to 78% of a core each, found by soak seed 10.
BOOST_AUTO_TEST_CASE(CrossingReportsEndTheirWay) {
  constexpr int kRouters = 3;
  constexpr int kAgents = 4;
  struct Delivery {
    int to = 0;
    protocol::Suspects rows;
  };
  std::vector<SuspectList> processes(kRouters + kAgents);
  std::deque<Delivery> on_their_way;
  const auto send = [&](int from, const protocol::Suspects& rows) {
    const bool router = from < kRouters;
    const int first = router ? kRouters : 0;
    const int last = router ? kRouters + kAgents : kRouters;
    for (int to = first; to < last; ++to) on_their_way.push_back({to, rows});
  };
  common::TimePoint now = kStart;
  const protocol::Suspects crash =
      NoteCrash(processes[kRouters], {kCulprit}, now, common::ProcessName("a"));
  SuspectList& other = processes[kRouters + 1];
  Merge(other, crash, now);
  now += milliseconds(1);
  send(kRouters, crash);
  send(kRouters + 1, NoteCompleted(other, kCulprit, now));
  int delivered = 0;
  while (!on_their_way.empty() && delivered < 10'000) {
    const Delivery it = on_their_way.front();
    on_their_way.pop_front();
    ++delivered;
    now += milliseconds(1);
    if (!Merge(processes.at(it.to), it.rows, now)) continue;
    if (const auto rows = PassOn(it.rows)) send(it.to, *rows);
  }
  // Twice to all routers, once from each router to all agents, and once from
  // each agent to all routers.
  constexpr int kMost =
      2 * (kRouters + kRouters * kAgents + kRouters * kAgents * kRouters);
  BOOST_CHECK_LE(delivered, kMost);
}

// Guards against growth without bound.
BOOST_AUTO_TEST_CASE(OldEntriesAreForgotten) {
  SuspectList list;
  NoteCrash(list, {kCulprit}, kStart);
  Expire(list, kStart + list.options.memory - seconds(1));
  BOOST_CHECK_EQUAL(list.suspects.size(), 1);
  Expire(list, kStart + list.options.memory);
  BOOST_CHECK(list.suspects.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::suspects
