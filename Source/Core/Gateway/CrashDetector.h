#ifndef SHALLOTBEAM_CORE_GATEWAY_CRASHDETECTOR_H_
#define SHALLOTBEAM_CORE_GATEWAY_CRASHDETECTOR_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Suspects/CrashEvidence.h"

namespace shallotbeam::gateway {

struct DetectedCrash {
  protocol::CrashId id{};
  common::TimePoint time;
  std::vector<suspects::CrashedRequest> requests;
};

// Tells crashes of upstreams from other broken connections: an upstream that
// has crashed refuses connections, or comes back as another incarnation. Used
// by one thread.
class CrashDetector {
 public:
  using CrashHandler = std::function<void(const DetectedCrash&)>;

  CrashDetector(boost::asio::io_context& context, const common::Clock& clock,
                CrashHandler on_crash);

  // The connection of a request without a response has broken. Tries to connect
  // to the upstream, unless a trial is in progress.
  void OnBroken(const common::UpstreamName& upstream,
                const common::Endpoint& endpoint, std::uint64_t started,
                suspects::CrashedRequest request);
  // The incarnation has ended.
  void OnEnded(const common::UpstreamName& upstream);
  // Forgets broken connections that no crash has explained.
  void OnTick();

 private:
  struct Broken {
    std::uint64_t started = 0;
    common::TimePoint since;
    std::vector<suspects::CrashedRequest> requests;
    bool trying = false;
  };

  // Returns whether a trial has begun.
  bool TryConnecting(const common::UpstreamName& upstream,
                     const common::Endpoint& endpoint, std::uint64_t started);

  boost::asio::io_context& context_;
  const common::Clock& clock_;
  CrashHandler on_crash_;
  std::unordered_map<common::UpstreamName, Broken> broken_;
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_CRASHDETECTOR_H_
