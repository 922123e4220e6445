#include "Property.h"
#include "Runtime/UsageMeter.h"

namespace shallotbeam::runtime {

BOOST_AUTO_TEST_SUITE(UsageMeterTest)

// Guards against counts that depend on how the network splits the stream into
// chunks.
BOOST_AUTO_TEST_CASE(CountIsIndependentOfChunkBoundaries) {
  test::CheckProperty("any split of the stream gives the same count", [] {
    const int tokens = *rc::gen::inRange(1, 50);
    const bool reported = *rc::gen::arbitrary<bool>();
    std::string stream;
    for (int i = 0; i < tokens; ++i) stream += "data: {\"text\":\"a\"}\n\n";
    if (reported) {
      stream += "data: {\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":" +
                std::to_string(tokens) + "}}\n\n";
    }
    stream += "data: [DONE]\n\n";
    UsageMeter meter;
    std::string_view rest = stream;
    while (!rest.empty()) {
      const auto n = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      FeedEventStream(meter, rest.substr(0, n));
      rest.remove_prefix(n);
    }
    RC_ASSERT(meter.generated_tokens == static_cast<std::uint64_t>(tokens));
    RC_ASSERT(meter.prompt_tokens == (reported ? 7U : 0U));
  });
}

// Guards against memory that grows without limit with a line that never ends.
BOOST_AUTO_TEST_CASE(EndlessLineIsBounded) {
  UsageMeter meter;
  for (int i = 0; i < 1000; ++i) FeedEventStream(meter, std::string(1000, 'x'));
  BOOST_CHECK(meter.partial_line.size() < 100'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::runtime
