#ifndef SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_CALLERS_H_
#define SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_CALLERS_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "Common/Types.h"
#include "Transport/HttpClient.h"

// Callers of a real fleet and what they received.
namespace shallotbeam::process_scenarios {

using Clock = std::chrono::steady_clock;

enum class Outcome : std::uint8_t {
  kOpen,
  kCompleted,
  kTruncated,  // a stream without its last chunk, after an error event
  kBroken,     // the connection broke without any of that
  kNotRun,     // refusals
  kMayHaveRun,
};

std::string ToString(Outcome outcome);

struct CallOptions {
  std::string router;  // "r1"
  std::string workspace = "a";
  std::string kind = "chat";
  std::string key;
  bool ticket = false;  // gets a ticket as its key, unless it has a key
  bool stream = false;
  bool crashes = false;
  int tokens = 10;
  std::chrono::milliseconds deadline{15'000};
};

// One send. Its tag, the position in the list of calls, is part of its body, or
// with a key of its content type, so that responses and the engines' records
// name the send they belong to.
struct Call {
  CallOptions options;
  std::string body;
  Clock::time_point sent;
  Clock::time_point ended;
  // The router was frozen, so that it may read the request after later ones.
  bool unread = false;
  Outcome outcome = Outcome::kOpen;
  int status = 0;
  std::string reason;
  std::string response;
  std::shared_ptr<transport::HttpCall> http;
};

class Callers {
 public:
  using Find = std::function<common::Endpoint(const std::string& router)>;

  explicit Callers(Find find) : find_(std::move(find)) {}

  // Returns the index of the call.
  std::size_t Send(CallOptions options);
  // As another caller who sends the same body: with the fingerprint of `first`.
  std::size_t SendAgain(std::size_t first, const std::string& router);

  void RunFor(std::chrono::milliseconds period);

  const std::deque<Call>& Calls() const { return calls_; }
  std::deque<Call>& Calls() { return calls_; }

 private:
  void FetchTicket(std::size_t index);
  void Start(std::size_t index);
  void End(Call& call, transport::CallEnd end, const std::string& verdict);

  Find find_;
  boost::asio::io_context context_;
  transport::HttpClient client_{context_};
  std::deque<Call> calls_;  // grows while calls refer to their entries
};

}  // namespace shallotbeam::process_scenarios

#endif  // SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_CALLERS_H_
