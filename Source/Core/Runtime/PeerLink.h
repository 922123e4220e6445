#ifndef SHALLOTBEAM_CORE_RUNTIME_PEERLINK_H_
#define SHALLOTBEAM_CORE_RUNTIME_PEERLINK_H_

#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "Common/Types.h"
#include "Protocol/Messages.h"
#include "Transport/Mailbox.h"

namespace shallotbeam::runtime {

// Sends control messages to processes by name and learns their addresses from
// heartbeats. Not thread-safe.
class PeerLink {
 public:
  PeerLink(common::ProcessName self, common::Incarnation incarnation,
           transport::Mailbox& mailbox);

  // Adds a peer known only from the settings, with its address as its name.
  void AddSeed(const common::Endpoint& endpoint);

  // Adds a peer reported by another process. An address that is already known,
  // for example from the peer's own heartbeat, takes precedence.
  void AddPeer(const common::ProcessName& name,
               const common::Endpoint& endpoint);

  void Send(const common::ProcessName& to, const protocol::Body& body);

  // Decodes a message and records the sender's address. Malformed messages are
  // logged and dropped.
  std::optional<protocol::Envelope> Receive(std::string_view bytes);

 private:
  common::ProcessName self_;
  common::Incarnation incarnation_;
  transport::Mailbox& mailbox_;
  std::map<common::ProcessName, common::Endpoint> addresses_;
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_PEERLINK_H_
