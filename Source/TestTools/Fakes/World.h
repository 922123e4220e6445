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

// The connection on which a router dispatches one attempt to an agent.
struct Connection {
  std::string router;
  std::string agent;
  bool chunk_sent = false;
};

// State that all fake processes of one fleet share.
struct Simulation {
  Simulation(common::Duration step, common::Duration delay, std::uint64_t seed)
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
  // The call of every attempt ever dispatched, including those whose connection
  // is closed.
  std::map<admission::AttemptId, std::size_t> attempt_calls;
  // Handlers of control messages by process name.
  std::map<std::string, std::function<void(const protocol::Envelope&)>>
      message_handlers;
  std::map<std::string, std::string> names_by_endpoint;
  // Handlers at the agents, by agent name, for what a router sends on a
  // connection: an offer or its withdrawal.
  std::map<std::string, std::function<void(const admission::RequestOffered&)>>
      offer_handlers;
  std::map<std::string, std::function<void(admission::AttemptId)>>
      withdrawal_handlers;
};

// Sends a control message. `to` is the name of a process or its endpoint.
void SendControl(Simulation& simulation, const std::string& from,
                 std::string to, const protocol::Envelope& envelope);

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_WORLD_H_
