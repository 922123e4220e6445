#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_BASELINEPROXY_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_BASELINEPROXY_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "Common/Types.h"
#include "Config/Model.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"
#include "absl/status/statusor.h"

namespace shallotbeam::load {

enum class Policy : std::uint8_t {
  // One FIFO queue per pool; each engine has a fixed number of slots.
  kFirstComeFirstServed,
  // Forwards at once to the engine with the fewest requests in flight.
  kLeastLoaded,
  // Forwards at once to the next_engine engine in turn.
  kRoundRobin,
};

std::optional<Policy> ParsePolicy(std::string_view text);

// Simple load-balancing proxy in front of the engines, used as the baseline for
// comparisons with the fleet. Ignores workspaces and idempotency keys when it
// dispatches requests. Runs on its own thread.
class BaselineProxy {
 public:
  // `engines` is keyed by pool name. Returns kUnavailable if `endpoint` can't
  // be bound.
  static absl::StatusOr<std::unique_ptr<BaselineProxy>> Start(
      const common::Endpoint& endpoint, Policy policy,
      const config::FleetConfig& config,
      const std::map<std::string, std::vector<common::Endpoint>>& engines);
  ~BaselineProxy();

 private:
  using Exchange = std::shared_ptr<transport::HttpExchange>;

  struct Engine {
    common::Endpoint endpoint;
    int in_flight = 0;
  };

  // A request that is queued or in flight.
  struct Job {
    Exchange exchange;
    std::chrono::steady_clock::time_point arrived;
    std::string workspace;
    std::string path;
    std::string pool;
    Engine* engine = nullptr;
    std::shared_ptr<transport::HttpCall> call;
    transport::HttpResponse response;
    bool streamed = false;
    bool ended = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  struct Pool {
    int slots = 0;  // per engine
    std::vector<Engine> engines;
    std::deque<JobPtr> queue;
    std::size_t next_engine = 0;
  };

  BaselineProxy(Policy policy, const config::FleetConfig& config);

  void Handle(const Exchange& exchange);
  void SendStatus(const Exchange& exchange);
  void DispatchQueued(Pool& pool);
  Engine* PickEngine(Pool& pool) const;
  void Forward(const JobPtr& job);
  void OnEnd(const JobPtr& job, transport::CallEnd end);
  void FinishJob(const JobPtr& job);

  Policy policy_;
  config::FleetConfig config_;
  std::map<std::string, Pool> pools_;
  boost::asio::io_context context_{1};
  transport::HttpClient client_{context_};
  std::shared_ptr<transport::HttpServer> server_;
  std::thread thread_;
};

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_BASELINEPROXY_H_
