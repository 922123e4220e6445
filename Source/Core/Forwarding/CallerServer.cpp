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
// Connections that wait to be accepted take descriptors too, and their callers
// give up after a second.
constexpr int kAcceptBacklog = 128;
// A caller that sends one request after the other does so within this time.
constexpr common::Duration kCrowdedIdleTime = std::chrono::seconds(1);

}  // namespace

CallerServer::CallerServer(net::io_context& context,
                           CallerConnection::Options options,
                           std::size_t max_connections)
    : options_(options),
      max_connections_(max_connections),
      acceptor_(context),
      retry_(context) {}

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
  AcceptPending();
  error_code ec;
  acceptor_.close(ec);
  retry_.cancel();
  for (const auto& it : connections_) it->CloseAfterNext();
}

void CallerServer::Reopen() {
  retry_.cancel();
  const absl::Status status = Open();
  if (status.ok()) return Accept();
  // Tried again by the next call of SetAccepting().
  common::Log(common::Subsystem::kTransport, common::LogLevel::kWarning,
              "event=listen_failed cause=\"{}\"", common::MessageOf(status));
}

void CallerServer::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == net::error::operation_aborted || !acceptor_.is_open()) return;
    if (!ec && connections_.size() < max_connections_) {
      Add(std::move(socket));
      return Accept();
    }
    common::Log(common::Subsystem::kTransport, common::LogLevel::kWarning,
                "event=accept_failed cause=\"{}\" connections={} limit={}",
                ec.message(), connections_.size(), max_connections_);
    if (ec) {
      // Out of file descriptors. Callers that wait to be accepted are told at
      // once, so that they go elsewhere.
      error_code ignored;
      acceptor_.close(ignored);
    }
    // Trying again at once would spin.
    retry_.expires_after(kAcceptRetryDelay);
    retry_.async_wait([this](error_code cancelled) {
      if (cancelled) return;
      if (acceptor_.is_open()) return Accept();
      Reopen();
    });
  });
}

void CallerServer::AcceptPending() {
  acceptor_.non_blocking(true);
  for (int i = 0; i < kAcceptBacklog; ++i) {
    tcp::socket socket(acceptor_.get_executor());
    error_code ec;
    acceptor_.accept(socket, ec);
    if (ec || connections_.size() >= max_connections_) return;
    Add(std::move(socket));
  }
}

void CallerServer::Add(tcp::socket socket) {
  const auto connection =
      std::make_shared<CallerConnection>(std::move(socket), options_);
  connections_.push_back(connection);
  connection->Start();
  if (draining_ || IsCrowded()) connection->CloseAfterNext();
}

void CallerServer::Drain() {
  draining_ = true;
  for (const auto& it : connections_) it->CloseWhenIdle();
}

void CallerServer::CheckTimeouts(common::TimePoint now) {
  const bool crowded = IsCrowded();
  for (const auto& it : connections_) {
    it->CheckTimeouts(now);
    if (!crowded) continue;
    it->CloseAfterNext();
    it->CloseIfIdleFor(now, kCrowdedIdleTime);
  }
  connections_.erase(
      std::remove_if(connections_.begin(), connections_.end(),
                     [](const auto& it) { return !it->IsOpen(); }),
      connections_.end());
}

}  // namespace shallotbeam::forwarding
