#ifndef SHALLOTBEAM_CORE_WIRE_CODEC_H_
#define SHALLOTBEAM_CORE_WIRE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "Protocol/Messages.h"
#include "Protocol/SchedulingMessages.h"
#include "absl/status/statusor.h"

// MessagePack encoding of control messages: an array of format number, sender,
// incarnation, message number and the fields of the message in order.
namespace shallotbeam::wire {

// Raised with every change of the messages.
inline constexpr int kFormat = 1;

std::string Encode(const protocol::Envelope& envelope);

// Returns kInvalidArgument for bytes that are not a message of this format.
absl::StatusOr<protocol::Envelope> Decode(std::string_view bytes);

// As above, for the messages between gateways and schedulers.
std::string Encode(const protocol::SchedulingEnvelope& envelope);
absl::StatusOr<protocol::SchedulingEnvelope> DecodeScheduling(
    std::string_view bytes);

}  // namespace shallotbeam::wire

#endif  // SHALLOTBEAM_CORE_WIRE_CODEC_H_
