#ifndef SHALLOTBEAM_CORE_WIRE_CODEC_H_
#define SHALLOTBEAM_CORE_WIRE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "Protocol/Messages.h"
#include "Protocol/SchedulingMessages.h"
#include "absl/status/statusor.h"

// MessagePack encoding of control messages. A message is an array of format
// version, sender, incarnation, message type (index in the variant) and an
// array of the message's fields in order.
namespace shallotbeam::wire {

// Format version. Must be incremented with every change of the messages.
inline constexpr int kFormat = 2;

std::string Encode(const protocol::Envelope& envelope);

// Returns kInvalidArgument if `bytes` aren't a message of this format.
absl::StatusOr<protocol::Envelope> Decode(std::string_view bytes);

// The same for messages between gateways and schedulers.
std::string Encode(const protocol::SchedulingEnvelope& envelope);
absl::StatusOr<protocol::SchedulingEnvelope> DecodeScheduling(
    std::string_view bytes);

}  // namespace shallotbeam::wire

#endif  // SHALLOTBEAM_CORE_WIRE_CODEC_H_
