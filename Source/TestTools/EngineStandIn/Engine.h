#ifndef SHALLOTBEAM_TESTTOOLS_ENGINESTANDIN_ENGINE_H_
#define SHALLOTBEAM_TESTTOOLS_ENGINESTANDIN_ENGINE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "EngineStandIn/Model.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::engine_stand_in {

using Exchange = std::shared_ptr<transport::HttpExchange>;

// Injected faults, set by POST /faults.
struct Faults {
  double slow = 1;        // factor on all durations
  double error_rate = 0;  // share of requests that fail with 500 at once
  bool hang = false;      // accepts requests but never responds
  bool refuse = false;    // responds 429
};

struct EngineOptions {
  ModelOptions model;
  // Age of the load that GET /load reports.
  std::chrono::milliseconds load_lag{500};
  // A request whose prompt or body contains this text crashes the process.
  std::string crash_marker = "CRASH-ENGINE";
  std::uint64_t seed = 1;
  // File that preserves the list of runs with idempotency keys across restarts;
  // empty: not preserved.
  std::string runs_file;
};

// Simulates a model engine (POST /v1/completions, streamed or not) and a plain
// service (POST /v1/call). GET /counts, /load and /health report its state. GET
// /runs lists the idempotency key, tag and start time (steady clock) of each
// run of a request with a key. Not thread-safe.
class Engine {
 public:
  Engine(boost::asio::io_context& context, EngineOptions options);

  void Handle(const Exchange& exchange);

 private:
  using Clock = std::chrono::steady_clock;

  // A request, from its arrival until it is completed or cancelled.
  struct Job {
    Exchange exchange;
    std::string workspace;
    // Echoed in the response, so that a caller can verify that the response is
    // for its request.
    std::string tag;
    bool plain = false;
    bool stream = false;
    bool crash = false;
    bool running = false;
    bool ended = false;
    // Identifies the run; sent with each token if the request sets "name_run".
    std::string run;
    int tokens = 0;  // total number of tokens to generate
    int sent = 0;    // tokens generated so far, including those resumed from
    int resumed_from = 0;  // tokens that the caller already has
    std::size_t prompt_tokens = 0;
    std::size_t cached_tokens = 0;
    boost::asio::steady_timer timer;
  };
  using JobPtr = std::shared_ptr<Job>;

  struct LoadSample {
    Clock::time_point taken;
    int running = 0;
    std::size_t queued = 0;
  };

  bool ApplyFault(const Exchange& exchange);
  void SetFaults(const Exchange& exchange);
  void HandleCompletion(const Exchange& exchange);
  void HandleCall(const Exchange& exchange);
  void Admit(const JobPtr& job);
  void StartRun(const JobPtr& job);
  void GenerateToken(const JobPtr& job);
  void FinishGeneration(const JobPtr& job);
  void FinishJob(const JobPtr& job);
  void ScheduleStep(const JobPtr& job, Milliseconds duration,
                    void (Engine::*next_step)(const JobPtr&));
  void FinishCall(const JobPtr& job);
  void UpdateBusyTime();
  void SampleLoad();
  void SendCounts(const Exchange& exchange);
  void SendLoad(const Exchange& exchange);

  boost::asio::io_context& context_;
  EngineOptions options_;
  Faults faults_;
  PrefixCache cache_;
  std::mt19937_64 random_;
  boost::asio::steady_timer load_timer_;
  std::deque<LoadSample> load_samples_;
  std::deque<JobPtr> queue_;
  std::vector<Exchange> held_;  // requests without a response, for `hang`
  int running_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t errors_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t cached_tokens_ = 0;
  double running_ms_ = 0;  // number of running requests, integrated over time
  double batch_ms_ = 0;    // the same, capped at `batch` requests
  Clock::time_point busy_time_updated_ = Clock::now();
  // Service by workspace in cost units: prompt tokens / 8 + generated tokens
  // for a completion, 1 for a plain call.
  std::map<std::string, double> service_;
  std::map<std::string, int> runs_by_key_;
  nlohmann::json runs_ = nlohmann::json::array();  // with idempotency keys
  std::ofstream runs_file_;
};

}  // namespace shallotbeam::engine_stand_in

#endif  // SHALLOTBEAM_TESTTOOLS_ENGINESTANDIN_ENGINE_H_
