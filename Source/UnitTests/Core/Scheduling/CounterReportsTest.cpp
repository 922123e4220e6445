#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "Property.h"
#include "Scheduling/CounterReports.h"

namespace shallotbeam::scheduling {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr auto kGateway = static_cast<common::Incarnation>(1);
constexpr auto kOther = static_cast<common::Incarnation>(2);

using Counters = std::map<common::WorkspaceName, common::ServiceCounters>;

// Merges a report as a gateway does: counters only increase.
void Merge(const std::vector<CounterRow>& rows, Counters* known) {
  for (const CounterRow& it : rows) {
    common::ServiceCounters& counters = (*known)[it.workspace];
    counters.requested = std::max(counters.requested, it.counters.requested);
    counters.served = std::max(counters.served, it.counters.served);
  }
}

bool IsSame(const Counters& a, const Counters& b) {
  return a.size() == b.size() &&
         std::all_of(a.begin(), a.end(), [&b](const auto& it) {
           const auto other = b.find(it.first);
           return other != b.end() &&
                  other->second.requested == it.second.requested &&
                  other->second.served == it.second.served;
         });
}

Counters SomeCounters(int workspaces) {
  Counters counters;
  for (int i = 0; i < workspaces; ++i) {
    counters[common::WorkspaceName("w" + std::to_string(i))] = {.requested = 1,
                                                                .served = 1};
  }
  return counters;
}

struct Fixture {
  common::ManualClock clock;
  CounterReports reports;

  Fixture() { clock.Advance(1h); }

  // Number of reports to `gateway` in ten seconds.
  int CountReports(common::Incarnation gateway) {
    int count = 0;
    for (int i = 0; i < 500; ++i) {
      clock.Advance(20ms);
      if (!IsReportDue(reports, clock.Now(), gateway)) continue;
      RowsForReport(reports, clock.Now(), gateway);
      ++count;
    }
    return count;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CounterReportsTest, Fixture)

// Guards against sums that stay wrong after reports were lost, repeated or
// reordered: a gateway knows every change after the next full report.
BOOST_AUTO_TEST_CASE(GatewayLearnsEveryChange) {
  test::CheckProperty("gateways learn every change", [] {
    common::ManualClock clock;
    clock.Advance(1h);
    CounterReports reports;
    Counters counters;
    Counters known;
    std::vector<std::vector<CounterRow>> delayed;
    const auto send = [&](bool lost) {
      clock.Advance(reports.options.active_interval);
      const auto rows = RowsForReport(reports, clock.Now(), kGateway);
      if (lost) return;
      Merge(rows, &known);
      delayed.push_back(rows);
      // An earlier report arrives again.
      Merge(delayed[static_cast<std::size_t>(
                *rc::gen::inRange(0, static_cast<int>(delayed.size())))],
            &known);
    };
    send(/*lost=*/false);
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      const common::WorkspaceName name(
          std::string(1, *rc::gen::inRange('a', 'e')));
      counters[name].requested += 1;
      counters[name].served += *rc::gen::inRange(0, 2);
      UpdateCounters(reports, clock.Now(), counters);
      send(*rc::gen::arbitrary<bool>());
    }
    UpdateCounters(reports, clock.Now(), counters);
    clock.Advance(reports.options.full_interval);
    send(/*lost=*/false);
    RC_ASSERT(IsSame(known, counters));
  });
}

BOOST_AUTO_TEST_CASE(SingleLossIsRepairedByTheNextReport) {
  Counters counters = SomeCounters(3);
  UpdateCounters(reports, clock.Now(), counters);
  RowsForReport(reports, clock.Now(), kGateway);
  clock.Advance(500ms);
  counters.begin()->second.served = 7;
  UpdateCounters(reports, clock.Now(), counters);
  RowsForReport(reports, clock.Now(), kGateway);  // lost
  clock.Advance(500ms);
  const auto rows = RowsForReport(reports, clock.Now(), kGateway);
  BOOST_REQUIRE_EQUAL(rows.size(), 1);
  BOOST_CHECK_EQUAL(rows.front().counters.served, 7);
}

// Load pattern: 60 workspaces have used an engine, but only a few do now.
// Guards against reports whose size grows with all workspaces ever seen.
BOOST_AUTO_TEST_CASE(UnchangedCountersAreSentSeldom) {
  Counters counters = SomeCounters(60);
  UpdateCounters(reports, clock.Now(), counters);
  std::size_t rows = 0;
  for (int i = 0; i < 32; ++i) {
    clock.Advance(500ms);
    counters.begin()->second.served += 1;
    UpdateCounters(reports, clock.Now(), counters);
    rows += RowsForReport(reports, clock.Now(), kGateway).size();
  }
  // Two full reports in 16 s, and one workspace otherwise.
  BOOST_CHECK_LE(rows, 2 * 60 + 2 * 60 + 30);
}

// Load pattern: 103 gateways before 180 engines, so that most pairs exchange no
// offers for seconds. Guards against control traffic at the full rate for each
// pair.
BOOST_AUTO_TEST_CASE(IdleGatewaysGetFewerReports) {
  BOOST_CHECK_LE(CountReports(kGateway), 10);
  int active = 0;
  for (int i = 0; i < 10; ++i) {
    OnOfferFrom(reports, clock.Now(), kOther);
    for (int j = 0; j < 50; ++j) {
      clock.Advance(20ms);
      if (!IsReportDue(reports, clock.Now(), kOther)) continue;
      RowsForReport(reports, clock.Now(), kOther);
      ++active;
    }
  }
  BOOST_CHECK_GE(active, 19);
  RemoveReader(reports, kOther);
  BOOST_CHECK(IsReportDue(reports, clock.Now(), kOther));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::scheduling
