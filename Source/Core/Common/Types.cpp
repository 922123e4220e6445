#include "Common/Types.h"

#include <fmt/format.h>

namespace shallotbeam::common {

std::string ToString(RequestId id) {
  return fmt::format("{:016x}-{}", ToNumber(id.router), id.sequence);
}

std::string ToString(Incarnation incarnation) {
  return fmt::format("{:016x}", ToNumber(incarnation));
}

std::string ToString(const Endpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.address, endpoint.port);
}

}  // namespace shallotbeam::common
