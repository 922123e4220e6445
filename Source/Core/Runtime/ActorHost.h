#ifndef SHALLOTBEAM_CORE_RUNTIME_ACTORHOST_H_
#define SHALLOTBEAM_CORE_RUNTIME_ACTORHOST_H_

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <memory>

namespace shallotbeam::runtime {

// The actor system of a process, with one worker thread.
class ActorHost {
 public:
  ActorHost() : system_(Configure(config_)) {}

  caf::actor_system& System() { return system_; }

 private:
  static caf::actor_system_config& Configure(caf::actor_system_config& config);

  caf::actor_system_config config_;
  caf::actor_system system_;
};

// Stops an actor on destruction and waits until it has terminated. Must be
// declared after everything that the actor uses, so that the actor terminates
// before these objects are destroyed.
class ActorGuard {
 public:
  ActorGuard(ActorHost& host, std::shared_ptr<caf::actor> actor);
  ~ActorGuard();

  ActorGuard(const ActorGuard&) = delete;
  ActorGuard& operator=(const ActorGuard&) = delete;

 private:
  ActorHost& host_;
  std::shared_ptr<caf::actor> actor_;
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_ACTORHOST_H_
