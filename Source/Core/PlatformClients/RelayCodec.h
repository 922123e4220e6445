#ifndef SHALLOTBEAM_CORE_PLATFORMCLIENTS_RELAYCODEC_H_
#define SHALLOTBEAM_CORE_PLATFORMCLIENTS_RELAYCODEC_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "PlatformClients/ItemStore.h"

// Long polls of the store's changes between processes, as HTTP with JSON.
namespace shallotbeam::platform_clients {

struct RelayPoll {
  common::StorePosition position;  // of the sender's copy
  std::chrono::milliseconds wait{0};
};

std::string EncodeRelayPoll(const RelayPoll& poll);  // request target
// Absent if the target is not a well-formed poll.
std::optional<RelayPoll> DecodeRelayPoll(std::string_view target);

// `result.copy` must be set.
std::string EncodeRelayResult(const ChangesResult& result);
// Absent if the body is malformed.
std::optional<ChangesResult> DecodeRelayResult(const std::string& body);

}  // namespace shallotbeam::platform_clients

#endif  // SHALLOTBEAM_CORE_PLATFORMCLIENTS_RELAYCODEC_H_
