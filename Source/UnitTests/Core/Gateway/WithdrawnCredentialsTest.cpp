#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "Core/Gateway/GatewayFixture.h"
#include "PlatformClients/RelayCodec.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

// Which requests a gateway serves once a configuration has taken credentials
// away, or may have.
namespace shallotbeam::gateway {

namespace {

const std::string kCredential = "Credential: secret\r\n";

// A gateway with the workspace "yard", whose credential is "secret", and the
// route /open/ that requires none.
struct Fixture : GatewayFixture {
  explicit Fixture(const std::string& credentials = "if_configured")
      : GatewayFixture(/*with_workspaces=*/true, {}, credentials) {
    AddUpstream("u", upstream.Endpoint());
    catalogue::Route open = catalogue.routes.front();
    open.path_prefix = "/open/";
    open.requires_credential = false;
    catalogue.routes.push_back(open);
    PutNext();
  }

  void PutNext() {
    catalogue.version = static_cast<common::ConfigVersion>(++version);
    PutCatalogue(catalogue);
  }
  std::string Status(const std::string& path, const std::string& headers) {
    Caller caller(context, gateway->CallersPort());
    caller.Send(Request(path, headers));
    RunUntil([&] { return Contains(caller.Received(), "\r\n\r\n"); });
    return caller.Received().substr(9, 3);
  }
  // The statuses of a request with the credential, one with another, one
  // without, and one for which none is required.
  std::string Statuses() {
    return Status("/order/1", kCredential) + " " +
           Status("/order/1", "Credential: other\r\n") + " " +
           Status("/order/1", "") + " " + Status("/open/1", "");
  }

  FakeUpstream upstream{context, RespondDone};
  std::uint64_t version = 1;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(WithdrawnCredentialsTest)

// Guards against a configuration that withdraws the last credential and opens
// all routes instead.
BOOST_FIXTURE_TEST_CASE(EmptyListOfWorkspacesAcceptsNoCredential, Fixture) {
  BOOST_CHECK_EQUAL(Statuses(), "200 401 401 200");
  catalogue.workspaces.clear();
  catalogue.credentials.clear();
  PutNext();
  BOOST_CHECK_EQUAL(Statuses(), "401 401 401 200");
}

// Guards against routes that are opened by a configuration which lacks the list
// of workspaces, where credentials are required.
BOOST_AUTO_TEST_CASE(MissingListOpensRoutesOnlyWhereNoCredentialIsRequired) {
  for (const char* credentials : {"required", "if_configured"}) {
    Fixture it(credentials);
    it.catalogue.workspaces.clear();
    it.catalogue.credentials.clear();
    it.catalogue.checks_credentials = false;
    it.PutNext();
    const bool required = std::string(credentials) == "required";
    BOOST_CHECK_EQUAL(it.Statuses(),
                      required ? "503 503 503 200" : "200 200 200 200");
  }
}

// Guards against withdrawn credentials that stay valid because the
// configuration that withdraws them can't be read.
BOOST_FIXTURE_TEST_CASE(UnreadableConfigurationEndsCredentials, Fixture) {
  PutUnreadableConfiguration();
  BOOST_CHECK_EQUAL(Statuses(), "503 503 503 200");
  PutNext();
  BOOST_CHECK_EQUAL(Statuses(), "200 401 401 200");
}

// The same where the store is restored from a copy without the unreadable
// configuration.
BOOST_FIXTURE_TEST_CASE(RestoredStoreDoesNotBringCredentialsBack, Fixture) {
  PutUnreadableConfiguration();
  RestoreStore({0, 1, 2});
  BOOST_CHECK_EQUAL(Statuses(), "503 503 503 200");
  PutNext();
  BOOST_CHECK_EQUAL(Statuses(), "200 401 401 200");
}

// Guards against gateways that follow a relay and keep withdrawn credentials,
// because the relay drops a configuration that it can't read.
BOOST_AUTO_TEST_CASE(RelayPassesAnUnreadableConfigurationOn) {
  GatewayFixture relay(/*with_workspaces=*/true, {{"127.0.0.1", 1}});
  const auto server = *transport::HttpServer::Listen(
      relay.context, {.endpoint = {.address = "127.0.0.1", .port = 0}},
      [&](const std::shared_ptr<transport::HttpExchange>& it) {
        relay.gateway->OnRelayPoll(it);
      });
  relay.PutUnreadableConfiguration();
  transport::HttpClient client(relay.context);
  std::optional<transport::HttpResponse> response;
  client.Fetch({.address = "127.0.0.1", .port = server->Port()},
               {.method = "GET",
                .target = platform_clients::EncodeRelayPoll(
                    {.position = {.revision = 1}})},
               std::chrono::seconds(5),
               [&](transport::CallEnd, const transport::HttpResponse& it) {
                 response = it;
               });
  relay.RunUntil([&] { return response.has_value(); });
  const auto result = platform_clients::DecodeRelayResult(response->body);
  BOOST_REQUIRE(result);
  BOOST_CHECK_EQUAL(result->changes.size(), 1);
}

// Guards against a request without a credential that passes with an empty one.
BOOST_FIXTURE_TEST_CASE(EmptyCredentialIsNone, Fixture) {
  catalogue.credentials[""] = 0;
  PutNext();
  BOOST_CHECK_EQUAL(Statuses(), "200 401 401 200");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
