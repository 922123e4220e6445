#ifndef SHALLOTBEAM_CORE_RUNTIME_PEERDIRECTORY_H_
#define SHALLOTBEAM_CORE_RUNTIME_PEERDIRECTORY_H_

#include <map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Protocol/Messages.h"

// What a process has learned of others from their heartbeats.
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
  std::map<common::ProcessName, Peer> heard;
  // Routers that others named, with the time when they were last named.
  std::map<common::ProcessName, std::pair<common::Endpoint, common::TimePoint>>
      named;
};

// Takes in a message; only heartbeats matter.
void NotePeer(PeerDirectory& directory, const protocol::Envelope& envelope,
              common::TimePoint now);

// Removes peers that have been silent, and names not repeated, for a minute.
void ForgetPeers(PeerDirectory& directory, common::TimePoint now);

// Routers of a data centre heard of lately.
std::vector<common::ProcessName> LiveRouters(
    const PeerDirectory& directory, const common::DataCentreName& data_centre,
    common::TimePoint now);

// The highest version that a peer heard of lately has in force.
common::ConfigVersion HighestVersion(const PeerDirectory& directory,
                                     common::TimePoint now);

// Control addresses of all other routers known: seeds, named and heard.
std::map<common::ProcessName, common::Endpoint> RouterAddresses(
    const PeerDirectory& directory, const std::vector<common::Endpoint>& seeds);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_PEERDIRECTORY_H_
