#ifndef SHALLOTBEAM_CORE_TRANSPORT_DATAGRAMS_H_
#define SHALLOTBEAM_CORE_TRANSPORT_DATAGRAMS_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "Common/Types.h"
#include "Transport/Mailbox.h"
#include "absl/status/statusor.h"

// Control messages as UDP datagrams, for messages that are sent periodically or
// whose loss is handled by a timeout. docs/platform.md, "Messages", compares
// them with nng.
namespace shallotbeam::transport {

// Sends datagrams. Not thread-safe.
class DatagramSender {
 public:
  explicit DatagramSender(boost::asio::io_context& context);

  // Never blocks. Drops the message if the socket can't send it immediately.
  void Send(const common::Endpoint& peer, std::string_view bytes);

  const TrafficCount& Count() const { return count_; }

 private:
  boost::asio::ip::udp::socket socket_;
  std::map<common::Endpoint, boost::asio::ip::udp::endpoint> resolved_;
  TrafficCount count_;
};

// Receives datagrams on a thread that runs the context.
class DatagramReceiver {
 public:
  // The view is valid only during the call.
  using Receiver = std::function<void(std::string_view)>;

  // Returns kUnavailable if the address can't be bound.
  static absl::StatusOr<std::unique_ptr<DatagramReceiver>> Open(
      boost::asio::io_context& context, const common::Endpoint& endpoint,
      Receiver receiver);

 private:
  DatagramReceiver(boost::asio::ip::udp::socket socket, Receiver receiver);
  void Receive();

  static constexpr std::size_t kMaxDatagram = 65'536;

  boost::asio::ip::udp::socket socket_;
  Receiver receiver_;
  std::unique_ptr<std::array<char, kMaxDatagram>> buffer_;
};

}  // namespace shallotbeam::transport

#endif  // SHALLOTBEAM_CORE_TRANSPORT_DATAGRAMS_H_
