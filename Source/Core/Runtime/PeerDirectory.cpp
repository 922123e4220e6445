#include "Runtime/PeerDirectory.h"

#include <algorithm>
#include <set>

namespace shallotbeam::runtime {

namespace {

// Four intervals of the heartbeats between routers.
constexpr common::Duration kLiveFor = std::chrono::seconds(2);
constexpr common::Duration kForgetAfter = std::chrono::minutes(1);

}  // namespace

void NotePeer(PeerDirectory& directory, const protocol::Envelope& envelope,
              common::TimePoint now) {
  const auto* heartbeat = std::get_if<protocol::Heartbeat>(&envelope.body);
  if (heartbeat == nullptr) return;
  directory.heard[envelope.sender] = {
      .role = heartbeat->role,
      .data_centre = heartbeat->data_centre,
      .control = heartbeat->control,
      .config_version = heartbeat->config_version,
      .last_heard = now};
  // Agents name only routers that they hear themselves. Names passed on by
  // routers would keep a router known that is long gone.
  if (heartbeat->role != protocol::Role::kAgent) return;
  for (const protocol::PeerAddress& it : heartbeat->known_routers) {
    directory.named[it.process] = {it.control, now};
  }
}

void ForgetPeers(PeerDirectory& directory, common::TimePoint now) {
  std::erase_if(directory.heard, [&](const auto& it) {
    return now - it.second.last_heard >= kForgetAfter;
  });
  std::erase_if(directory.named, [&](const auto& it) {
    return now - it.second.second >= kForgetAfter;
  });
}

std::vector<common::ProcessName> LiveRouters(
    const PeerDirectory& directory, const common::DataCentreName& data_centre,
    common::TimePoint now) {
  std::vector<common::ProcessName> live;
  for (const auto& [name, peer] : directory.heard) {
    const bool is_live = peer.role == protocol::Role::kRouter &&
                         peer.data_centre == data_centre &&
                         now - peer.last_heard < kLiveFor;
    if (is_live) live.push_back(name);
  }
  return live;
}

common::ConfigVersion HighestVersion(const PeerDirectory& directory,
                                     common::TimePoint now) {
  common::ConfigVersion highest = common::ConfigVersion::kNone;
  for (const auto& [name, peer] : directory.heard) {
    if (now - peer.last_heard >= kLiveFor) continue;
    highest = std::max(highest, peer.config_version);
  }
  return highest;
}

std::map<common::ProcessName, common::Endpoint> RouterAddresses(
    const PeerDirectory& directory,
    const std::vector<common::Endpoint>& seeds) {
  std::map<common::ProcessName, common::Endpoint> routers;
  std::set<common::Endpoint> known;
  for (const auto& [name, named] : directory.named) {
    routers[name] = named.first;
  }
  for (const auto& [name, peer] : directory.heard) {
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
