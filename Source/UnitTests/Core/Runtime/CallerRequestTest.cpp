#include "Property.h"
#include "Runtime/CallerRequest.h"
#include "Runtime/HeaderNames.h"

namespace shallotbeam::runtime {

namespace {

constexpr common::RequestId kId{.router = common::Incarnation(5),
                                .sequence = 9};

void Set(transport::HttpRequest& request, std::string_view name,
         const std::string& value) {
  request.headers.set(boost::beast::string_view(name.data(), name.size()),
                      value);
}

transport::HttpRequest Valid() {
  transport::HttpRequest request{.method = "POST", .target = "/v1/requests"};
  Set(request, kWorkspaceHeader, "recife");
  Set(request, kKindHeader, "lookup");
  request.body = "{}";
  return request;
}

common::Reason ReasonOf(const transport::HttpRequest& request) {
  const CallerRequest parsed = ParseCallerRequest(request, kId);
  const auto* refusal = std::get_if<common::Refusal>(&parsed);
  return refusal == nullptr ? common::Reason::kNone : refusal->reason;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CallerRequestTest)

// Guards against a malformed call that is sent on to an upstream.
BOOST_AUTO_TEST_CASE(MalformedCallsAreRefused) {
  BOOST_CHECK(ReasonOf(Valid()) == common::Reason::kNone);

  transport::HttpRequest request = Valid();
  request.method = "GET";
  BOOST_CHECK(ReasonOf(request) == common::Reason::kBadRequest);
  request = Valid();
  request.target = "/v1/other";
  BOOST_CHECK(ReasonOf(request) == common::Reason::kBadRequest);
  request = Valid();
  request.headers.erase("Shallotbeam-Workspace");
  BOOST_CHECK(ReasonOf(request) == common::Reason::kUnknownWorkspace);
  request = Valid();
  request.headers.erase("Shallotbeam-Kind");
  BOOST_CHECK(ReasonOf(request) == common::Reason::kUnknownKind);
  request = Valid();
  Set(request, kIdempotencyKeyHeader, std::string(300, 'k'));
  BOOST_CHECK(ReasonOf(request) == common::Reason::kBadRequest);
  for (const char* deadline :
       {"0", "-5", "soon", "1e9", "99999999999999999999"}) {
    request = Valid();
    Set(request, kDeadlineHeader, deadline);
    BOOST_CHECK_MESSAGE(ReasonOf(request) == common::Reason::kBadRequest,
                        deadline);
  }
}

// Guards against a credential that is kept or compared in clear text.
BOOST_AUTO_TEST_CASE(CredentialIsHashed) {
  transport::HttpRequest request = Valid();
  Set(request, "Authorization", "Bearer abc");
  const auto arrived =
      std::get<routing::RequestArrived>(ParseCallerRequest(request, kId));
  BOOST_CHECK_EQUAL(
      arrived.credential_sha256,
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against one request that is told apart from its resend, or two
// different ones that are taken for the same.
BOOST_AUTO_TEST_CASE(FingerprintDependsOnWorkspaceKindAndBody) {
  const auto fingerprint = [](const transport::HttpRequest& request) {
    return std::get<routing::RequestArrived>(ParseCallerRequest(request, kId))
        .fingerprint;
  };
  transport::HttpRequest other = Valid();
  BOOST_CHECK(fingerprint(Valid()) == fingerprint(other));
  other.body = "{} ";
  BOOST_CHECK(fingerprint(Valid()) != fingerprint(other));
  other = Valid();
  Set(other, kWorkspaceHeader, "recif");
  Set(other, kKindHeader, "elookup");
  BOOST_CHECK(fingerprint(Valid()) != fingerprint(other));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::runtime
