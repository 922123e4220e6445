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

// Callers of a fleet of real processes, and the responses they received.
namespace shallotbeam::process_scenarios {

using Clock = std::chrono::steady_clock;

enum class Outcome : std::uint8_t {
  kOpen,
  kCompleted,
  kTruncated,   // a stream that ended with an error event and no last chunk
  kBroken,      // the connection broke without a response or an error event
  kNotRun,      // refused with verdict "not-run"
  kMayHaveRun,  // refused with verdict "may-have-run", or another error status
};

std::string ToString(Outcome outcome);

struct CallOptions {
  std::string router;  // "r1"
  std::string workspace = "a";
  std::string kind = "chat";
  std::string key;
  bool ticket = false;  // obtains a ticket and uses it as key, if it has no key
  bool stream = false;
  bool crashes = false;
  int tokens = 10;
  std::chrono::milliseconds deadline{15'000};
};

// One send of a request. Its tag is its index in the list of calls. Responses
// and the engines' records contain the tag, to identify the send they belong
// to. The tag is part of the body. All sends with one key need the same body,
// so a send with a key has its tag in the Content-Type header instead.
struct Call {
  CallOptions options;
  std::string body;
  Clock::time_point sent;
  Clock::time_point ended;
  // The router was frozen, so it may have read the request after later ones.
  bool possibly_unread = false;
  Outcome outcome = Outcome::kOpen;
  int status = 0;
  std::string reason;
  std::string response;
  std::shared_ptr<transport::HttpCall> http;
};

class Callers {
 public:
  using RouterLookup =
      std::function<common::Endpoint(const std::string& router)>;

  explicit Callers(RouterLookup router_lookup)
      : router_lookup_(std::move(router_lookup)) {}

  // Returns the index of the call.
  std::size_t Send(CallOptions options);
  // Sends the body of call `first` again, as another caller would. The request
  // therefore has the same fingerprint.
  std::size_t SendAgain(std::size_t first, const std::string& router);

  void RunFor(std::chrono::milliseconds period);

  const std::deque<Call>& Calls() const { return calls_; }
  std::deque<Call>& Calls() { return calls_; }

 private:
  void FetchTicket(std::size_t index);
  void Start(std::size_t index);
  void End(Call& call, transport::CallEnd end, const std::string& verdict);

  RouterLookup router_lookup_;
  boost::asio::io_context context_;
  transport::HttpClient client_{context_};
  // A deque, since calls in flight refer to their entries while it grows.
  std::deque<Call> calls_;
};

}  // namespace shallotbeam::process_scenarios

#endif  // SHALLOTBEAM_TESTTOOLS_PROCESSSCENARIOS_CALLERS_H_
