#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "Common/Logging.h"
#include "Config/Publication.h"
#include "Property.h"
#include "Runtime/ConfigHolder.h"

namespace shallotbeam::runtime {

namespace {

using common::ConfigVersion;

std::string DocumentOf(int weight) {
  return config::FormatPublication(
      {.publisher = "ada",
       .id = std::to_string(weight),
       .document = R"({"pools": {"p": {}}, "kinds": {"k": {"pool": "p"}},
                       "workspaces": {"w": {"open": true, "kinds": ["k"], "weight": )" +
                   std::to_string(weight) + "}}}"});
}

double WeightOf(const config::FleetConfig& config) {
  return config.workspaces.at(common::WorkspaceName("w")).weight;
}

protocol::Envelope HeartbeatOf(std::uint64_t version) {
  return {.sender = common::ProcessName("peer"),
          .body = protocol::Heartbeat{.config_version =
                                          static_cast<ConfigVersion>(version)}};
}

// A received document of a version, intact or malformed.
struct Delivery {
  std::uint64_t version = 1;
  bool broken = false;
};

// Disables log lines of the configuration, because the property test would log
// one for each delivery.
struct SilencedConfigLog {
  SilencedConfigLog() {
    common::SetLogLevel(kSubsystem, common::LogLevel::kOff);
  }
  ~SilencedConfigLog() {
    common::SetLogLevel(kSubsystem, common::LogLevel::kInfo);
  }
  SilencedConfigLog(const SilencedConfigLog&) = delete;
  SilencedConfigLog& operator=(const SilencedConfigLog&) = delete;

  static constexpr common::Subsystem kSubsystem = common::Subsystem::kConfig;
};

}  // namespace

// Guards against a configuration that reverts to an earlier version when
// documents arrive late, repeatedly, out of order, malformed or not at all.
BOOST_FIXTURE_TEST_CASE(VersionNeverDecreases, SilencedConfigLog) {
  test::CheckProperty("the highest intact version is in force", [] {
    const auto deliveries =
        *rc::gen::container<std::vector<Delivery>>(rc::gen::apply(
            [](std::uint64_t version, bool broken) {
              return Delivery{.version = version, .broken = broken};
            },
            rc::gen::inRange<std::uint64_t>(1, 9), rc::gen::arbitrary<bool>()));
    ConfigHolder holder;
    std::uint64_t highest = 0;
    for (const Delivery& it : deliveries) {
      const auto taken = holder.Adopt(
          static_cast<ConfigVersion>(it.version),
          it.broken ? "{" : DocumentOf(static_cast<int>(it.version)));
      RC_ASSERT(taken.has_value() == (!it.broken && it.version > highest));
      if (!it.broken) highest = std::max(highest, it.version);
      RC_ASSERT(common::ToNumber(holder.Version()) == highest);
      if (highest > 0) {
        RC_ASSERT(WeightOf(holder.Config()) == static_cast<double>(highest));
      }
    }
  });
}

// Guards against a malformed document that replaces a valid one, that is not
// reported, or that is requested again at every heartbeat.
BOOST_AUTO_TEST_CASE(BrokenDocumentKeepsTheOldOneInForce) {
  ConfigHolder holder;
  BOOST_REQUIRE(holder.Adopt(ConfigVersion{4}, DocumentOf(4)));
  BOOST_TEST(!holder.Adopt(ConfigVersion{5}, R"({"document": {"pools": 3}})"));
  BOOST_TEST((holder.Version() == ConfigVersion{4}));
  BOOST_TEST(WeightOf(holder.Config()) == 4);
  BOOST_TEST((holder.RejectedVersion() == ConfigVersion{5}));
  BOOST_TEST(holder.RejectionCause().find("pools") != std::string::npos);
  BOOST_TEST(!holder.Reply(HeartbeatOf(5)).has_value());
  BOOST_TEST(holder.Reply(HeartbeatOf(6)).has_value());
  // An intact copy of the same version is accepted.
  BOOST_TEST(holder.Adopt(ConfigVersion{5}, DocumentOf(5)).has_value());
  BOOST_TEST((holder.RejectedVersion() == ConfigVersion::kNone));
}

// Guards against a peer with an older version that gets no document, and
// against a peer that gets a document not newer than its own.
BOOST_AUTO_TEST_CASE(SendsTheDocumentOnlyToPeersThatAreBehind) {
  ConfigHolder holder;
  BOOST_REQUIRE(holder.Adopt(ConfigVersion{4}, DocumentOf(4)));
  const auto request = [&](std::uint64_t current_version) {
    return holder.Reply(
        {.body = protocol::ConfigRequest{
             .current_version = static_cast<ConfigVersion>(current_version)}});
  };
  const auto reply = request(3);
  BOOST_REQUIRE(reply.has_value());
  const auto& document = std::get<protocol::ConfigDocument>(*reply);
  ConfigHolder peer;
  BOOST_TEST(peer.Adopt(document.version, document.document).has_value());
  BOOST_TEST(!request(4).has_value());
  BOOST_TEST(!holder.Reply(HeartbeatOf(4)).has_value());
}

}  // namespace shallotbeam::runtime
