#ifndef SHALLOTBEAM_CORE_ROUTING_KEYBINDING_H_
#define SHALLOTBEAM_CORE_ROUTING_KEYBINDING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Types.h"

// Binding of non-idempotent requests to the one agent incarnation that may run
// them.
namespace shallotbeam::routing {

// The agent incarnation that may run a key.
struct Owner {
  common::ProcessName agent;
  common::Incarnation incarnation = common::Incarnation::kNone;

  friend bool operator==(const Owner&, const Owner&) = default;
};

// A key given out by the fleet that names its owner. Form:
// "sb1.<agent>.<incarnation>.<random>".
struct Ticket {
  Owner owner;
  std::uint64_t random = 0;
};

std::string FormatTicket(const Ticket& ticket);

// Absent if `key` isn't a ticket, that is, a caller's own key.
std::optional<Ticket> ParseTicket(std::string_view key);

// Keys that start with the prefix of tickets but are malformed are refused.
bool HasTicketPrefix(std::string_view key);

// Value of a key's entry in the store.
struct Binding {
  bool tombstone = false;  // refused as not run; may be bound over
  Owner owner;             // empty for a tombstone
  common::RequestId written_by;
  // Counts the writes of one request: a value must be unique to its write, or
  // an earlier one would be taken for it when an answer is lost.
  std::uint32_t write = 0;
  // Tombstones written for the key so far. An attempt that read the key before
  // a tombstone was written must not run under a later binding: its caller was
  // told that it did not run.
  std::uint64_t epoch = 0;
};

std::string FormatBinding(const Binding& binding);
std::optional<Binding> ParseBinding(std::string_view value);

// Store key of a caller's own key. Hashed, as callers choose any characters.
std::string BindingStoreKey(const common::WorkspaceName& workspace,
                            std::string_view idempotency_key);

}  // namespace shallotbeam::routing

#endif  // SHALLOTBEAM_CORE_ROUTING_KEYBINDING_H_
