#include "Scheduling/CounterReports.h"

namespace shallotbeam::scheduling {

namespace {

bool IsNever(common::TimePoint time) { return time == common::TimePoint(); }

}  // namespace

void UpdateCounters(
    CounterReports& reports, common::TimePoint now,
    const std::map<common::WorkspaceName, common::ServiceCounters>& counters) {
  for (const auto& [workspace, it] : counters) {
    CounterReports::Row& row = reports.rows[workspace];
    const bool same = row.counters.requested == it.requested &&
                      row.counters.served == it.served;
    if (same) continue;
    row = {.counters = it, .changed = now};
  }
}

void OnOfferFrom(CounterReports& reports, common::TimePoint now,
                 common::Incarnation gateway) {
  reports.readers[gateway].last_offer = now;
}

void RemoveReader(CounterReports& reports, common::Incarnation gateway) {
  reports.readers.erase(gateway);
}

bool IsReportDue(const CounterReports& reports, common::TimePoint now,
                 common::Incarnation gateway) {
  const auto reader = reports.readers.find(gateway);
  if (reader == reports.readers.end()) return true;
  const CounterReports::Reader& it = reader->second;
  if (IsNever(it.last_report)) return true;
  const CounterReportOptions& options = reports.options;
  const bool active =
      !IsNever(it.last_offer) && now - it.last_offer < options.active_time;
  return now - it.last_report >=
         (active ? options.active_interval : options.idle_interval);
}

std::vector<CounterRow> RowsForReport(CounterReports& reports,
                                      common::TimePoint now,
                                      common::Incarnation gateway) {
  CounterReports::Reader& reader = reports.readers[gateway];
  const bool full = IsNever(reader.last_full) ||
                    now - reader.last_full >= reports.options.full_interval;
  std::vector<CounterRow> rows;
  for (const auto& [workspace, it] : reports.rows) {
    if (!full && it.changed <= reader.report_before) continue;
    rows.push_back({.workspace = workspace, .counters = it.counters});
  }
  if (full) reader.last_full = now;
  reader.report_before = reader.last_report;
  reader.last_report = now;
  return rows;
}

}  // namespace shallotbeam::scheduling
