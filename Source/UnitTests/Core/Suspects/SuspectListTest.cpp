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

// Guards against a ban after one crash, and against a third crash before the
// ban.
BOOST_AUTO_TEST_CASE(SecondCrashOfTheOnlySuspectBans) {
  SuspectList list;
  RecordCrash(list, {kCulprit, kOther}, kStart);
  BOOST_CHECK(IsSuspect(list, kCulprit, kStart));
  BOOST_CHECK(!IsBanned(list, kCulprit, kStart));
  RecordCrash(list, {kCulprit, static_cast<Fingerprint>(3)}, kStart);
  BOOST_CHECK(IsBanned(list, kCulprit, kStart));
  BOOST_CHECK(!IsBanned(list, kOther, kStart));
  BOOST_CHECK(!IsBanned(list, static_cast<Fingerprint>(3), kStart));
  BOOST_CHECK(!IsBanned(list, kCulprit, kStart + list.options.ban_duration));
}

// Guards against a ban of innocent requests when the cause is not certain.
BOOST_AUTO_TEST_CASE(TwoSuspectsAreNotBanned) {
  SuspectList list;
  RecordCrash(list, {kCulprit, kOther}, kStart);
  RecordCrash(list, {kCulprit, kOther}, kStart + seconds(1));
  BOOST_CHECK(!IsBanned(list, kCulprit, kStart + seconds(1)));
  BOOST_CHECK(!IsBanned(list, kOther, kStart + seconds(1)));
}

// Guards against a crashing request that is not banned because two attempts of
// it were in flight.
BOOST_AUTO_TEST_CASE(TwoSendsOfOneRequestAreOneSuspect) {
  SuspectList list;
  RecordCrash(list, {kCulprit}, kStart);
  RecordCrash(list, {kCulprit, kCulprit}, kStart);
  BOOST_CHECK(IsBanned(list, kCulprit, kStart));
  BOOST_CHECK_EQUAL(list.suspects.at(kCulprit).crashes, 2);
}

// Guards against a harmless request that stays a suspect on other processes
// after it completed, and against a late clearing that overrides a more recent
// crash.
BOOST_AUTO_TEST_CASE(ClearingReachesPeers) {
  SuspectList list;
  SuspectList peer;
  Merge(peer, RecordCrash(list, {kCulprit}, kStart, common::ProcessName("a")),
        kStart);
  BOOST_CHECK_EQUAL(CrashedAgents(peer, kCulprit).size(), 1);
  const protocol::Suspects cleared =
      RecordCompletion(list, kCulprit, kStart + seconds(1));
  BOOST_CHECK(Merge(peer, cleared, kStart + seconds(1)));
  BOOST_CHECK(!Merge(peer, cleared, kStart + seconds(1)));
  BOOST_CHECK(!IsSuspect(peer, kCulprit, kStart + seconds(1)));
  BOOST_CHECK(CrashedAgents(peer, kCulprit).empty());
  RecordCrash(peer, {kCulprit}, kStart + seconds(3));
  protocol::Suspects late = cleared;
  late.rows.front().age = seconds(3);
  BOOST_CHECK(!Merge(peer, late, kStart + seconds(4)));
  BOOST_CHECK(IsSuspect(peer, kCulprit, kStart + seconds(4)));
}

// Guards against a third crash after two crashes at the same time, and against
// a ban because one report arrived twice.
BOOST_AUTO_TEST_CASE(CrashesAtTheSameTimeAreCounted) {
  const common::ProcessName a("a");
  const common::ProcessName b("b");
  SuspectList at_a;
  SuspectList at_b;
  const auto first = RecordCrash(at_a, {kCulprit, kOther}, kStart, a);
  const auto second = RecordCrash(at_b, {kCulprit}, kStart, b);
  SuspectList router;
  Merge(router, first, kStart);
  Merge(router, first, kStart);
  BOOST_CHECK(!IsBanned(router, kCulprit, kStart));
  BOOST_CHECK(Merge(router, second, kStart));
  BOOST_CHECK(IsBanned(router, kCulprit, kStart));
  BOOST_CHECK(!IsBanned(router, kOther, kStart));
  Merge(at_a, second, kStart);
  BOOST_CHECK(IsBanned(at_a, kCulprit, kStart));
  // If two requests were in flight at both crashes, neither is proven to be the
  // cause.
  SuspectList at_c;
  const auto third =
      RecordCrash(at_c, {kCulprit, kOther}, kStart, common::ProcessName("c"));
  SuspectList unsure;
  Merge(unsure, first, kStart);
  Merge(unsure, third, kStart);
  BOOST_CHECK(!IsBanned(unsure, kCulprit, kStart));
  BOOST_CHECK(!IsBanned(unsure, kOther, kStart));
}

// Guards against a suspect being sent to an upstream that it crashed according
// to another agent's report.
BOOST_AUTO_TEST_CASE(CrashedAgentsAreMerged) {
  SuspectList list;
  Merge(list, RecordCrash(list, {kCulprit}, kStart, common::ProcessName("a")),
        kStart);
  SuspectList other;
  const protocol::Suspects rows =
      RecordCrash(other, {kCulprit}, kStart, common::ProcessName("b"));
  BOOST_CHECK(Merge(list, rows, kStart));
  BOOST_CHECK(!Merge(list, rows, kStart));
  BOOST_CHECK_EQUAL(CrashedAgents(list, kCulprit).size(), 2);
}

// Guards against a late report marking a cleared request as a suspect again.
BOOST_AUTO_TEST_CASE(ReportFromBeforeTheClearingIsIgnored) {
  SuspectList list;
  RecordCrash(list, {kCulprit}, kStart);
  RecordCompletion(list, kCulprit, kStart + seconds(2));
  BOOST_CHECK(!IsSuspect(list, kCulprit, kStart + seconds(3)));
  BOOST_CHECK(!Merge(list, Row(1, seconds(2)), kStart + seconds(3)));
  BOOST_CHECK(!IsSuspect(list, kCulprit, kStart + seconds(3)));
  BOOST_CHECK(Merge(list, Row(1, milliseconds(500)), kStart + seconds(3)));
  BOOST_CHECK(IsSuspect(list, kCulprit, kStart + seconds(3)));
}

// Guards against a suspect whose entry has expired not being marked again after
// a new crash.
BOOST_AUTO_TEST_CASE(NewCrashRenewsAnExpiredSuspect) {
  SuspectList list;
  RecordCrash(list, {kCulprit}, kStart);
  const auto later = kStart + list.options.suspect_retention;
  BOOST_CHECK(!IsSuspect(list, kCulprit, later));
  BOOST_CHECK(Merge(list, Row(1, milliseconds(0)), later));
  BOOST_CHECK(IsSuspect(list, kCulprit, later));
}

// Guards against peers that forward rows to each other forever.
BOOST_AUTO_TEST_CASE(MergeOfKnownRowsReportsNoChange) {
  test::CheckProperty("a second merge of the same rows changes nothing", [] {
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

// Guards against reports that processes forward to each other forever, after an
// upstream crashed while the same request completed on another one. 3 routers
// and 4 agents used 55 to 78% of a core each for this (found by soak seed 10).
BOOST_AUTO_TEST_CASE(CrossingReportsStopSpreading) {
  constexpr int kRouters = 3;
  constexpr int kAgents = 4;
  struct Delivery {
    int to = 0;
    protocol::Suspects rows;
  };
  std::vector<SuspectList> processes(kRouters + kAgents);
  std::deque<Delivery> in_transit;
  const auto send = [&](int from, const protocol::Suspects& rows) {
    const bool router = from < kRouters;
    const int first = router ? kRouters : 0;
    const int last = router ? kRouters + kAgents : kRouters;
    for (int to = first; to < last; ++to) in_transit.push_back({to, rows});
  };
  common::TimePoint now = kStart;
  const protocol::Suspects crash = RecordCrash(processes[kRouters], {kCulprit},
                                               now, common::ProcessName("a"));
  SuspectList& other = processes[kRouters + 1];
  Merge(other, crash, now);
  now += milliseconds(1);
  send(kRouters, crash);
  send(kRouters + 1, RecordCompletion(other, kCulprit, now));
  int delivered = 0;
  while (!in_transit.empty() && delivered < 10'000) {
    const Delivery it = in_transit.front();
    in_transit.pop_front();
    ++delivered;
    now += milliseconds(1);
    if (!Merge(processes.at(it.to), it.rows, now)) continue;
    if (const auto rows = RowsToForward(it.rows)) send(it.to, *rows);
  }
  // Twice to all routers, once from each router to all agents, and once from
  // each agent to all routers.
  constexpr int kMaxDeliveries =
      2 * (kRouters + kRouters * kAgents + kRouters * kAgents * kRouters);
  BOOST_CHECK_LE(delivered, kMaxDeliveries);
}

// Guards against unlimited growth of the list.
BOOST_AUTO_TEST_CASE(OldEntriesAreForgotten) {
  SuspectList list;
  RecordCrash(list, {kCulprit}, kStart);
  Expire(list, kStart + list.options.suspect_retention - seconds(1));
  BOOST_CHECK_EQUAL(list.suspects.size(), 1);
  Expire(list, kStart + list.options.suspect_retention);
  BOOST_CHECK(list.suspects.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::suspects
