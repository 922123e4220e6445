#include <cstddef>
#include <cstdint>
#include <string_view>

#include "Config/Document.h"

// Guards against a stored document that crashes every process that reads it.
extern "C" int LLVMFuzzerTestOneInput(  // NOLINT
    const std::uint8_t* data, std::size_t size) {
  static_cast<void>(shallotbeam::config::ParseDocument(
      std::string_view(reinterpret_cast<const char*>(data), size)));
  return 0;
}
