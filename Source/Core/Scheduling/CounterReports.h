#ifndef SHALLOTBEAM_CORE_SCHEDULING_COUNTERREPORTS_H_
#define SHALLOTBEAM_CORE_SCHEDULING_COUNTERREPORTS_H_

#include <map>
#include <vector>

#include "Common/Clock.h"
#include "Common/ServiceCounters.h"
#include "Common/Types.h"

// Decides when a scheduler reports to a gateway and which workspaces' counters
// the report contains. Most pairs of a gateway and a scheduler exchange no
// offers at a time, and few workspaces change between two reports, so that
// reports of everything to everyone would be the largest part of the control
// traffic. Counters only increase and each report has their absolute values, so
// that lost, repeated or reordered reports change no sum for good. This code
// only decides; it performs no I/O.
namespace shallotbeam::scheduling {

struct CounterReportOptions {
  // Interval of reports to a gateway that has sent an offer within
  // `active_time`, and to the others.
  common::Duration active_interval = std::chrono::milliseconds(500);
  common::Duration idle_interval = std::chrono::milliseconds(1'000);
  common::Duration active_time = std::chrono::seconds(3);
  // A report has all counters after this time, in case several were lost.
  common::Duration full_interval = std::chrono::seconds(8);
};

struct CounterReports {
  struct Row {
    common::ServiceCounters counters;
    common::TimePoint changed;
  };
  struct Reader {
    common::TimePoint last_offer;
    common::TimePoint last_report;
    common::TimePoint report_before;  // before the last one
    common::TimePoint last_full;
  };

  CounterReportOptions options;
  std::map<common::WorkspaceName, Row> rows;
  std::map<common::Incarnation, Reader> readers;
};

struct CounterRow {
  common::WorkspaceName workspace;
  common::ServiceCounters counters;
};

// Records the current values of the counters.
void UpdateCounters(
    CounterReports& reports, common::TimePoint now,
    const std::map<common::WorkspaceName, common::ServiceCounters>& counters);

// Records an offer of a gateway.
void OnOfferFrom(CounterReports& reports, common::TimePoint now,
                 common::Incarnation gateway);

void RemoveReader(CounterReports& reports, common::Incarnation gateway);

bool IsReportDue(const CounterReports& reports, common::TimePoint now,
                 common::Incarnation gateway);

// Returns the counters for a report that is sent now. Each change is in two
// reports at least, in case one of them is lost.
std::vector<CounterRow> RowsForReport(CounterReports& reports,
                                      common::TimePoint now,
                                      common::Incarnation gateway);

}  // namespace shallotbeam::scheduling

#endif  // SHALLOTBEAM_CORE_SCHEDULING_COUNTERREPORTS_H_
