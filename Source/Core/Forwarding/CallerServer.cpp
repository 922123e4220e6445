#include "Forwarding/CallerServer.h"

#include <algorithm>
#include <utility>

#include "Common/Logging.h"
#include "Common/StatusText.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::forwarding {

namespace {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

constexpr common::Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
// Connections in the listen backlog take file descriptors too, and their
// callers give up after a second.
constexpr int kAcceptBacklog = 128;
// Idle timeout while more than half of the connections are taken. A caller that
// sends one request after the other does so within this time.
constexpr common::Duration kHalfFullIdleTime = std::chrono::seconds(1);

}  // namespace

CallerServer::CallerServer(net::io_context& context,
                           CallerConnection::Options options,
                           std::size_t max_connections,
                           overload::MemoryBudgetOptions memory)
    : memory_(std::make_shared<overload::MemoryBudget>(
          overload::MemoryBudget{.options = memory})),
      options_(std::move(options)),
      max_connections_(max_connections),
      acceptor_(context),
      accept_retry_timer_(context) {
  options_.memory = memory_;
  options_.make_room = [this](const CallerConnection& requester,
                              std::size_t bytes) {
    return MakeRoom(requester, bytes);
  };
}

bool CallerServer::MakeRoom(const CallerConnection& requester,
                            std::size_t bytes) {
  while (!overload::HasRoom(*memory_, bytes)) {
    std::vector<overload::PartialMessage> messages;
    messages.reserve(connections_.size());
    for (const auto& it : connections_) {
      const bool is_other = it.get() != &requester;
      messages.push_back({.bytes = is_other ? it->PartialBytes() : 0,
                          .last_progress = it->LastProgress()});
    }
    const auto victim = overload::PickVictim(messages, requester.PartialBytes(),
                                             options_.clock.Now());
    if (!victim) return false;
    connections_[*victim]->RefuseForMemory();
  }
  return true;
}

absl::Status CallerServer::Listen(const common::Endpoint& endpoint) {
  endpoint_ = endpoint;
  if (absl::Status status = Open(); !status.ok()) return status;
  endpoint_.port = acceptor_.local_endpoint().port();
  Accept();
  return absl::OkStatus();
}

absl::Status CallerServer::Open() {
  error_code ec;
  const auto address = net::ip::make_address(endpoint_.address, ec);
  const tcp::endpoint local(address, endpoint_.port);
  if (!ec) acceptor_.open(local.protocol(), ec);
  if (!ec) acceptor_.set_option(net::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(local, ec);
  if (!ec) acceptor_.listen(kAcceptBacklog, ec);
  if (!ec) return absl::OkStatus();
  error_code ignored;
  acceptor_.close(ignored);
  return absl::UnavailableError(absl::StrCat(
      "address ", common::ToString(endpoint_), ": ", ec.message()));
}

void CallerServer::SetAccepting(bool accepting) {
  if (accepting == acceptor_.is_open()) return;
  if (accepting) return Reopen();
  CloseAcceptor();
  for (const auto& it : connections_) it->CloseAfterNextResponse();
}

void CallerServer::SetPermitted(std::size_t connections) {
  permitted_ = accepted_ + connections;
  if (!acceptor_.is_open()) {
    if (connections > 0) Reopen();
    return;
  }
  // A busy event loop accepts one connection in each pass, so that the backlog
  // would overflow.
  AcceptPending(connections);
  if (accepted_ >= *permitted_) CloseAcceptor();
}

void CallerServer::CloseAcceptor() {
  AcceptPending(kAcceptBacklog);
  error_code ec;
  acceptor_.close(ec);
  accept_retry_timer_.cancel();
}

void CallerServer::Reopen() {
  accept_retry_timer_.cancel();
  const absl::Status status = Open();
  if (status.ok()) return Accept();
  // The next call of SetAccepting() tries again.
  common::Log(common::Subsystem::kTransport, common::LogLevel::kWarning,
              "event=listen_failed cause=\"{}\"", common::MessageOf(status));
}

void CallerServer::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == net::error::operation_aborted || !acceptor_.is_open()) return;
    if (!ec && HasRoom()) {
      Add(std::move(socket));
      if (permitted_ && accepted_ >= *permitted_) return CloseAcceptor();
      return Accept();
    }
    common::Log(common::Subsystem::kTransport, common::LogLevel::kWarning,
                "event=accept_failed cause=\"{}\" connections={} limit={}",
                ec.message(), connections_.size(), max_connections_);
    if (ec) {
      // Out of file descriptors. Closing the acceptor resets the connections in
      // the backlog, so that their callers retry at another host at once.
      error_code ignored;
      acceptor_.close(ignored);
    }
    // Retrying without a delay would be a busy loop.
    accept_retry_timer_.expires_after(kAcceptRetryDelay);
    accept_retry_timer_.async_wait([this](error_code cancelled) {
      if (cancelled) return;
      if (acceptor_.is_open()) return Accept();
      Reopen();
    });
  });
}

void CallerServer::AcceptPending(std::size_t most) {
  acceptor_.non_blocking(true);
  for (std::size_t i = 0; i < most; ++i) {
    tcp::socket socket(acceptor_.get_executor());
    error_code ec;
    acceptor_.accept(socket, ec);
    if (ec || !HasRoom()) return;
    Add(std::move(socket));
  }
}

void CallerServer::Add(tcp::socket socket) {
  const auto connection =
      std::make_shared<CallerConnection>(std::move(socket), options_);
  connections_.push_back(connection);
  ++accepted_;
  connection->Start();
  if (draining_ || IsHalfFull()) connection->CloseAfterNextResponse();
}

void CallerServer::Drain() {
  draining_ = true;
  for (const auto& it : connections_) it->CloseWhenIdle();
}

bool CallerServer::HasUnansweredRequests() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& it) { return it->HasUnansweredBytes(); });
}

void CallerServer::CheckTimeouts(common::TimePoint now) {
  const bool half_full = IsHalfFull();
  const bool full = !overload::HasRoom(*memory_, 0);
  for (const auto& it : connections_) {
    it->CheckTimeouts(now);
    if (full && it->IsOutputStalled(now)) it->Drop();
    if (!half_full) continue;
    it->CloseAfterNextResponse();
    it->CloseIfIdleFor(now, kHalfFullIdleTime);
  }
  RemoveClosed();
}

bool CallerServer::HasRoom() {
  if (connections_.size() >= max_connections_) RemoveClosed();
  return connections_.size() < max_connections_;
}

void CallerServer::RemoveClosed() {
  connections_.erase(
      std::remove_if(connections_.begin(), connections_.end(),
                     [](const auto& it) { return !it->IsOpen(); }),
      connections_.end());
}

}  // namespace shallotbeam::forwarding
