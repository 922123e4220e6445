#ifndef SHALLOTBEAM_CORE_FORWARDING_CALLERSERVER_H_
#define SHALLOTBEAM_CORE_FORWARDING_CALLERSERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "Common/Types.h"
#include "Forwarding/CallerConnection.h"
#include "absl/status/status.h"

namespace shallotbeam::forwarding {

// Accepts the connections of callers. Used on the thread of the context.
class CallerServer {
 public:
  CallerServer(boost::asio::io_context& context,
               CallerConnection::Options options, std::size_t max_connections,
               overload::MemoryBudgetOptions memory = {});

  // Returns kUnavailable if the address can't be bound.
  absl::Status Listen(const common::Endpoint& endpoint);

  // Closes idle connections, and the others after their current response.
  // Later connections are accepted and serve one request each.
  void Drain();

  // While not accepting, new connections are refused by the kernel, and open
  // ones end after their current response.
  void SetAccepting(bool accepting);

  // Accepts this many connections until the next call. Then, and at 0, new
  // connections are refused as above, but open ones stay.
  void SetPermitted(std::size_t connections);
  // Number of connections accepted since the start.
  std::uint64_t Accepted() const { return accepted_; }

  // Whether any caller has sent a part of a request, read or not, that is not
  // answered completely.
  bool HasUnansweredRequests() const;

  // Applies timeouts, and closes idle connections early if more than half of
  // the allowed connections are open; called a few times a second.
  void CheckTimeouts(common::TimePoint now);

  std::size_t Connections() const { return connections_.size(); }
  // Whether more than half of the allowed connections are open; each connection
  // is then closed after its response. Otherwise callers that reconnect after
  // each rejection would leave idle connections behind until the process has no
  // file descriptors left.
  bool IsHalfFull() const { return connections_.size() * 2 > max_connections_; }
  std::uint16_t Port() const { return endpoint_.port; }
  // Counts all that is held for callers.
  const std::shared_ptr<overload::MemoryBudget>& Memory() const {
    return memory_;
  }

 private:
  absl::Status Open();
  // Listens again after the acceptor was closed.
  void Reopen();
  void Accept();
  // Accepts at most this many connections in the listen backlog. Closing the
  // acceptor would reset them although their requests may have arrived.
  void AcceptPending(std::size_t most);
  // Stops listening; open connections stay.
  void CloseAcceptor();
  void Add(boost::asio::ip::tcp::socket socket);
  // Refuses requests that are being received until `bytes` more fit into the
  // memory budget, if any of them holds much more than `requester` or stalls.
  // Returns whether they fit.
  bool MakeRoom(const CallerConnection& requester, std::size_t bytes);
  // Whether another connection is allowed.
  bool HasRoom();
  void RemoveClosed();

  std::shared_ptr<overload::MemoryBudget> memory_;
  CallerConnection::Options options_;
  std::size_t max_connections_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  std::vector<std::shared_ptr<CallerConnection>> connections_;
  common::Endpoint endpoint_;
  bool draining_ = false;
  std::uint64_t accepted_ = 0;
  // Value of `accepted_` at which to stop listening, if any.
  std::optional<std::uint64_t> permitted_;
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_CALLERSERVER_H_
