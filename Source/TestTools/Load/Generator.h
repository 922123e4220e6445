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

// Outcomes of the requests of one phase, workspace and kind. A request counts
// for the phase in which it was first sent.
struct KindResult {
  std::uint64_t offered = 0;
  std::uint64_t completed = 0;
  std::uint64_t in_phase = 0;    // completed before the phase ended
  double in_phase_cost = 0;      // cost units of the in_phase requests
  std::uint64_t gave_up = 0;     // refused and not retried any more
  std::uint64_t broken = 0;      // connection lost or response truncated
  std::uint64_t wrong = 0;       // complete, but not a valid response to it
  std::uint64_t unfinished = 0;  // in flight when the run ended
  std::uint64_t retries = 0;
  // Count of all refusals, including retried ones, by "reason verdict".
  std::map<std::string, std::uint64_t> refusals;
  // Latencies of completed requests, measured from the first attempt.
  std::vector<double> latencies_ms;
  std::vector<double> first_byte_ms;
};

struct ResultKey {
  std::string phase;
  std::string workspace;
  std::string kind;

  friend auto operator<=>(const ResultKey&, const ResultKey&) = default;
};

// Responses that callers received for the idempotency key of one order. "Order"
// is the term in results and reports for a request with an idempotency key.
struct OrderOutcomes {
  int completed = 0;
  int not_run = 0;
  int unknown = 0;  // may have run, or no response
};

// Generates open-loop load with Poisson arrivals. Not thread-safe.
class Generator {
 public:
  Generator(boost::asio::io_context& context, std::uint64_t seed,
            std::vector<common::Endpoint> entry_points);

  void StartPhase(const Phase& phase);
  void StopPhase();
  // Cancels the requests that are still in flight and counts them as
  // unfinished.
  void CancelInFlight();

  std::size_t InFlight() const { return in_flight_.size(); }
  // Number of outstanding requests by workspace.
  std::map<std::string, int> Outstanding() const { return outstanding_; }
  const std::map<ResultKey, KindResult>& Results() const { return results_; }
  const std::map<std::string, OrderOutcomes>& Orders() const { return orders_; }

 private:
  // Arrival process for one workspace of a LoadSpec.
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

  // A caller's request, across all attempts.
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
    // State of the current attempt.
    int status = 0;
    std::string verdict;
    std::string reason;
    std::chrono::milliseconds retry_after{0};
    std::string tail;  // the last bytes of the response
  };
  using RequestPtr = std::shared_ptr<Request>;

  void ScheduleNext(const SourcePtr& source);
  void SendNewRequest(const SourcePtr& source);
  RequestPtr MakeRequest(const SourcePtr& source);
  void Send(const RequestPtr& request);
  void OnHead(Request& request, const transport::ResponseHead& head);
  void OnBody(const RequestPtr& request, const std::string& piece,
              const std::function<void()>& resume);
  void OnEnd(const RequestPtr& request, transport::CallEnd end);
  void RecordOrderOutcome(const Request& request, bool completed);
  bool Retry(const RequestPtr& request);
  void RemoveInFlight(const RequestPtr& request);
  KindResult& ResultOf(const Request& request);

  boost::asio::io_context& context_;
  transport::HttpClient client_;
  std::uint64_t seed_;
  std::vector<common::Endpoint> entry_points_;
  std::uint64_t sources_made_ = 0;
  std::vector<SourcePtr> sources_;
  std::set<RequestPtr> in_flight_;
  std::map<std::string, int> outstanding_;
  std::map<ResultKey, KindResult> results_;
  std::map<std::string, OrderOutcomes> orders_;
  bool cancelled_ = false;
};

// Returns the factor on the mean arrival rate when `share` (0 to 1) of the
// phase has elapsed.
double ShapeFactor(Shape shape, double elapsed_seconds, double share);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_GENERATOR_H_
