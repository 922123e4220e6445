#include <string>

#include "Property.h"
#include "Wire/Codec.h"

namespace shallotbeam::wire {

namespace {

protocol::Envelope SampleHeartbeat() {
  return {
      .sender = common::ProcessName("r1"),
      .incarnation = static_cast<common::Incarnation>(7),
      .body = protocol::Heartbeat{
          .role = protocol::Role::kRouter,
          .data_centre = common::DataCentreName("recife-1"),
          .control = {.address = "127.0.0.1", .port = 8082},
          .known_routers = {{.process = common::ProcessName("r2"),
                             .control = {.address = "127.0.0.2", .port = 1}}}}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CodecTest)

// Guards against fields that are missing in the encoding.
BOOST_AUTO_TEST_CASE(HeartbeatSurvivesARoundTrip) {
  const auto decoded = Decode(Encode(SampleHeartbeat()));
  BOOST_REQUIRE(decoded.ok());
  const auto& heartbeat = std::get<protocol::Heartbeat>(decoded->body);
  BOOST_CHECK(decoded->sender == common::ProcessName("r1"));
  BOOST_CHECK(heartbeat.data_centre == common::DataCentreName("recife-1"));
  BOOST_REQUIRE_EQUAL(heartbeat.known_routers.size(), 1);
  BOOST_CHECK_EQUAL(heartbeat.known_routers[0].control.address, "127.0.0.2");
}

// Guards against a crash on malformed bytes, which anyone can send to the
// control socket.
BOOST_AUTO_TEST_CASE(CorruptedBytesDoNotCrash) {
  test::CheckProperty("no corrupted message crashes the decoder", [] {
    std::string bytes = Encode(SampleHeartbeat());
    const auto place =
        *rc::gen::inRange<std::size_t>(0, bytes.size()).as("place");
    bytes[place] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    static_cast<void>(Decode(bytes));
  });
}

// Guards against a short message that declares a long array and makes the
// receiver allocate gigabytes.
BOOST_AUTO_TEST_CASE(ArrayLengthBeyondTheMessageIsRejected) {
  const std::string bytes = "\xdd\x0b\x20\xc3\x7a";
  const auto decoded = Decode(bytes);
  BOOST_CHECK(absl::IsInvalidArgument(decoded.status()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::wire
