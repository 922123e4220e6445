#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

#include "Property.h"
#include "Runtime/RouterDriver.h"
#include "Runtime/StoreReaders.h"

namespace shallotbeam::runtime {

namespace {

using common::ConfigVersion;
using common::ProcessName;
using std::chrono::milliseconds;

const common::DataCentreName kNorth("north");
const common::TimePoint kStart = common::ManualClock().Now();

std::vector<ProcessName> RouterNames(int count) {
  std::vector<ProcessName> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) names.emplace_back("r" + std::to_string(i));
  return names;
}

void RecordHeartbeat(PeerDirectory& directory, const ProcessName& name,
                     common::TimePoint now, std::uint64_t version = 0,
                     protocol::Role role = protocol::Role::kRouter) {
  RecordPeer(
      directory,
      {.sender = name,
       .body = protocol::Heartbeat{.role = role,
                                   .data_centre = kNorth,
                                   .config_version =
                                       static_cast<ConfigVersion>(version)}},
      now);
}

std::string Document() {
  return R"({"pools": {"p": {}}, "kinds": {"k": {"pool": "p"}},
             "workspaces": {"w": {"open": true, "kinds": ["k"]}}})";
}

}  // namespace

// Guards against routers that choose different readers, and against the
// replacement of a reader when another router joins or leaves.
BOOST_AUTO_TEST_CASE(ReadersAreStable) {
  test::CheckProperty("a router that goes replaces at most itself", [] {
    auto routers = RouterNames(*rc::gen::inRange(1, 30));
    const auto before = ChooseStoreReaders(kNorth, routers);
    RC_ASSERT(before.size() == std::min<std::size_t>(routers.size(), 2));
    std::reverse(routers.begin(), routers.end());
    RC_ASSERT(ChooseStoreReaders(kNorth, routers) == before);
    const auto gone = *rc::gen::elementOf(routers);
    std::erase(routers, gone);
    const auto after = ChooseStoreReaders(kNorth, routers);
    for (const ProcessName& it : before) {
      RC_ASSERT(it == gone ||
                std::find(after.begin(), after.end(), it) != after.end());
    }
  });
}

// Guards against load on the store that grows with the number of routers, and
// against synchronised polling. Counts the reads of 20 routers within 60 s.
BOOST_AUTO_TEST_CASE(TwoRoutersPerDataCentreRead) {
  const auto names = RouterNames(20);
  std::vector<ConfigPolling> routers;
  for (std::size_t i = 0; i < names.size(); ++i) {
    routers.push_back(MakeConfigPolling(
        {.name = names[i], .data_centre = kNorth, .has_seeds = true, .seed = i},
        kStart));
  }
  std::map<ProcessName, int> reads;
  std::set<common::TimePoint> times;
  for (common::TimePoint now = kStart; now < kStart + std::chrono::seconds(60);
       now += milliseconds(10)) {
    PeerDirectory peers;
    for (const ProcessName& it : names) RecordHeartbeat(peers, it, now);
    for (ConfigPolling& it : routers) {
      if (!BeginConfigRead(it, peers, now)) continue;
      EndConfigRead(it);
      ++reads[it.options.name];
      times.insert(now);
    }
  }
  BOOST_TEST(reads.size() == 2U);
  for (const auto& [name, count] : reads) {
    BOOST_TEST(count >= 55);
    BOOST_TEST(count <= 65);
  }
  // Two synchronised readers would read at the same times.
  BOOST_TEST(times.size() > 90U);
}

// Guards against a fleet in which no router reads the store because the chosen
// readers have terminated, and against a second read before the first has
// ended.
BOOST_AUTO_TEST_CASE(RouterWithoutLivePeersReadsTheStore) {
  const auto names = RouterNames(20);
  PeerDirectory peers;
  for (const ProcessName& it : names) RecordHeartbeat(peers, it, kStart);
  const auto readers = ChooseStoreReaders(kNorth, names);
  const auto other = std::find_if(names.begin(), names.end(), [&](auto& it) {
    return std::find(readers.begin(), readers.end(), it) == readers.end();
  });
  auto polling =
      MakeConfigPolling({.name = *other, .data_centre = kNorth}, kStart);
  BOOST_TEST(!BeginConfigRead(polling, peers, kStart));
  const auto later = kStart + std::chrono::seconds(5);
  BOOST_TEST(BeginConfigRead(polling, peers, later));
  BOOST_TEST(!BeginConfigRead(polling, peers, later + std::chrono::hours(1)));
}

// Guards against a restarted process that takes work with an outdated
// configuration while its peers have a newer one.
BOOST_AUTO_TEST_CASE(NotReadyBeforeTheHighestVersionIsAdopted) {
  Readiness readiness{.started = kStart};
  ConfigHolder config;
  PeerDirectory peers;
  const auto late = kStart + milliseconds(1000);
  BOOST_TEST(!CheckReady(readiness, config, peers, late));  // no configuration
  config.Adopt(ConfigVersion{4}, Document());
  RecordHeartbeat(peers, ProcessName("r1"), kStart, 5);
  BOOST_TEST(!CheckReady(readiness, config, peers, late));  // older than r1's
  config.Adopt(ConfigVersion{5}, Document());
  BOOST_TEST(!CheckReady(readiness, config, peers, kStart + milliseconds(999)));
  BOOST_TEST(CheckReady(readiness, config, peers, late));
  // A newer version of a peer does not revoke readiness.
  RecordHeartbeat(peers, ProcessName("r1"), late, 6);
  BOOST_TEST(CheckReady(readiness, config, peers, late));
}

// Guards against a process that waits for its peers although it has read the
// store, and against one that waits for ever for a version that it can't parse.
BOOST_AUTO_TEST_CASE(ReadyAfterTheStoreOrARejectedVersion) {
  PeerDirectory peers;
  ConfigHolder config;
  config.Adopt(ConfigVersion{4}, Document());
  Readiness by_store{.started = kStart, .store_read = true};
  BOOST_TEST(CheckReady(by_store, config, peers, kStart));
  RecordHeartbeat(peers, ProcessName("r1"), kStart, 5);
  config.Adopt(ConfigVersion{5}, "{");
  Readiness by_peers{.started = kStart};
  BOOST_TEST(CheckReady(by_peers, config, peers, kStart + milliseconds(1000)));
}

// Guards against a terminated router that stays known because routers report it
// to each other, and against a seed that is contacted under two names.
BOOST_AUTO_TEST_CASE(RouterAddressesListEachRouterOnce) {
  PeerDirectory peers;
  const common::Endpoint first{"10.0.0.1", 1};
  const common::Endpoint second{"10.0.0.2", 1};
  RecordPeer(peers,
             {.sender = ProcessName("r1"),
              .body =
                  protocol::Heartbeat{
                      .control = first,
                      .known_routers = {{ProcessName("gone"), second}}}},
             kStart);
  RecordPeer(
      peers,
      {.sender = ProcessName("a1"),
       .body =
           protocol::Heartbeat{.role = protocol::Role::kAgent,
                               .known_routers = {{ProcessName("r2"), second}}}},
      kStart);
  const auto routers = RouterAddresses(peers, {first});
  BOOST_TEST(routers.size() == 2U);
  BOOST_TEST(routers.count(ProcessName("gone")) == 0U);
  ExpirePeers(peers, kStart + std::chrono::minutes(1));
  BOOST_TEST(RouterAddresses(peers, {}).empty());
}

// Guards against agents on a leaving host that continue to receive work, and
// against a delayed host list that changes agents on hosts it does not contain.
BOOST_AUTO_TEST_CASE(AgentsLeaveWithTheirHost) {
  routing::AgentTable agents;
  agents.agents[ProcessName("a1")].data = {"10.0.0.1", 8090};
  agents.agents[ProcessName("a2")].data = {"10.0.0.2", 8090};
  agents.agents[ProcessName("a3")].data = {"10.0.0.3", 8090};
  const auto listed =
      MapHostsToAgents({{.name = "h1",
                         .address = "10.0.0.1",
                         .state = platform_clients::HostState::kLeaving},
                        {.name = "h2", .address = "10.0.0.2"}},
                       agents);
  BOOST_REQUIRE(listed.hosts.size() == 2U);
  BOOST_TEST(listed.hosts[0].process.value == "a1");
  BOOST_TEST(listed.hosts[0].leaving);
  BOOST_TEST(!listed.hosts[1].leaving);
}

}  // namespace shallotbeam::runtime
