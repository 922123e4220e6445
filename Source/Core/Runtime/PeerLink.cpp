#include "Runtime/PeerLink.h"

#include <utility>

#include "Common/Logging.h"
#include "Wire/Codec.h"

namespace shallotbeam::runtime {

PeerLink::PeerLink(common::ProcessName self, common::Incarnation incarnation,
                   transport::Mailbox& mailbox)
    : self_(std::move(self)), incarnation_(incarnation), mailbox_(mailbox) {}

void PeerLink::AddSeed(const common::Endpoint& endpoint) {
  addresses_[common::ProcessName(common::ToString(endpoint))] = endpoint;
}

void PeerLink::AddPeer(const common::ProcessName& name,
                       const common::Endpoint& endpoint) {
  addresses_.emplace(name, endpoint);
}

void PeerLink::Send(const common::ProcessName& to, const protocol::Body& body) {
  const auto it = addresses_.find(to);
  if (it == addresses_.end()) return;
  mailbox_.Send(it->second, wire::Encode({.sender = self_,
                                          .incarnation = incarnation_,
                                          .body = body}));
}

std::optional<protocol::Envelope> PeerLink::Receive(std::string_view bytes) {
  auto envelope = wire::Decode(bytes);
  if (!envelope.ok()) {
    common::Log(common::Subsystem::kTransport, common::LogLevel::kWarning,
                "event=message_rejected error=\"{}\"",
                envelope.status().ToString());
    return std::nullopt;
  }
  if (const auto* heartbeat =
          std::get_if<protocol::Heartbeat>(&envelope->body)) {
    addresses_[envelope->sender] = heartbeat->control;
    // The address that a process sends in its own heartbeat takes precedence.
    for (const protocol::PeerAddress& it : heartbeat->known_routers) {
      addresses_.try_emplace(it.process, it.control);
    }
  }
  return *std::move(envelope);
}

}  // namespace shallotbeam::runtime
