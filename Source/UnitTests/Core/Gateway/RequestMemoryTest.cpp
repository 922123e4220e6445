#include <boost/test/unit_test.hpp>

#include "Core/Gateway/GatewayFixture.h"

// What a gateway counts in its memory for callers.
namespace shallotbeam::gateway {

BOOST_AUTO_TEST_SUITE(RequestMemoryTest)

// Guards against requests in progress that hold a second copy of their head,
// the text that was sent to the upstream, without being counted.
BOOST_AUTO_TEST_CASE(SentRequestIsCountedWhileItIsInProgress) {
  constexpr std::size_t kHeadBytes = 60'000;
  GatewayFixture fleet;
  catalogue::Catalogue catalogue = fleet.catalogue;
  catalogue.version = static_cast<common::ConfigVersion>(2);
  catalogue.limits.header_bytes = 2 * kHeadBytes;
  fleet.PutCatalogue(catalogue);
  FakeUpstream upstream(fleet.context, [](const std::string&) {
    return FakeUpstream::Reaction{};
  });
  fleet.AddUpstream("u1", upstream.Endpoint());
  const std::size_t before = fleet.gateway->Memory()->used;
  Caller caller(fleet.context, fleet.gateway->CallersPort());
  caller.Send(GatewayFixture::Request(
      "/order/1", "Long: " + std::string(kHeadBytes, 'x') + "\r\n"));
  fleet.RunUntil([&] { return !upstream.Requests().empty(); });
  BOOST_CHECK_GE(fleet.gateway->Memory()->used, before + 2 * kHeadBytes);
  caller.Close();
  fleet.RunUntil([&] {
    fleet.Advance(kTickInterval);
    return fleet.gateway->Memory()->used <= before;
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
