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

// Switched by POST /faults.
struct Faults {
  double slow = 1;        // factor on all times
  double error_rate = 0;  // share of requests answered with 500 at once
  bool hang = false;      // accepts requests and never answers
  bool refuse = false;    // answers 429
};

struct EngineOptions {
  ModelOptions model;
  std::chrono::milliseconds load_lag{500};  // age of what GET /load reports
  // A request whose body contains it ends the process.
  std::string crash_mark = "CRASH-ENGINE";
  std::uint64_t seed = 1;
  // Keeps the record of runs with keys over restarts; empty for none.
  std::string runs_file;
};

// Stand-in for a model engine (POST /v1/completions, streamed or whole) and for
// a plain service (POST /v1/call). GET /counts, /load and /health report on it;
// GET /runs lists key, tag and begin (steady clock) of each run with a key.
// Used by one thread.
class Engine {
 public:
  Engine(boost::asio::io_context& context, EngineOptions options);

  void Handle(const Exchange& exchange);

 private:
  using Clock = std::chrono::steady_clock;

  // A request from its arrival to its end.
  struct Job {
    Exchange exchange;
    std::string workspace;
    std::string tag;  // echoed, so that a caller recognises its response
    bool plain = false;
    bool stream = false;
    bool crash = false;
    bool running = false;
    bool ended = false;
    std::string run;  // sent with each token if the request asks "name_run"
    int tokens = 0;   // to generate in all
    int sent = 0;     // tokens generated or resumed from
    int resumed_from = 0;
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

  bool ServeFault(const Exchange& exchange);
  void SetFaults(const Exchange& exchange);
  void Complete(const Exchange& exchange);
  void Call(const Exchange& exchange);
  void Admit(const JobPtr& job);
  void Begin(const JobPtr& job);
  void NextToken(const JobPtr& job);
  void FinishGeneration(const JobPtr& job);
  void End(const JobPtr& job);
  void After(const JobPtr& job, Milliseconds time,
             void (Engine::*then)(const JobPtr&));
  void FinishCall(const JobPtr& job);
  void CountBusyTime();
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
  std::vector<Exchange> held_;
  int running_ = 0;
  std::uint64_t begun_ = 0;
  std::uint64_t errors_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t cached_tokens_ = 0;
  double running_ms_ = 0;  // integral of running requests over time
  double batch_ms_ = 0;    // the same, with at most `batch` requests
  Clock::time_point busy_counted_ = Clock::now();
  // Cost units: prompt tokens / 8 + generated tokens, or one for a call.
  std::map<std::string, double> service_;
  std::map<std::string, int> runs_by_key_;
  nlohmann::json runs_ = nlohmann::json::array();  // of requests with keys
  std::ofstream runs_file_;
};

}  // namespace shallotbeam::engine_stand_in

#endif  // SHALLOTBEAM_TESTTOOLS_ENGINESTANDIN_ENGINE_H_
