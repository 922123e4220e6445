#ifndef SHALLOTBEAM_CORE_RUNTIME_PEERDIRECTORY_H_
#define SHALLOTBEAM_CORE_RUNTIME_PEERDIRECTORY_H_

#include <map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Protocol/Messages.h"

// The peers that a process has discovered from heartbeats.
namespace shallotbeam::runtime {

struct Peer {
  protocol::Role role = protocol::Role::kRouter;
  common::DataCentreName data_centre;
  common::Endpoint control;
  common::ConfigVersion config_version = common::ConfigVersion::kNone;
  common::TimePoint last_heard;
};

struct PeerDirectory {
  // Processes that sent a heartbeat themselves.
  std::map<common::ProcessName, Peer> direct_peers;
  // Routers that were listed in heartbeats of agents, with the time of the last
  // such heartbeat.
  std::map<common::ProcessName, std::pair<common::Endpoint, common::TimePoint>>
      reported_routers;
};

// Updates the directory from a heartbeat; ignores other messages.
void RecordPeer(PeerDirectory& directory, const protocol::Envelope& envelope,
                common::TimePoint now);

// Removes peers that sent no heartbeat for a minute, and reported routers that
// were not reported again for a minute.
void ExpirePeers(PeerDirectory& directory, common::TimePoint now);

// Routers of a data centre that sent a heartbeat within the last 2 s.
std::vector<common::ProcessName> LiveRouters(
    const PeerDirectory& directory, const common::DataCentreName& data_centre,
    common::TimePoint now);

// The highest configuration version in force on a peer that sent a heartbeat
// within the last 2 s.
common::ConfigVersion HighestVersion(const PeerDirectory& directory,
                                     common::TimePoint now);

// Control addresses of all other known routers: seeds, routers reported by
// agents, and routers that sent heartbeats.
std::map<common::ProcessName, common::Endpoint> RouterAddresses(
    const PeerDirectory& directory, const std::vector<common::Endpoint>& seeds);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_PEERDIRECTORY_H_
