#include "Runtime/ActorHost.h"

#include <caf/exit_reason.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>
#include <utility>

namespace shallotbeam::runtime {

caf::actor_system_config& ActorHost::Configure(
    caf::actor_system_config& config) {
  config.set("scheduler.max-threads", 1);
  // Work stealing is useless with one worker, and it polls.
  config.set("scheduler.policy", caf::atom("sharing"));
  return config;
}

ActorGuard::ActorGuard(ActorHost& host, std::shared_ptr<caf::actor> actor)
    : host_(host), actor_(std::move(actor)) {}

ActorGuard::~ActorGuard() {
  caf::anon_send_exit(*actor_, caf::exit_reason::user_shutdown);
  caf::scoped_actor self(host_.System());
  self->wait_for(*actor_);
}

}  // namespace shallotbeam::runtime
