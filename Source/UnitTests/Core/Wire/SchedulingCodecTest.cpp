#include <string>

#include "Property.h"
#include "Wire/Codec.h"

namespace shallotbeam::wire {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

protocol::SchedulingEnvelope SampleOffer() {
  return {.sender = common::ProcessName("g1"),
          .incarnation = static_cast<common::Incarnation>(7),
          .body = protocol::StartOffer{
              .number = 12,
              .control = {.address = "127.0.0.1", .port = 8082},
              .request_id = "id-1",
              .workspace = common::WorkspaceName("w"),
              .prompt = {.model = "m",
                         .prompt_tokens = 500,
                         .max_output_tokens = 80,
                         .expected_output_tokens = 30,
                         .parts = {{.id = 9, .tokens = 400},
                                   {.id = 10, .tokens = 100}}},
              .priority = 1,
              .time_to_target = 600ms,
              .time_to_deadline = 2s,
              .recent_service = 1.5}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SchedulingCodecTest)

// Guards against fields that are missing in the encoding.
BOOST_AUTO_TEST_CASE(OfferSurvivesARoundTrip) {
  const auto decoded = DecodeScheduling(Encode(SampleOffer()));
  BOOST_REQUIRE(decoded.ok());
  const auto& offer = std::get<protocol::StartOffer>(decoded->body);
  BOOST_CHECK_EQUAL(offer.request_id, "id-1");
  BOOST_CHECK_EQUAL(offer.prompt.parts.size(), 2);
  BOOST_CHECK_EQUAL(offer.prompt.max_output_tokens, 80);
  BOOST_CHECK_EQUAL(offer.prompt.expected_output_tokens, 30);
  BOOST_CHECK(offer.time_to_target == 600ms);
  BOOST_CHECK_EQUAL(offer.recent_service, 1.5);
}

// Guards against a cold engine that its scheduler does not hear of.
BOOST_AUTO_TEST_CASE(GatewayReportSurvivesARoundTrip) {
  const auto decoded = DecodeScheduling(Encode(protocol::SchedulingEnvelope{
      .body = protocol::GatewayReport{.upstream_started = 5,
                                      .cold_per_second = 11,
                                      .cold_time = 3s,
                                      .cold_left = 2s,
                                      .in_progress = {4}}}));
  BOOST_REQUIRE(decoded.ok());
  const auto& report = std::get<protocol::GatewayReport>(decoded->body);
  BOOST_CHECK_EQUAL(report.upstream_started, 5);
  BOOST_CHECK_EQUAL(report.cold_per_second, 11);
  BOOST_CHECK(report.cold_time == 3s);
  BOOST_CHECK(report.cold_left == 2s);
  BOOST_CHECK_EQUAL(report.in_progress.size(), 1);
}

BOOST_AUTO_TEST_CASE(CrashReportSurvivesARoundTrip) {
  const protocol::CrashReport report{
      .rows = {{.trait = {.fingerprint = static_cast<common::Fingerprint>(7)},
                .crashes = {{.crash = static_cast<protocol::CrashId>(9),
                             .age = 3s,
                             .sent_age = 4s}},
                .cleared = true,
                .cleared_age = 5s}}};
  const auto decoded =
      DecodeScheduling(Encode(protocol::SchedulingEnvelope{.body = report}));
  BOOST_REQUIRE(decoded.ok());
  const auto& copy = std::get<protocol::CrashReport>(decoded->body);
  BOOST_REQUIRE_EQUAL(copy.rows.size(), 1);
  BOOST_CHECK(copy.rows[0].trait == report.rows[0].trait);
  BOOST_REQUIRE_EQUAL(copy.rows[0].crashes.size(), 1);
  BOOST_CHECK(copy.rows[0].crashes[0].crash == report.rows[0].crashes[0].crash);
  BOOST_CHECK(copy.rows[0].crashes[0].sent_age == 4s);
  BOOST_CHECK(copy.rows[0].cleared_age == 5s);
}

// Guards against a crash on malformed bytes, which anyone can send to the
// control socket.
BOOST_AUTO_TEST_CASE(CorruptedBytesDoNotCrash) {
  test::CheckProperty("no corrupted message crashes the decoder", [] {
    std::string bytes = Encode(SampleOffer());
    const auto place =
        *rc::gen::inRange<std::size_t>(0, bytes.size()).as("place");
    bytes[place] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    static_cast<void>(DecodeScheduling(bytes));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::wire
