#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "Routing/KeyBinding.h"

// Guards against a key or a stored binding that crashes a router, and against a
// ticket or binding whose owner changes when it is parsed and formatted again.
extern "C" int LLVMFuzzerTestOneInput(  // NOLINT
    const std::uint8_t* data, std::size_t size) {
  namespace routing = shallotbeam::routing;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (const auto ticket = routing::ParseTicket(text)) {
    const auto again = routing::ParseTicket(routing::FormatTicket(*ticket));
    if (!again || again->owner != ticket->owner) std::abort();
  }
  if (const auto binding = routing::ParseBinding(text)) {
    const auto again = routing::ParseBinding(routing::FormatBinding(*binding));
    if (!again || again->owner != binding->owner) std::abort();
  }
  return 0;
}
