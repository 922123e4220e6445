#include "Runtime/StoreReaders.h"

#include <algorithm>

#include "Common/Hash.h"

namespace shallotbeam::runtime {

std::vector<common::ProcessName> ChooseStoreReaders(
    const common::DataCentreName& data_centre,
    std::vector<common::ProcessName> routers) {
  const std::uint64_t seed = common::Hash64(data_centre.value);
  const auto rank = [seed](const common::ProcessName& name) {
    return std::make_pair(common::Hash64(name.value, seed), name);
  };
  std::sort(routers.begin(), routers.end(),
            [&](const auto& a, const auto& b) { return rank(a) > rank(b); });
  routers.erase(std::unique(routers.begin(), routers.end()), routers.end());
  routers.resize(std::min(routers.size(), kStoreReadersPerDataCentre));
  return routers;
}

ConfigPolling MakeConfigPolling(const ConfigPollingOptions& options,
                                common::TimePoint now) {
  ConfigPolling polling{.options = options, .next = now};
  polling.random.seed(options.seed);
  if (options.has_seeds) polling.next += options.first_read_delay;
  return polling;
}

bool BeginConfigRead(ConfigPolling& polling, const PeerDirectory& peers,
                     common::TimePoint now) {
  if (polling.in_flight || now < polling.next) return false;
  const ConfigPollingOptions& options = polling.options;
  std::uniform_real_distribution<double> spread(1 - options.jitter,
                                                1 + options.jitter);
  polling.next = now + std::chrono::duration_cast<common::Duration>(
                           options.interval * spread(polling.random));
  auto routers = LiveRouters(peers, options.data_centre, now);
  routers.push_back(options.name);
  const auto readers =
      ChooseStoreReaders(options.data_centre, std::move(routers));
  polling.in_flight =
      std::find(readers.begin(), readers.end(), options.name) != readers.end();
  return polling.in_flight;
}

void EndConfigRead(ConfigPolling& polling) { polling.in_flight = false; }

bool CheckReady(Readiness& readiness, const ConfigHolder& config,
                const PeerDirectory& peers, common::TimePoint now) {
  if (readiness.ready) return true;
  if (config.Version() == common::ConfigVersion::kNone) return false;
  const common::ConfigVersion highest = HighestVersion(peers, now);
  // A version that this process can't parse must not keep it unready for ever.
  const bool adopted =
      config.Version() >= highest || config.RejectedVersion() >= highest;
  const bool listened = now - readiness.started >= kListenTime;
  readiness.ready = readiness.store_read || (listened && adopted);
  return readiness.ready;
}

}  // namespace shallotbeam::runtime
