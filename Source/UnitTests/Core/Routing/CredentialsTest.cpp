#include <boost/test/unit_test.hpp>

#include "Core/Routing/Fixture.h"

namespace shallotbeam::routing::testing {

namespace {

using common::Reason;

}  // namespace

BOOST_AUTO_TEST_SUITE(CredentialsTest)

// Guards against a workspace without a credential that accepts any.
BOOST_AUTO_TEST_CASE(WorkspaceWithoutCredentialIsClosedUnlessOpen) {
  for (const bool open : {false, true}) {
    Fixture fixture;
    config::FleetConfig config = fixture.router.config;
    config.version = static_cast<common::ConfigVersion>(
        common::ToNumber(config.version) + 1);
    config.workspaces[kWorkspace].open = open;
    fixture.Send(ConfigReceived{.config = config});
    const auto actions =
        fixture.Send(RequestArrived{.id = fixture.Id(1),
                                    .workspace = kWorkspace,
                                    .kind = kChat,
                                    .credential_sha256 = open ? "" : "bb"});
    const auto refusals = ActionsOfType<RefuseRequest>(actions);
    const bool bad = !refusals.empty() &&
                     refusals.front().refusal.reason == Reason::kBadCredential;
    BOOST_CHECK_EQUAL(bad, !open);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::routing::testing
