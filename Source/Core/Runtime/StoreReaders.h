#ifndef SHALLOTBEAM_CORE_RUNTIME_STOREREADERS_H_
#define SHALLOTBEAM_CORE_RUNTIME_STOREREADERS_H_

#include <random>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Runtime/ConfigHolder.h"
#include "Runtime/PeerDirectory.h"

// Which routers read the configuration from the store and when, and when a
// process is ready.
namespace shallotbeam::runtime {

// Two, so that one may fail without a delay.
inline constexpr std::size_t kStoreReadersPerDataCentre = 2;

// The readers of a data centre by rendezvous hashing: routers that agree about
// who is live choose the same ones, and one that comes or goes changes at most
// one reader. `routers` may be in any order.
std::vector<common::ProcessName> ChooseStoreReaders(
    const common::DataCentreName& data_centre,
    std::vector<common::ProcessName> routers);

struct ConfigPollingOptions {
  common::ProcessName name;
  common::DataCentreName data_centre;
  // With seeds, the first choice of readers waits until peers have answered.
  bool has_seeds = false;
  std::uint64_t seed = 1;
  common::Duration interval = std::chrono::seconds(1);
  // Relative spread of the interval, so that readers do not read in step.
  double jitter = 0.2;
  common::Duration first_read_delay = std::chrono::milliseconds(600);
};

// When a router reads the store.
struct ConfigPolling {
  ConfigPollingOptions options;
  std::mt19937_64 random;
  common::TimePoint next;
  bool in_flight = false;
};

ConfigPolling MakeConfigPolling(const ConfigPollingOptions& options,
                                common::TimePoint now);

// Whether to read the store now; the caller then reads it and calls
// EndConfigRead. A router that hears of no other reads itself.
bool BeginConfigRead(ConfigPolling& polling, const PeerDirectory& peers,
                     common::TimePoint now);
void EndConfigRead(ConfigPolling& polling);

// Whether a restarted process may take work (docs/design.md, section 9).
struct Readiness {
  common::TimePoint started;
  bool store_read = false;  // the store has answered a read
  bool ready = false;       // stays true
};

// How long a process that can't read the store listens to its peers.
inline constexpr common::Duration kListenTime = std::chrono::seconds(1);

// Updates `readiness.ready` and returns it.
bool CheckReady(Readiness& readiness, const ConfigHolder& config,
                const PeerDirectory& peers, common::TimePoint now);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_STOREREADERS_H_
