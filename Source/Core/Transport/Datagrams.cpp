#include "Transport/Datagrams.h"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "Common/HandlerGuard.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::transport {

namespace {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::udp;

}  // namespace

DatagramSender::DatagramSender(net::io_context& context)
    : socket_(context, udp::v4()) {
  error_code ec;
  socket_.non_blocking(true, ec);
}

void DatagramSender::Send(const common::Endpoint& peer,
                          std::string_view bytes) {
  auto it = resolved_.find(peer);
  if (it == resolved_.end()) {
    error_code ec;
    const auto address = net::ip::make_address(peer.address, ec);
    if (ec) {
      ++count_.messages_dropped;
      return;
    }
    it = resolved_.emplace(peer, udp::endpoint(address, peer.port)).first;
  }
  error_code ec;
  socket_.send_to(net::buffer(bytes.data(), bytes.size()), it->second, 0, ec);
  if (ec) {
    ++count_.messages_dropped;
    return;
  }
  ++count_.messages_sent;
  count_.bytes_sent += bytes.size();
}

absl::StatusOr<std::unique_ptr<DatagramReceiver>> DatagramReceiver::Open(
    net::io_context& context, const common::Endpoint& endpoint,
    Receiver receiver) {
  error_code ec;
  const auto address = net::ip::make_address(endpoint.address, ec);
  udp::socket socket(context);
  const udp::endpoint local(address, endpoint.port);
  if (!ec) socket.open(local.protocol(), ec);
  if (!ec) socket.bind(local, ec);
  if (ec) {
    return absl::UnavailableError(absl::StrCat(
        "control address ", common::ToString(endpoint), ": ", ec.message()));
  }
  std::unique_ptr<DatagramReceiver> inbox(
      new DatagramReceiver(std::move(socket), std::move(receiver)));
  inbox->Receive();
  return inbox;
}

DatagramReceiver::DatagramReceiver(udp::socket socket, Receiver receiver)
    : socket_(std::move(socket)),
      receiver_(std::move(receiver)),
      buffer_(std::make_unique<std::array<char, kMaxDatagram>>()) {}

void DatagramReceiver::Receive() {
  socket_.async_receive(net::buffer(*buffer_), [this](error_code ec,
                                                      std::size_t n) {
    if (ec == net::error::operation_aborted) return;
    // Other errors report that a peer is unreachable.
    if (!ec) {
      common::RunGuarded("datagram", [&] { receiver_({buffer_->data(), n}); });
    }
    Receive();
  });
}

}  // namespace shallotbeam::transport
