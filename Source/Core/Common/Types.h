#ifndef SHALLOTBEAM_CORE_COMMON_TYPES_H_
#define SHALLOTBEAM_CORE_COMMON_TYPES_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace shallotbeam::common {

// A string with a tag, so that names of different kinds have different types.
template <typename Tag>
struct Name {
  std::string value;

  Name() = default;
  explicit Name(std::string text) : value(std::move(text)) {}

  bool empty() const { return value.empty(); }
  friend auto operator<=>(const Name&, const Name&) = default;
};

using WorkspaceName = Name<struct WorkspaceTag>;
using KindName = Name<struct KindTag>;
using PoolName = Name<struct PoolTag>;
using UpstreamName = Name<struct UpstreamTag>;
using DataCentreName = Name<struct DataCentreTag>;
using RegionName = Name<struct RegionTag>;
// Name of a process, such as a router or an agent. Stable across restarts.
using ProcessName = Name<struct ProcessTag>;

// Identifies one run of a process. A random number, generated when the process
// starts; never zero.
enum class Incarnation : std::uint64_t { kNone = 0 };

// Identifies a request within the fleet.
struct RequestId {
  Incarnation router = Incarnation::kNone;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

enum class GrantId : std::uint64_t { kNone = 0 };
enum class ConfigVersion : std::uint64_t { kNone = 0 };
// Position in the history of a key-value store. A store that was restored from
// an older copy gives out revisions again, in a new era.
struct StorePosition {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

// Hash of workspace, kind and body.
enum class Fingerprint : std::uint64_t { kNone = 0 };

// Unit: tokens for model pools, calls for other pools.
using Cost = double;

enum class Urgency : std::uint8_t { kBackground = 0, kNormal = 1, kUrgent = 2 };

// IP address and TCP port, for example "10.1.2.3:8080".
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

std::string ToString(RequestId id);
std::string ToString(Incarnation incarnation);
std::string ToString(const Endpoint& endpoint);

template <typename Enum>
constexpr auto ToNumber(Enum value) {
  return static_cast<std::underlying_type_t<Enum>>(value);
}

}  // namespace shallotbeam::common

template <typename Tag>
struct std::hash<shallotbeam::common::Name<Tag>> {
  std::size_t operator()(const shallotbeam::common::Name<Tag>& name) const {
    return std::hash<std::string>()(name.value);
  }
};

template <>
struct std::hash<shallotbeam::common::RequestId> {
  std::size_t operator()(const shallotbeam::common::RequestId& id) const {
    // The incarnation is random, so its xor with the sequence distributes well.
    return static_cast<std::size_t>(id.router) ^ (id.sequence * 0x9e3779b9U);
  }
};

#endif  // SHALLOTBEAM_CORE_COMMON_TYPES_H_
