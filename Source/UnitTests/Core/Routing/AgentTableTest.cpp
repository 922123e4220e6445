#include "Property.h"
#include "Routing/AgentTable.h"

namespace shallotbeam::routing {

namespace {

using common::Incarnation;
using common::ProcessName;
using protocol::AgentState;
using std::chrono::milliseconds;
using std::chrono::seconds;

const common::PoolName kPool("assistant");
const common::DataCentreName kHere("here");
const common::DataCentreName kThere("there");
const common::TimePoint kStart = common::TimePoint() + std::chrono::hours(1);
const ProcessName kA("a");
const ProcessName kB("b");
constexpr auto kFirst = static_cast<Incarnation>(1);
constexpr auto kSecond = static_cast<Incarnation>(2);
constexpr common::RequestId kRequest{.router = kFirst, .sequence = 1};

struct Table : AgentTable {
  Table() { data_centre = kHere; }

  HeartbeatEffect Beat(const ProcessName& name, int free,
                       common::TimePoint now = kStart,
                       Incarnation incarnation = kFirst,
                       const common::DataCentreName& where = kHere,
                       AgentState state = AgentState::kServing) {
    return NoteHeartbeat(*this, name, incarnation,
                         {.role = protocol::Role::kAgent,
                          .data_centre = where,
                          .pool = kPool,
                          .state = state,
                          .free_slots = free},
                         now);
  }
  std::string Choose(common::TimePoint now = kStart) {
    const ProcessName* name = ChooseFree(*this, kPool, now);
    return name == nullptr ? "" : name->value;
  }
  std::string ChooseSuspect(std::uint64_t fingerprint,
                            const std::set<ProcessName>& crashed_at = {},
                            common::TimePoint now = kStart) const {
    const ProcessName* name = ChooseForSuspect(
        *this, kPool, static_cast<common::Fingerprint>(fingerprint), crashed_at,
        now);
    return name == nullptr ? "" : name->value;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(AgentTableTest)

// Guards against calls into other data centres while there is room here, and
// against a router that finds no slot because its own data centre is full.
BOOST_AUTO_TEST_CASE(OwnDataCentreIsPreferred) {
  Table table;
  table.Beat(kA, 9, kStart, kFirst, kThere);
  BOOST_CHECK_EQUAL(table.Choose(), "a");
  table.Beat(kB, 1);
  BOOST_CHECK_EQUAL(table.Choose(), "b");
  NoteDispatched(table, kB, kRequest, false);
  BOOST_CHECK_EQUAL(table.Choose(), "a");
  NoteEnded(table, kB, kRequest, false);
  BOOST_CHECK_EQUAL(table.Choose(), "b");
}

// Guards against new work for a leaving process whose first heartbeat comes
// after the host list, and for one that is back in service.
BOOST_AUTO_TEST_CASE(LeavingHoldsFromBeforeTheFirstHeartbeat) {
  Table table;
  SetLeaving(table, kA, true);
  table.Beat(kA, 5);
  BOOST_CHECK_EQUAL(table.Choose(), "");
  BOOST_CHECK_EQUAL(PassedOverIn(table, kPool).leaving, 1);
  SetLeaving(table, kA, false);
  BOOST_CHECK_EQUAL(table.Choose(), "a");
}

// Guards against work for a silent agent, requests of a dead one that nobody
// resolves, and entries that stay for ever.
BOOST_AUTO_TEST_CASE(SilenceEndsInNoWorkThenDeathThenOblivion) {
  Table table;
  table.Beat(kA, 5);
  NoteDispatched(table, kA, kRequest, false);
  BOOST_CHECK_EQUAL(table.Choose(kStart + milliseconds(999)), "a");
  BOOST_CHECK_EQUAL(table.Choose(kStart + seconds(1)), "");
  BOOST_CHECK_EQUAL(PassedOverIn(table, kPool).silent, 1);
  BOOST_CHECK(TakeDead(table, kStart + milliseconds(2999)).empty());
  BOOST_CHECK_EQUAL(TakeDead(table, kStart + seconds(3)).size(), 1);
  BOOST_CHECK(TakeDead(table, kStart + seconds(4)).empty());
  BOOST_CHECK(table.Beat(kA, 5, kStart + seconds(5)).joined);
  BOOST_CHECK_EQUAL(table.Choose(kStart + seconds(5)), "a");
  TakeDead(table, kStart + seconds(5) + table.options.forget_after);
  BOOST_CHECK(table.agents.empty());
  BOOST_CHECK(table.pools.empty());
}

// Guards against requests of a restarted agent that are never resolved, and
// against a late heartbeat that brings the old incarnation back.
BOOST_AUTO_TEST_CASE(NewIncarnationReplacesTheOld) {
  Table table;
  table.Beat(kA, 5);
  NoteDispatched(table, kA, kRequest, true);
  const HeartbeatEffect effect = table.Beat(kA, 5, kStart, kSecond);
  BOOST_CHECK(effect.joined);
  BOOST_CHECK_EQUAL(effect.orphaned.size(), 1);
  BOOST_CHECK_EQUAL(table.agents.at(kA).suspects_in_flight, 0);
  BOOST_CHECK(table.Beat(kA, 9, kStart, kFirst).ignored);
  BOOST_CHECK(IsCurrent(table, kA, kSecond));
  // The new one fell silent: the old one was only paused.
  BOOST_CHECK(!table.Beat(kA, 9, kStart + seconds(3), kFirst).ignored);
  BOOST_CHECK(IsCurrent(table, kA, kFirst));
}

// Guards against routers that send copies of one suspect to different agents
// because they see other slots, data centres or orders of arrival.
BOOST_AUTO_TEST_CASE(AllCopiesOfASuspectGoToOneAgent) {
  Table here;
  here.Beat(kA, 9);
  here.Beat(kB, 1);
  NoteDispatched(here, kA, kRequest, true);
  Table there;
  there.data_centre = kThere;
  there.Beat(kB, 0);
  there.Beat(kA, 3);
  std::set<std::string> chosen;
  for (std::uint64_t it = 1; it <= 50; ++it) {
    BOOST_CHECK_EQUAL(here.ChooseSuspect(it), there.ChooseSuspect(it));
    chosen.insert(here.ChooseSuspect(it));
  }
  // Different suspects are spread.
  BOOST_CHECK_EQUAL(chosen.size(), 2);
}

// Guards against a suspect that takes down a recovered upstream again while
// there are others, and against one that nobody takes.
BOOST_AUTO_TEST_CASE(SuspectAvoidsAgentsItCrashed) {
  Table table;
  table.Beat(kA, 9);
  table.Beat(kB, 9);
  for (std::uint64_t it = 1; it <= 20; ++it) {
    BOOST_CHECK_EQUAL(table.ChooseSuspect(it, {kA}), "b");
    BOOST_CHECK_EQUAL(table.ChooseSuspect(it, {kB}), "a");
    BOOST_CHECK_NE(table.ChooseSuspect(it, {kA, kB}), "");
  }
  table.Beat(kB, 9, kStart, kFirst, kHere, AgentState::kUpstreamDown);
  BOOST_CHECK_EQUAL(table.ChooseSuspect(1, {kA}), "a");
  BOOST_CHECK_EQUAL(table.ChooseSuspect(1, {}, kStart + seconds(1)), "");
}

// Guards against a choice that differs from the plain reading of the rules,
// and counts that drift, under any sequence of changes.
BOOST_AUTO_TEST_CASE(ChoiceAndCountsMatchASearchOfAllAgents) {
  test::CheckProperty("index equals search", [] {
    Table table;
    common::TimePoint now = kStart;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const ProcessName name(std::string(1, "abcd"[*rc::gen::inRange(0, 4)]));
      const common::RequestId id{
          .router = kFirst,
          .sequence = static_cast<std::uint64_t>(*rc::gen::inRange(0, 6))};
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
        case 1:
          table.Beat(name, *rc::gen::inRange(0, 4), now,
                     static_cast<Incarnation>(*rc::gen::inRange(1, 3)),
                     *rc::gen::arbitrary<bool>() ? kHere : kThere,
                     static_cast<AgentState>(*rc::gen::inRange(0, 4)));
          break;
        case 2:
          SetLeaving(table, name, *rc::gen::arbitrary<bool>());
          break;
        case 3:
          NoteDispatched(table, name, id, false);
          break;
        case 4:
          NoteEnded(table, name, id, false);
          break;
        case 5:
          NoteBusy(table, name);
          break;
        default:
          now += milliseconds(*rc::gen::inRange(0, 900));
          break;
      }
      TakeDead(table, now);
      int best_here = 0;
      int best = 0;
      std::size_t passed_over = 0;
      for (const auto& [other, agent] : table.agents) {
        const bool usable =
            IsEligible(table, agent, now) && agent.free_slots > 0;
        if (!usable) ++passed_over;
        if (!usable) continue;
        best = std::max(best, agent.free_slots);
        if (agent.data_centre == kHere) {
          best_here = std::max(best_here, agent.free_slots);
        }
      }
      const PassedOver counts = PassedOverIn(table, kPool);
      RC_ASSERT(counts.busy + counts.silent + counts.leaving +
                    counts.not_serving ==
                passed_over);
      const ProcessName* choice = ChooseFree(table, kPool, now);
      RC_ASSERT((choice != nullptr) == (best > 0));
      if (choice == nullptr) continue;
      const Agent& agent = table.agents.at(*choice);
      RC_ASSERT(agent.free_slots == (best_here > 0 ? best_here : best));
      RC_ASSERT(best_here == 0 || agent.data_centre == kHere);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::routing
