#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "Commands.h"
#include "Runtime/CommandLine.h"

namespace shallotbeam::commands {

namespace {

// Logs of a gateway and a scheduler that decided on request 1f. The gateway's
// file is read first although the scheduler decided first.
struct Fixture {
  std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("shallotbeam-explain-" + std::to_string(::getpid()));
  std::ostringstream out;
  std::ostringstream err;

  Fixture() {
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "gateway-1.log")
        << "2026-01-01T00:00:01.000Z level=info subsystem=routing "
           "event=served id=1f0 status=200\n"
           "2026-01-01T00:00:02.000Z level=info subsystem=routing "
           "event=attempt_failed id=1f upstream=u1 end=broken\n"
           "2026-01-01T00:00:02.100Z level=warning subsystem=platform "
           "event=store_lost\n"
           "2026-01-01T00:00:02.300Z level=info subsystem=routing "
           "event=answer id=1f status=502 store_age_ms=40\n"
           "2026-01-01T00:00:09.000Z level=warning subsystem=platform "
           "event=store_regained\n";
    std::ofstream(folder / "scheduler-1.log")
        << "2026-01-01T00:00:01.900Z level=info subsystem=admission "
           "event=offer_start id=1f report_age_ms=30\n"
           "2026-01-01T00:00:01.950Z level=info subsystem=admission "
           "event=start attempt=1f/2 cause=granted\n"
           "not a line of ours id=1f\n";
  }
  ~Fixture() { std::filesystem::remove_all(folder); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  int Run(const std::string& id) {
    return Explain(
        {folder / "gateway-1.log", folder / "scheduler-1.log", "--request", id},
        {.out = out, .err = err});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ExplainCommandTest, Fixture)

// Guards against a missing decision of one process, attempt number or cause,
// and against including a request whose longer id starts with the same
// characters.
BOOST_AUTO_TEST_CASE(PrintsAllDecisionsInOrder) {
  BOOST_CHECK_EQUAL(Run("1f"), runtime::kExitOk);
  BOOST_CHECK_EQUAL(
      out.str(),
      "2026-01-01T00:00:01.900Z scheduler-1 subsystem=admission "
      "event=offer_start id=1f report_age_ms=30\n"
      "2026-01-01T00:00:01.950Z scheduler-1 subsystem=admission "
      "event=start attempt=1f/2 cause=granted\n"
      "2026-01-01T00:00:02.000Z gateway-1 subsystem=routing "
      "event=attempt_failed id=1f upstream=u1 end=broken\n"
      "2026-01-01T00:00:02.100Z gateway-1 (meanwhile) subsystem=platform "
      "event=store_lost\n"
      "2026-01-01T00:00:02.300Z gateway-1 subsystem=routing "
      "event=answer id=1f status=502 store_age_ms=40\n"
      "4 lines name request 1f\n");
}

// Guards against losing the process name of lines in a file into which a
// collector merged the logs of several processes.
BOOST_AUTO_TEST_CASE(ReadsCollectedLogs) {
  std::ofstream(folder / "all.log")
      << "  8.87 edge-1 2026-01-01T00:00:01.000Z level=info "
         "subsystem=routing event=answer id=1f reason=overloaded\n";
  BOOST_CHECK_EQUAL(Explain({folder / "all.log", "--request", "1f"},
                            {.out = out, .err = err}),
                    runtime::kExitOk);
  BOOST_CHECK_EQUAL(out.str(),
                    "2026-01-01T00:00:01.000Z edge-1 subsystem=routing "
                    "event=answer id=1f reason=overloaded\n"
                    "1 lines name request 1f\n");
}

// Guards against missing messages and wrong exit codes for an id that no log
// contains, an unreadable file and invalid arguments.
BOOST_AUTO_TEST_CASE(ReportsMissingIdsAndFiles) {
  BOOST_CHECK_EQUAL(Run("2a"), runtime::kExitFailure);
  BOOST_CHECK(err.str().find("no line names request 2a") != std::string::npos);
  const Console console{.out = out, .err = err};
  BOOST_CHECK_EQUAL(Explain({"no-such.log", "--request", "1f"}, console),
                    runtime::kExitFailure);
  BOOST_CHECK_EQUAL(Explain({"--request", "1f"}, console), runtime::kExitUsage);
  BOOST_CHECK_EQUAL(Explain({"a.log", "--bogus"}, console),
                    runtime::kExitUsage);
  BOOST_CHECK_EQUAL(Explain({"--help"}, console), runtime::kExitOk);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::commands
