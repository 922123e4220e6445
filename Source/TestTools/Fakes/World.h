#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_WORLD_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_WORLD_H_

#include <functional>
#include <map>
#include <random>
#include <string>

#include "Admission/Events.h"
#include "Fakes/FakeStore.h"
#include "Fakes/Network.h"
#include "Fakes/Records.h"
#include "Fakes/Timeline.h"
#include "Protocol/Messages.h"

namespace shallotbeam::fakes {

inline constexpr common::Duration kTickInterval = std::chrono::milliseconds(10);
inline constexpr const char* kPool = "engines";
inline constexpr const char* kStoreName = "store";

// The connection on which a router hands one attempt to an agent.
struct Connection {
  std::string router;
  std::string agent;
  bool part_sent = false;
};

// What the fake processes share.
struct World {
  World(common::Duration step, common::Duration delay, std::uint64_t seed)
      : timeline(step), network(timeline, delay), random(seed) {}

  common::Incarnation NewIncarnation() {
    return static_cast<common::Incarnation>(random() | 1);
  }

  Timeline timeline;
  Network network;
  std::mt19937_64 random;
  Records records;
  StoreContent store;
  StoreMode store_mode = StoreMode::kUp;
  std::map<admission::AttemptId, Connection> connections;
  // Every attempt ever dispatched, also those whose connection is closed.
  std::map<admission::AttemptId, std::size_t> attempt_calls;
  // Receivers of control messages by process name.
  std::map<std::string, std::function<void(const protocol::Envelope&)>> inboxes;
  std::map<std::string, std::string> names_by_endpoint;
  // Receivers of the two directions of a connection.
  std::map<std::string, std::function<void(const admission::RequestOffered&)>>
      offers;
  std::map<std::string, std::function<void(admission::AttemptId)>> withdrawals;
};

// Sends a control message; `to` is a name or an endpoint.
void SendControl(World& world, const std::string& from, std::string to,
                 const protocol::Envelope& envelope);

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_WORLD_H_
