#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_SAMPLER_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_SAMPLER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Load/Generator.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::load {

// Counters that one engine reported.
struct EngineSample {
  Clock::time_point taken;
  double running_ms = 0;
  double batch_ms = 0;
  int batch = 0;
  int slots = 0;                          // slot limit of its agent
  std::map<std::string, double> service;  // by workspace
};

// Requests of one workspace that are waiting at the routers.
struct WaitingRequests {
  int requests = 0;
  std::chrono::milliseconds oldest{0};  // wait of the oldest request
};

// Approximate snapshot of the fleet; the processes are queried concurrently.
struct Sample {
  Clock::time_point taken;
  std::string phase;
  // By pool and workspace, over all routers.
  std::map<std::string, std::map<std::string, WaitingRequests>> waiting;
  std::map<std::string, EngineSample> engines;  // by name
  std::map<std::string, int> slots;             // by pool and agent name
};

// The endpoints to query.
struct SampleTarget {
  std::vector<common::Endpoint> queues;  // /status of routers or proxies
  struct EngineTarget {
    std::string name;
    std::string pool;
    common::Endpoint engine;
    common::Endpoint agent_admin;  // port 0: none, `fixed_slots` applies
    int fixed_slots = 0;
  };
  std::vector<EngineTarget> engines;
};

// Queries the state of all processes periodically. Not thread-safe.
class Sampler {
 public:
  static constexpr std::chrono::milliseconds kInterval{200};

  Sampler(boost::asio::io_context& context, SampleTarget target);

  void Start();
  void Stop();
  void SetPhase(std::string phase) { phase_ = std::move(phase); }

  const SampleTarget& Target() const { return target_; }
  const std::vector<Sample>& Samples() const { return samples_; }

 private:
  struct Round {
    Sample sample;
    int pending = 0;  // calls without a response yet
    bool failed = false;
  };

  void StartRound();
  void FetchJson(const std::shared_ptr<Round>& round,
                 const common::Endpoint& endpoint, const std::string& target,
                 std::function<void(const nlohmann::json&)> on_response);
  void SampleEngine(const std::shared_ptr<Round>& round,
                    const SampleTarget::EngineTarget& target);

  transport::HttpClient client_;
  SampleTarget target_;
  boost::asio::steady_timer timer_;
  std::string phase_;
  std::vector<Sample> samples_;
  bool stopped_ = false;
};

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_SAMPLER_H_
