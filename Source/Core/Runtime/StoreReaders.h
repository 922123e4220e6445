#ifndef SHALLOTBEAM_CORE_RUNTIME_STOREREADERS_H_
#define SHALLOTBEAM_CORE_RUNTIME_STOREREADERS_H_

#include <random>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Runtime/ConfigHolder.h"
#include "Runtime/PeerDirectory.h"

// Decides which routers read the configuration from the store and when, and
// when a process is ready.
namespace shallotbeam::runtime {

// Two, so that the failure of one reader delays no configuration change.
inline constexpr std::size_t kStoreReadersPerDataCentre = 2;

// Chooses the store readers of a data centre by rendezvous hashing: routers
// with the same view of the live routers choose the same readers, and a router
// that joins or leaves changes at most one reader. `routers` may be in any
// order.
std::vector<common::ProcessName> ChooseStoreReaders(
    const common::DataCentreName& data_centre,
    std::vector<common::ProcessName> routers);

struct ConfigPollingOptions {
  common::ProcessName name;
  common::DataCentreName data_centre;
  // Whether seed routers are configured. If so, the first read is delayed until
  // heartbeats of the other routers should have arrived, so that the store
  // readers can be chosen.
  bool has_seeds = false;
  std::uint64_t seed = 1;
  common::Duration interval = std::chrono::seconds(1);
  // Relative jitter of the interval, so that the readers do not synchronise.
  double jitter = 0.2;
  common::Duration first_read_delay = std::chrono::milliseconds(600);
};

// State of the periodic reads of the store by a router.
struct ConfigPolling {
  ConfigPollingOptions options;
  std::mt19937_64 random;
  common::TimePoint next;
  bool in_flight = false;
};

ConfigPolling MakeConfigPolling(const ConfigPollingOptions& options,
                                common::TimePoint now);

// Returns whether to read the store now; if so, the caller must call
// EndConfigRead() after the read. A router without live peers is a reader.
bool BeginConfigRead(ConfigPolling& polling, const PeerDirectory& peers,
                     common::TimePoint now);
void EndConfigRead(ConfigPolling& polling);

// Whether a process may take work after its start (docs/design.md, section 9).
struct Readiness {
  common::TimePoint started;
  bool store_read = false;  // a read of the store succeeded
  bool ready = false;       // never reset
};

// Minimum time for which a process that can't read the store waits for the
// heartbeats of its peers before it may be ready.
inline constexpr common::Duration kListenTime = std::chrono::seconds(1);

// Updates `readiness.ready` and returns it.
bool CheckReady(Readiness& readiness, const ConfigHolder& config,
                const PeerDirectory& peers, common::TimePoint now);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_STOREREADERS_H_
