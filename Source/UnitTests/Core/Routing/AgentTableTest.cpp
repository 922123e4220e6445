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
const common::DataCentreName kLocalDataCentre("here");
const common::DataCentreName kRemoteDataCentre("there");
const common::TimePoint kStart = common::TimePoint() + std::chrono::hours(1);
const ProcessName kAgentA("a");
const ProcessName kAgentB("b");
constexpr auto kFirstIncarnation = static_cast<Incarnation>(1);
constexpr auto kSecondIncarnation = static_cast<Incarnation>(2);
constexpr common::RequestId kRequest{.router = kFirstIncarnation,
                                     .sequence = 1};

struct Table : AgentTable {
  Table() { data_centre = kLocalDataCentre; }

  HeartbeatEffect ReceiveHeartbeat(
      const ProcessName& name, int free, common::TimePoint now = kStart,
      Incarnation incarnation = kFirstIncarnation,
      const common::DataCentreName& where = kLocalDataCentre,
      AgentState state = AgentState::kServing) {
    return RecordHeartbeat(*this, name, incarnation,
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
                            const std::set<ProcessName>& crashed_agents = {},
                            common::TimePoint now = kStart) const {
    const ProcessName* name = ChooseForSuspect(
        *this, kPool, static_cast<common::Fingerprint>(fingerprint),
        crashed_agents, now);
    return name == nullptr ? "" : name->value;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(AgentTableTest)

// Guards against dispatches to other data centres while the own data centre has
// free slots, and against a router that finds no slot because its own data
// centre is full.
BOOST_AUTO_TEST_CASE(OwnDataCentreIsPreferred) {
  Table table;
  table.ReceiveHeartbeat(kAgentA, 9, kStart, kFirstIncarnation,
                         kRemoteDataCentre);
  BOOST_CHECK_EQUAL(table.Choose(), "a");
  table.ReceiveHeartbeat(kAgentB, 1);
  BOOST_CHECK_EQUAL(table.Choose(), "b");
  RecordAttempt(table, kAgentB, kRequest, false);
  BOOST_CHECK_EQUAL(table.Choose(), "a");
  RecordAttemptEnd(table, kAgentB, kRequest, false);
  BOOST_CHECK_EQUAL(table.Choose(), "b");
}

// Guards against new work for a leaving process whose first heartbeat arrives
// after the host list, and against a process that gets no work although it is
// no longer leaving.
BOOST_AUTO_TEST_CASE(HostListAppliesBeforeTheFirstHeartbeat) {
  Table table;
  SetLeaving(table, kAgentA, true);
  table.ReceiveHeartbeat(kAgentA, 5);
  BOOST_CHECK_EQUAL(table.Choose(), "");
  BOOST_CHECK_EQUAL(UnavailableAgentsIn(table, kPool).leaving, 1);
  SetLeaving(table, kAgentA, false);
  BOOST_CHECK_EQUAL(table.Choose(), "a");
}

// Guards against new work for a silent agent, requests of a dead agent that are
// never resolved, and table entries that are never removed.
BOOST_AUTO_TEST_CASE(SilentAgentIsSuspectedThenDeadThenForgotten) {
  Table table;
  table.ReceiveHeartbeat(kAgentA, 5);
  RecordAttempt(table, kAgentA, kRequest, false);
  BOOST_CHECK_EQUAL(table.Choose(kStart + milliseconds(999)), "a");
  BOOST_CHECK_EQUAL(table.Choose(kStart + seconds(1)), "");
  BOOST_CHECK_EQUAL(UnavailableAgentsIn(table, kPool).silent, 1);
  BOOST_CHECK(ExpireSilentAgents(table, kStart + milliseconds(2999)).empty());
  BOOST_CHECK_EQUAL(ExpireSilentAgents(table, kStart + seconds(3)).size(), 1);
  BOOST_CHECK(ExpireSilentAgents(table, kStart + seconds(4)).empty());
  BOOST_CHECK(table.ReceiveHeartbeat(kAgentA, 5, kStart + seconds(5)).joined);
  BOOST_CHECK_EQUAL(table.Choose(kStart + seconds(5)), "a");
  ExpireSilentAgents(table, kStart + seconds(5) + table.options.forget_after);
  BOOST_CHECK(table.agents.empty());
  BOOST_CHECK(table.pools.empty());
}

// Guards against requests of a restarted agent that are never resolved, and
// against a late heartbeat that reinstates the old incarnation.
BOOST_AUTO_TEST_CASE(NewIncarnationReplacesTheOld) {
  Table table;
  table.ReceiveHeartbeat(kAgentA, 5);
  RecordAttempt(table, kAgentA, kRequest, true);
  const HeartbeatEffect effect =
      table.ReceiveHeartbeat(kAgentA, 5, kStart, kSecondIncarnation);
  BOOST_CHECK(effect.joined);
  BOOST_CHECK_EQUAL(effect.orphaned.size(), 1);
  BOOST_CHECK_EQUAL(table.agents.at(kAgentA).suspects_in_flight, 0);
  BOOST_CHECK(
      table.ReceiveHeartbeat(kAgentA, 9, kStart, kFirstIncarnation).ignored);
  BOOST_CHECK(IsCurrent(table, kAgentA, kSecondIncarnation));
  // The new incarnation fell silent: the old one was only paused.
  BOOST_CHECK(
      !table
           .ReceiveHeartbeat(kAgentA, 9, kStart + seconds(3), kFirstIncarnation)
           .ignored);
  BOOST_CHECK(IsCurrent(table, kAgentA, kFirstIncarnation));
}

// Guards against routers that send copies of one suspect to different agents
// because the routers see different free slots, data centres or orders of
// arrival.
BOOST_AUTO_TEST_CASE(AllCopiesOfASuspectGoToOneAgent) {
  Table here;
  here.ReceiveHeartbeat(kAgentA, 9);
  here.ReceiveHeartbeat(kAgentB, 1);
  RecordAttempt(here, kAgentA, kRequest, true);
  Table there;
  there.data_centre = kRemoteDataCentre;
  there.ReceiveHeartbeat(kAgentB, 0);
  there.ReceiveHeartbeat(kAgentA, 3);
  std::set<std::string> chosen;
  for (std::uint64_t it = 1; it <= 50; ++it) {
    BOOST_CHECK_EQUAL(here.ChooseSuspect(it), there.ChooseSuspect(it));
    chosen.insert(here.ChooseSuspect(it));
  }
  // Different suspects are spread over the agents.
  BOOST_CHECK_EQUAL(chosen.size(), 2);
}

// Guards against a suspect that crashes a recovered upstream again although
// there are other agents, and against a suspect that no agent takes.
BOOST_AUTO_TEST_CASE(SuspectAvoidsAgentsItCrashed) {
  Table table;
  table.ReceiveHeartbeat(kAgentA, 9);
  table.ReceiveHeartbeat(kAgentB, 9);
  for (std::uint64_t it = 1; it <= 20; ++it) {
    BOOST_CHECK_EQUAL(table.ChooseSuspect(it, {kAgentA}), "b");
    BOOST_CHECK_EQUAL(table.ChooseSuspect(it, {kAgentB}), "a");
    BOOST_CHECK_NE(table.ChooseSuspect(it, {kAgentA, kAgentB}), "");
  }
  table.ReceiveHeartbeat(kAgentB, 9, kStart, kFirstIncarnation,
                         kLocalDataCentre, AgentState::kUpstreamDown);
  BOOST_CHECK_EQUAL(table.ChooseSuspect(1, {kAgentA}), "a");
  BOOST_CHECK_EQUAL(table.ChooseSuspect(1, {}, kStart + seconds(1)), "");
}

// Guards against an index whose selection or counts differ from those of a
// search of all agents, under any sequence of changes.
BOOST_AUTO_TEST_CASE(ChoiceAndCountsMatchASearchOfAllAgents) {
  test::CheckProperty("index matches a search of all agents", [] {
    Table table;
    common::TimePoint now = kStart;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const ProcessName name(std::string(1, "abcd"[*rc::gen::inRange(0, 4)]));
      const common::RequestId id{
          .router = kFirstIncarnation,
          .sequence = static_cast<std::uint64_t>(*rc::gen::inRange(0, 6))};
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
        case 1:
          table.ReceiveHeartbeat(
              name, *rc::gen::inRange(0, 4), now,
              static_cast<Incarnation>(*rc::gen::inRange(1, 3)),
              *rc::gen::arbitrary<bool>() ? kLocalDataCentre
                                          : kRemoteDataCentre,
              static_cast<AgentState>(*rc::gen::inRange(0, 4)));
          break;
        case 2:
          SetLeaving(table, name, *rc::gen::arbitrary<bool>());
          break;
        case 3:
          RecordAttempt(table, name, id, false);
          break;
        case 4:
          RecordAttemptEnd(table, name, id, false);
          break;
        case 5:
          RecordBusy(table, name);
          break;
        default:
          now += milliseconds(*rc::gen::inRange(0, 900));
          break;
      }
      ExpireSilentAgents(table, now);
      int best_here = 0;
      int best = 0;
      std::size_t unavailable = 0;
      for (const auto& [other, agent] : table.agents) {
        const bool usable =
            IsEligible(table, agent, now) && agent.free_slots > 0;
        if (!usable) ++unavailable;
        if (!usable) continue;
        best = std::max(best, agent.free_slots);
        if (agent.data_centre == kLocalDataCentre) {
          best_here = std::max(best_here, agent.free_slots);
        }
      }
      const UnavailableAgents counts = UnavailableAgentsIn(table, kPool);
      RC_ASSERT(counts.busy + counts.silent + counts.leaving +
                    counts.not_serving ==
                unavailable);
      const ProcessName* choice = ChooseFree(table, kPool, now);
      RC_ASSERT((choice != nullptr) == (best > 0));
      if (choice == nullptr) continue;
      const Agent& agent = table.agents.at(*choice);
      RC_ASSERT(agent.free_slots == (best_here > 0 ? best_here : best));
      RC_ASSERT(best_here == 0 || agent.data_centre == kLocalDataCentre);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::routing
