#ifndef SHALLOTBEAM_CORE_PLATFORMCLIENTS_CHANGETIMING_H_
#define SHALLOTBEAM_CORE_PLATFORMCLIENTS_CHANGETIMING_H_

#include <chrono>

// Time limits of all steps by which a change of the store reaches a process, so
// that their sum stays below the time within which changes must take effect,
// also when one of the steps fails without a sign.
namespace shallotbeam::platform_clients {

struct ChangeTiming {
  // Polls of the store by a process that follows it for itself.
  std::chrono::milliseconds poll_wait;
  std::chrono::milliseconds max_change_delay;

  // Polls of the store by a relay.
  std::chrono::milliseconds relay_poll_wait;
  std::chrono::milliseconds relay_max_change_delay;
  // A relay whose copy is older than this refuses polls.
  std::chrono::milliseconds relay_max_age;

  // Polls of a relay by another process.
  std::chrono::milliseconds relayed_poll_wait;
  std::chrono::milliseconds relay_response_timeout;
};

// `limit` is the time within which a change must take effect.
ChangeTiming TimingFor(std::chrono::milliseconds limit);

}  // namespace shallotbeam::platform_clients

#endif  // SHALLOTBEAM_CORE_PLATFORMCLIENTS_CHANGETIMING_H_
