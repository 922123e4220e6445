#include "Routing/KeyBinding.h"

#include <fmt/format.h>

#include <charconv>
#include <vector>

#include "Common/Hash.h"
#include "absl/strings/str_split.h"

namespace shallotbeam::routing {

namespace {

constexpr std::string_view kTicketPrefix = "sb1.";
constexpr std::string_view kTombstone = "tombstone";

std::vector<std::string> Split(std::string_view text, char separator) {
  return absl::StrSplit(absl::string_view(text.data(), text.size()), separator);
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string FormatTicket(const Ticket& ticket) {
  return fmt::format("{}{}.{:016x}.{:016x}", kTicketPrefix,
                     ticket.owner.agent.value,
                     common::ToNumber(ticket.owner.incarnation), ticket.random);
}

bool HasTicketPrefix(std::string_view key) {
  return key.starts_with(kTicketPrefix);
}

std::optional<Ticket> ParseTicket(std::string_view key) {
  if (!HasTicketPrefix(key)) return std::nullopt;
  const std::vector<std::string> fields =
      Split(key.substr(kTicketPrefix.size()), '.');
  if (fields.size() != 3 || fields[0].empty()) return std::nullopt;
  const auto incarnation = ParseNumber(fields[1], 16);
  const auto random = ParseNumber(fields[2], 16);
  if (!incarnation || *incarnation == 0 || !random) return std::nullopt;
  return Ticket{.owner = {.agent = common::ProcessName(fields[0]),
                          .incarnation = common::Incarnation(*incarnation)},
                .random = *random};
}

std::string FormatBinding(const Binding& binding) {
  const std::string writer = fmt::format(
      "{:016x} {} {} {}", common::ToNumber(binding.written_by.router),
      binding.written_by.sequence, binding.write, binding.epoch);
  if (binding.tombstone) return fmt::format("{} {}", kTombstone, writer);
  return fmt::format("{} {:016x} {}", binding.owner.agent.value,
                     common::ToNumber(binding.owner.incarnation), writer);
}

std::optional<Binding> ParseBinding(std::string_view value) {
  const std::vector<std::string> fields = Split(value, ' ');
  if (fields.size() < 5) return std::nullopt;
  const auto router = ParseNumber(fields[fields.size() - 4], 16);
  const auto sequence = ParseNumber(fields[fields.size() - 3], 10);
  const auto write = ParseNumber(fields[fields.size() - 2], 10);
  const auto epoch = ParseNumber(fields[fields.size() - 1], 10);
  if (!router || !sequence || !write || !epoch) return std::nullopt;
  Binding binding;
  binding.epoch = *epoch;
  binding.write = static_cast<std::uint32_t>(*write);
  binding.written_by = {.router = common::Incarnation(*router),
                        .sequence = *sequence};
  if (fields.size() == 5 && fields[0] == kTombstone) {
    binding.tombstone = true;
    return binding;
  }
  if (fields.size() != 6) return std::nullopt;
  const auto incarnation = ParseNumber(fields[1], 16);
  if (!incarnation) return std::nullopt;
  binding.owner = {.agent = common::ProcessName(fields[0]),
                   .incarnation = common::Incarnation(*incarnation)};
  return binding;
}

std::string BindingStoreKey(const common::WorkspaceName& workspace,
                            std::string_view idempotency_key) {
  // Two seeds give 128 bits. With a collision, one caller's request would be
  // refused because of another caller's key.
  return fmt::format("binding/{}/{:016x}{:016x}", workspace.value,
                     common::Hash64(idempotency_key, 1),
                     common::Hash64(idempotency_key, 2));
}

}  // namespace shallotbeam::routing
