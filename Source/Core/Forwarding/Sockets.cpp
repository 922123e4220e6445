#include "Forwarding/Sockets.h"

namespace shallotbeam::forwarding {

bool WasReset(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ec;
  boost::asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR> pending;
  socket.get_option(pending, ec);
  return ec || pending.value() != 0;
}

}  // namespace shallotbeam::forwarding
