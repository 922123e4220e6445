#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_GENERATOR_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_GENERATOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "Common/Types.h"
#include "Load/Experiment.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::load {

using Clock = std::chrono::steady_clock;

// What became of the requests of one phase, workspace and kind. Requests count
// for the phase in which they were sent first.
struct KindResult {
  std::uint64_t offered = 0;
  std::uint64_t completed = 0;
  std::uint64_t in_phase = 0;  // completed before the phase ended
  double completed_cost = 0;   // in_phase, in cost units
  std::uint64_t gave_up = 0;   // refused without a retry left
  std::uint64_t broken = 0;    // connection lost or response truncated
  std::uint64_t wrong = 0;     // complete, but not the response to this request
  std::uint64_t unfinished = 0;  // in flight when the run ended
  std::uint64_t retries = 0;
  // All refusals, also those retried, by "reason verdict".
  std::map<std::string, std::uint64_t> refusals;
  std::vector<double> latencies_ms;  // of completed ones, from the first send
  std::vector<double> first_byte_ms;
};

struct ResultKey {
  std::string phase;
  std::string workspace;
  std::string kind;

  friend auto operator<=>(const ResultKey&, const ResultKey&) = default;
};

// What callers were told about the key of an order.
struct OrderRecord {
  int completed = 0;
  int not_run = 0;
  int unknown = 0;  // may have run, or no answer
};

// Sends open-loop Poisson load. Used by one thread.
class Generator {
 public:
  Generator(boost::asio::io_context& context, std::uint64_t seed,
            std::vector<common::Endpoint> entries);

  void StartPhase(const Phase& phase);
  void StopPhase();
  // Counts requests still in flight as unfinished and cancels them.
  void Abandon();

  std::size_t InFlight() const { return in_flight_.size(); }
  // Workspaces that have requests outstanding.
  std::map<std::string, int> Outstanding() const { return outstanding_; }
  const std::map<ResultKey, KindResult>& Results() const { return results_; }
  const std::map<std::string, OrderRecord>& Orders() const { return orders_; }

 private:
  // One workspace's requests of a LoadSpec.
  struct Source {
    LoadSpec spec;
    std::string workspace;
    std::string phase;
    std::vector<double> entry;
    Clock::time_point started;
    std::chrono::milliseconds length{};
    std::mt19937_64 random;
    boost::asio::steady_timer timer;
    std::uint64_t sent = 0;
    bool stopped = false;
    Clock::time_point ended;
  };
  using SourcePtr = std::shared_ptr<Source>;

  // A request of a caller over all its attempts.
  struct Request {
    SourcePtr source;
    std::string tag;
    std::string body;
    double cost = 0;
    Clock::time_point sent;
    Clock::time_point first_byte;
    std::size_t entry = 0;
    int retries_left = 0;
    bool is_resend = false;
    std::shared_ptr<transport::HttpCall> call;
    boost::asio::steady_timer timer;
    // Of the current attempt.
    int status = 0;
    std::string verdict;
    std::string reason;
    std::chrono::milliseconds retry_after{0};
    std::string tail;  // the last bytes of the response
  };
  using RequestPtr = std::shared_ptr<Request>;

  void ScheduleNext(const SourcePtr& source);
  void Arrive(const SourcePtr& source);
  RequestPtr MakeRequest(const SourcePtr& source);
  void Send(const RequestPtr& request);
  void OnHead(Request& request, const transport::ResponseHead& head);
  void OnBody(const RequestPtr& request, const std::string& piece,
              const std::function<void()>& resume);
  void OnEnd(const RequestPtr& request, transport::CallEnd end);
  void RecordOrder(const Request& request, bool completed);
  bool Retry(const RequestPtr& request);
  void Forget(const RequestPtr& request);
  KindResult& ResultOf(const Request& request);

  boost::asio::io_context& context_;
  transport::HttpClient client_;
  std::uint64_t seed_;
  std::vector<common::Endpoint> entries_;
  std::uint64_t sources_made_ = 0;
  std::vector<SourcePtr> sources_;
  std::set<RequestPtr> in_flight_;
  std::map<std::string, int> outstanding_;
  std::map<ResultKey, KindResult> results_;
  std::map<std::string, OrderRecord> orders_;
  bool abandoned_ = false;
};

// Factor on the rate of a load at a share (0 to 1) of the phase.
double ShapeFactor(Shape shape, double elapsed_seconds, double share);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_GENERATOR_H_
