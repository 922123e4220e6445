#include <boost/test/unit_test.hpp>
#include <cmath>
#include <string>

#include "Balancing/ServiceLedger.h"
#include "Common/Clock.h"

namespace shallotbeam::balancing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr auto kScheduler = static_cast<common::Incarnation>(1);
const common::WorkspaceName kWorkspace("w");

struct Fixture {
  common::ManualClock clock;
  ServiceLedger ledger;

  Fixture() { clock.Advance(1h); }

  void Note(const common::WorkspaceName& workspace,
            const common::ServiceCounters& counters,
            common::Incarnation scheduler = kScheduler) {
    NoteCounters(ledger, clock.Now(), scheduler, workspace, counters);
  }
  void NoteServed(double tokens) { Note(kWorkspace, {.served = tokens}); }
  double Served() const {
    return RecentTokens(ledger, clock.Now(), kWorkspace).served;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceLedgerTest, Fixture)

// Guards against a gateway that takes all service since a scheduler's start for
// recent when it hears the first counter.
BOOST_AUTO_TEST_CASE(FirstCounterIsNotRecentService) {
  NoteServed(5'000'000);
  BOOST_CHECK_EQUAL(Served(), 0);
  NoteServed(5'000'400);
  BOOST_CHECK_CLOSE(Served(), 400, 0.01);
}

// Guards against a workspace that is held back for service of long ago.
BOOST_AUTO_TEST_CASE(ServiceFades) {
  NoteServed(0);
  NoteServed(1'000);
  clock.Advance(5 * ledger.options.memory);
  BOOST_CHECK_LE(Served(), 10);
}

// Guards against messages out of order that count service twice.
BOOST_AUTO_TEST_CASE(OlderCounterAddsNothing) {
  for (const double tokens : {0.0, 1'000.0, 600.0, 1'000.0}) {
    NoteServed(tokens);
  }
  BOOST_CHECK_CLOSE(Served(), 1'000, 0.01);
}

// Pattern: one workspace asks for eight times its share, through all gateways;
// the others ask for less than theirs. Guards against shares that count only
// what one scheduler sees, and against a small workspace that is cut.
BOOST_AUTO_TEST_CASE(HotWorkspaceIsCutToWhatOthersLeave) {
  constexpr double kRate = 1'000;  // tokens a second
  const common::WorkspaceName hot("hot");
  const common::WorkspaceName small("small");
  double asked = 0;
  for (int i = 0; i < 100; ++i) {
    for (const int scheduler : {1, 2}) {
      const auto incarnation = static_cast<common::Incarnation>(scheduler);
      Note(hot, {.asked = 8 * asked / 2}, incarnation);
      Note(small, {.asked = asked / 5 / 2}, incarnation);
    }
    clock.Advance(500ms);
    asked += kRate / 2;
  }
  const double share = ShareOfWorkspace(ledger, clock.Now(), kRate);
  BOOST_CHECK_EQUAL(PartWithinShare(ledger, clock.Now(), small, share), 1);
  // The small workspace leaves 0.8 of the rate, a tenth of what the hot one
  // asks for.
  BOOST_CHECK_CLOSE(PartWithinShare(ledger, clock.Now(), hot, share), 0.1, 10);
}

// Pattern: two workspaces flood the fleet, one more than the other. Guards
// against service beyond shares that goes to the larger flood alone.
BOOST_AUTO_TEST_CASE(SmallerFloodIsBehindTheLarger) {
  const common::WorkspaceName large("large");
  const common::WorkspaceName small("small");
  for (const double served : {0.0, 100'000.0}) {
    Note(large, {.served = served});
    Note(small, {.served = served / 3});
  }
  const double most = MostServed(ledger, clock.Now());
  BOOST_CHECK_EQUAL(most, 100'000);
  BOOST_CHECK(IsBehind(ledger, clock.Now(), small, most));
  BOOST_CHECK(!IsBehind(ledger, clock.Now(), large, most));
  Note(small, {.served = 90'000});
  BOOST_CHECK(!IsBehind(ledger, clock.Now(), small, most));
}

// Guards against workspaces that are behind although nobody was served.
BOOST_AUTO_TEST_CASE(NobodyIsBehindAtTheStart) {
  BOOST_CHECK(!IsBehind(ledger, clock.Now(), kWorkspace,
                        MostServed(ledger, clock.Now())));
}

// Guards against requests that count as beyond a share while the fleet could
// serve all demand, or while its rate is not known.
BOOST_AUTO_TEST_CASE(AllIsWithinSharesWhileDemandFits) {
  Note(kWorkspace, {});
  Note(kWorkspace, {.asked = 3'000});
  for (const double rate : {1'000.0, HUGE_VAL}) {
    const double share = ShareOfWorkspace(ledger, clock.Now(), rate);
    BOOST_CHECK_EQUAL(PartWithinShare(ledger, clock.Now(), kWorkspace, share),
                      1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::balancing
