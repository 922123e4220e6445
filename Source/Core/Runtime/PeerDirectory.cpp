#include "Runtime/PeerDirectory.h"

#include <algorithm>
#include <set>

namespace shallotbeam::runtime {

namespace {

// Four heartbeat intervals between routers.
constexpr common::Duration kLivenessTimeout = std::chrono::seconds(2);
constexpr common::Duration kPeerExpiry = std::chrono::minutes(1);

}  // namespace

void RecordPeer(PeerDirectory& directory, const protocol::Envelope& envelope,
                common::TimePoint now) {
  const auto* heartbeat = std::get_if<protocol::Heartbeat>(&envelope.body);
  if (heartbeat == nullptr) return;
  directory.direct_peers[envelope.sender] = {
      .role = heartbeat->role,
      .data_centre = heartbeat->data_centre,
      .control = heartbeat->control,
      .config_version = heartbeat->config_version,
      .last_heard = now};
  // An agent lists only routers that send heartbeats to it. Lists from routers
  // are ignored, because routers would keep reporting a router that has
  // terminated to each other.
  if (heartbeat->role != protocol::Role::kAgent) return;
  for (const protocol::PeerAddress& it : heartbeat->known_routers) {
    directory.reported_routers[it.process] = {it.control, now};
  }
}

void ExpirePeers(PeerDirectory& directory, common::TimePoint now) {
  std::erase_if(directory.direct_peers, [&](const auto& it) {
    return now - it.second.last_heard >= kPeerExpiry;
  });
  std::erase_if(directory.reported_routers, [&](const auto& it) {
    return now - it.second.second >= kPeerExpiry;
  });
}

std::vector<common::ProcessName> LiveRouters(
    const PeerDirectory& directory, const common::DataCentreName& data_centre,
    common::TimePoint now) {
  std::vector<common::ProcessName> live;
  for (const auto& [name, peer] : directory.direct_peers) {
    const bool is_live = peer.role == protocol::Role::kRouter &&
                         peer.data_centre == data_centre &&
                         now - peer.last_heard < kLivenessTimeout;
    if (is_live) live.push_back(name);
  }
  return live;
}

common::ConfigVersion HighestVersion(const PeerDirectory& directory,
                                     common::TimePoint now) {
  common::ConfigVersion highest = common::ConfigVersion::kNone;
  for (const auto& [name, peer] : directory.direct_peers) {
    if (now - peer.last_heard >= kLivenessTimeout) continue;
    highest = std::max(highest, peer.config_version);
  }
  return highest;
}

std::map<common::ProcessName, common::Endpoint> RouterAddresses(
    const PeerDirectory& directory,
    const std::vector<common::Endpoint>& seeds) {
  std::map<common::ProcessName, common::Endpoint> routers;
  std::set<common::Endpoint> known;
  for (const auto& [name, reported] : directory.reported_routers) {
    routers[name] = reported.first;
  }
  for (const auto& [name, peer] : directory.direct_peers) {
    if (peer.role == protocol::Role::kRouter) routers[name] = peer.control;
  }
  for (const auto& [name, control] : routers) known.insert(control);
  for (const common::Endpoint& seed : seeds) {
    if (known.count(seed) != 0) continue;
    routers[common::ProcessName(common::ToString(seed))] = seed;
  }
  return routers;
}

}  // namespace shallotbeam::runtime
