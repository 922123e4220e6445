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

transport::HttpRequest ValidRequest() {
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

// Guards against a malformed request that is forwarded to an upstream.
BOOST_AUTO_TEST_CASE(MalformedCallsAreRefused) {
  BOOST_CHECK(ReasonOf(ValidRequest()) == common::Reason::kNone);

  transport::HttpRequest request = ValidRequest();
  request.method = "GET";
  BOOST_CHECK(ReasonOf(request) == common::Reason::kBadRequest);
  request = ValidRequest();
  request.target = "/v1/other";
  BOOST_CHECK(ReasonOf(request) == common::Reason::kBadRequest);
  request = ValidRequest();
  request.headers.erase("Shallotbeam-Workspace");
  BOOST_CHECK(ReasonOf(request) == common::Reason::kUnknownWorkspace);
  request = ValidRequest();
  request.headers.erase("Shallotbeam-Kind");
  BOOST_CHECK(ReasonOf(request) == common::Reason::kUnknownKind);
  request = ValidRequest();
  Set(request, kIdempotencyKeyHeader, std::string(300, 'k'));
  BOOST_CHECK(ReasonOf(request) == common::Reason::kBadRequest);
  for (const char* deadline :
       {"0", "-5", "soon", "1e9", "99999999999999999999"}) {
    request = ValidRequest();
    Set(request, kDeadlineHeader, deadline);
    BOOST_CHECK_MESSAGE(ReasonOf(request) == common::Reason::kBadRequest,
                        deadline);
  }
}

// Guards against a credential that is stored or compared in plain text.
BOOST_AUTO_TEST_CASE(CredentialIsHashed) {
  transport::HttpRequest request = ValidRequest();
  Set(request, "Authorization", "Bearer abc");
  const auto arrived =
      std::get<routing::RequestArrived>(ParseCallerRequest(request, kId));
  BOOST_CHECK_EQUAL(
      arrived.credential_sha256,
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a resent request with another fingerprint than the original,
// and against two different requests with the same fingerprint.
BOOST_AUTO_TEST_CASE(FingerprintDependsOnWorkspaceKindAndBody) {
  const auto fingerprint = [](const transport::HttpRequest& request) {
    return std::get<routing::RequestArrived>(ParseCallerRequest(request, kId))
        .fingerprint;
  };
  transport::HttpRequest other = ValidRequest();
  BOOST_CHECK(fingerprint(ValidRequest()) == fingerprint(other));
  other.body = "{} ";
  BOOST_CHECK(fingerprint(ValidRequest()) != fingerprint(other));
  other = ValidRequest();
  Set(other, kWorkspaceHeader, "recif");
  Set(other, kKindHeader, "elookup");
  BOOST_CHECK(fingerprint(ValidRequest()) != fingerprint(other));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::runtime
