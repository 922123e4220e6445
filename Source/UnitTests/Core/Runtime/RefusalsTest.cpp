#include "Property.h"
#include "Runtime/Refusals.h"

namespace shallotbeam::runtime {

BOOST_AUTO_TEST_SUITE(RefusalsTest)

// Guards against a verdict that changes when it is encoded by an agent and
// decoded by a router.
BOOST_AUTO_TEST_CASE(RefusalSurvivesARoundTrip) {
  for (const auto verdict :
       {common::Verdict::kNotRun, common::Verdict::kMayHaveRun}) {
    const common::Refusal refusal{
        .verdict = verdict,
        .reason = common::Reason::kBusy,
        .retry_after = std::chrono::milliseconds(1500)};
    const transport::HttpResponse response = ToResponse(refusal);
    boost::beast::http::fields headers;
    for (const auto& [name, value] : response.headers) headers.set(name, value);
    const auto parsed = ParseRefusal(headers);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_CHECK(parsed->verdict == verdict);
    BOOST_CHECK(parsed->reason == common::Reason::kBusy);
    BOOST_CHECK(parsed->retry_after == refusal.retry_after);
    // 1500 ms in whole seconds, rounded up.
    BOOST_CHECK_EQUAL(std::string(headers["Retry-After"]), "2");
  }
}

// Guards against the verdict "not run" for a response without a verdict, whose
// request may have run.
BOOST_AUTO_TEST_CASE(ResponseWithoutVerdictMayHaveRun) {
  const auto parsed = ParseRefusal({});
  BOOST_REQUIRE(parsed.has_value());
  BOOST_CHECK(parsed->verdict == common::Verdict::kMayHaveRun);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::runtime
