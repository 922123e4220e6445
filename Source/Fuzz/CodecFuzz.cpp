#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "Wire/Codec.h"

// Guards against a control message that crashes the receiving process, and
// against a message that changes when it is decoded and encoded again.
extern "C" int LLVMFuzzerTestOneInput(  // NOLINT
    const std::uint8_t* data, std::size_t size) {
  namespace wire = shallotbeam::wire;
  const auto envelope =
      wire::Decode(std::string_view(reinterpret_cast<const char*>(data), size));
  if (!envelope.ok()) return 0;
  const std::string bytes = wire::Encode(*envelope);
  const auto again = wire::Decode(bytes);
  if (!again.ok() || wire::Encode(*again) != bytes) std::abort();
  return 0;
}
