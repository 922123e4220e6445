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
// heartbeats. Used by one thread.
class PeerLink {
 public:
  PeerLink(common::ProcessName self, common::Incarnation incarnation,
           transport::Mailbox& mailbox);

  // A peer whose name is its address, for peers known by settings only.
  void AddSeed(const common::Endpoint& endpoint);

  // A peer named by another one. Its own heartbeat takes precedence.
  void AddNamed(const common::ProcessName& name,
                const common::Endpoint& endpoint);

  void Send(const common::ProcessName& to, const protocol::Body& body);

  // Decodes a message and notes the sender's address. Malformed messages are
  // logged and left out.
  std::optional<protocol::Envelope> Receive(std::string_view bytes);

 private:
  common::ProcessName self_;
  common::Incarnation incarnation_;
  transport::Mailbox& mailbox_;
  std::map<common::ProcessName, common::Endpoint> addresses_;
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_PEERLINK_H_
