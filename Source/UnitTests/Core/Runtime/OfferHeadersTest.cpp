#include "Property.h"
#include "Runtime/HeaderNames.h"
#include "Runtime/OfferHeaders.h"

namespace shallotbeam::runtime {

namespace {

transport::HttpRequest CallerRequestOf(const std::string& body) {
  transport::HttpRequest request{.method = "POST", .target = "/v1/requests"};
  request.headers.set("Shallotbeam-Workspace", "recife");
  request.headers.set("Shallotbeam-Kind", "feed-order");
  request.headers.set("Idempotency-Key", "order-1");
  request.headers.set("Authorization", "Bearer secret");
  request.body = body;
  return request;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OfferHeadersTest)

// Guards against a field of a dispatch that is lost on the way to the agent.
BOOST_AUTO_TEST_CASE(DispatchSurvivesARoundTrip) {
  test::CheckProperty("an offer holds what the dispatch said", [] {
    const routing::DispatchRequest action{
        .id = {.router =
                   common::Incarnation(*rc::gen::nonZero<std::uint64_t>()),
               .sequence = *rc::gen::arbitrary<std::uint64_t>()},
        .attempt = *rc::gen::arbitrary<std::uint32_t>(),
        .grant = common::GrantId(*rc::gen::arbitrary<std::uint64_t>()),
        .bound_to = common::Incarnation(*rc::gen::nonZero<std::uint64_t>()),
        .binding_revision = *rc::gen::arbitrary<std::uint64_t>(),
        .suspect = *rc::gen::arbitrary<bool>(),
        .time_left = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000))};
    const auto offer = ParseOffer(
        SendOffer(common::ProcessName("r1"), action, CallerRequestOf("body")));
    RC_ASSERT(offer.has_value());
    RC_ASSERT(offer->id.request == action.id);
    RC_ASSERT(offer->id.attempt == action.attempt);
    RC_ASSERT(offer->grant == action.grant);
    RC_ASSERT(offer->bound_to == action.bound_to);
    RC_ASSERT(offer->binding_revision == action.binding_revision);
    RC_ASSERT(offer->suspect == action.suspect);
    RC_ASSERT(offer->time_left == action.time_left);
    RC_ASSERT(offer->key == "order-1");
    RC_ASSERT(offer->router == common::ProcessName("r1"));
  });
}

// Guards against a workspace's credential that is forwarded to the agent.
BOOST_AUTO_TEST_CASE(CredentialStaysAtTheRouter) {
  const transport::HttpRequest offer =
      SendOffer(common::ProcessName("r1"), {.bound_to = common::Incarnation(1)},
                CallerRequestOf("body"));
  BOOST_CHECK(offer.headers.find("Authorization") == offer.headers.end());
}

// Guards against an agent that runs an offer with missing fields.
BOOST_AUTO_TEST_CASE(IncompleteOfferIsRefused) {
  for (const std::string_view name :
       {kRequestIdHeader, kAttemptHeader, kGrantHeader, kBoundToHeader,
        kRevisionHeader, kSuspectHeader, kTimeLeftHeader}) {
    transport::HttpRequest offer =
        SendOffer(common::ProcessName("r1"),
                  {.bound_to = common::Incarnation(1)}, CallerRequestOf(""));
    offer.headers.erase(boost::beast::string_view(name.data(), name.size()));
    BOOST_CHECK_MESSAGE(!ParseOffer(offer), std::string(name));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::runtime
