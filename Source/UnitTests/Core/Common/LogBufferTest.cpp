#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

#include "Common/LogBuffer.h"

namespace shallotbeam::common {

namespace {

const LogBuffer::Time kNow{std::chrono::milliseconds(1'000'000)};

}  // namespace

BOOST_AUTO_TEST_SUITE(LogBufferTest)

// Guards against a flood from one subsystem that displaces the lines of others,
// and against lines that are dropped without being counted in the log.
BOOST_AUTO_TEST_CASE(LinesBeyondTheBudgetAreDroppedAndCounted) {
  LogBuffer buffer({.lines_per_second = 10});
  int kept = 0;
  for (int i = 0; i < 1'000; ++i) {
    kept += buffer.Append(Subsystem::kRouting, kNow, "flood\n") ? 1 : 0;
  }
  BOOST_CHECK_EQUAL(kept, 20);
  BOOST_CHECK_EQUAL(buffer.Dropped(), 980);
  BOOST_CHECK(buffer.Append(Subsystem::kMain, kNow, "other\n"));
  buffer.Append(Subsystem::kRouting, kNow + std::chrono::seconds(1), "later\n");
  const std::string text(buffer.Front(100'000));
  BOOST_CHECK_NE(text.find("980"), std::string::npos);
  BOOST_CHECK_NE(text.find("later"), std::string::npos);
}

// Guards against a process that blocks because its output isn't read.
BOOST_AUTO_TEST_CASE(FullPipeDoesNotBlock) {
  std::array<int, 2> ends{};
  BOOST_REQUIRE_EQUAL(pipe(ends.data()), 0);
  LogBuffer buffer({.lines_per_second = 1e9, .max_bytes = 1'000'000});
  const std::string line(999, 'x');
  int kept = 0;
  for (int i = 0; i < 2'000; ++i) {
    kept += buffer.Append(Subsystem::kMain, kNow, line + "\n") ? 1 : 0;
    FlushTo(ends[1], buffer);  // would never return if it blocked
  }
  BOOST_CHECK_GE(kept, 1'000);
  BOOST_CHECK_LT(kept, 2'000);
  BOOST_CHECK_GE(buffer.Dropped(), 1);
  close(ends[0]);
  close(ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::common
