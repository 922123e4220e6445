#ifndef SHALLOTBEAM_CORE_ROUTING_KEYBINDING_H_
#define SHALLOTBEAM_CORE_ROUTING_KEYBINDING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Types.h"

// Binds each non-idempotent request, identified by its idempotency key, to the
// one agent incarnation that may run it.
namespace shallotbeam::routing {

// The agent incarnation that may run the request with a key.
struct Owner {
  common::ProcessName agent;
  common::Incarnation incarnation = common::Incarnation::kNone;

  friend bool operator==(const Owner&, const Owner&) = default;
};

// A key issued by the fleet that names its owner. Format:
// "sb1.<agent>.<incarnation>.<random>".
struct Ticket {
  Owner owner;
  std::uint64_t random = 0;
};

std::string FormatTicket(const Ticket& ticket);

// Returns nothing if `key` isn't a ticket but a key that the caller chose.
std::optional<Ticket> ParseTicket(std::string_view key);

// Keys that start with the ticket prefix but are malformed are refused.
bool HasTicketPrefix(std::string_view key);

// The value stored for a key. A tombstone records that the key was refused as
// not run.
struct Binding {
  bool tombstone = false;  // refused as not run; the key may be bound again
  Owner owner;             // empty for a tombstone
  common::RequestId written_by;
  // Number of the write among those of one request. Every write needs a unique
  // value: if the store's answer is lost, the entry is read back, and an
  // earlier write with the same value would be mistaken for this one.
  std::uint32_t write = 0;
  // Number of tombstones written for the key so far. An attempt that read the
  // key before a tombstone was written must not run under a later binding,
  // because its caller was told that the request did not run.
  std::uint64_t epoch = 0;
};

std::string FormatBinding(const Binding& binding);
std::optional<Binding> ParseBinding(std::string_view value);

// Store key for a key that the caller chose. The key is hashed, because callers
// may use any characters.
std::string BindingStoreKey(const common::WorkspaceName& workspace,
                            std::string_view idempotency_key);

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_KEYBINDING_H_
