#ifndef SHALLOTBEAM_CORE_FORWARDING_SOCKETS_H_
#define SHALLOTBEAM_CORE_FORWARDING_SOCKETS_H_

#include <boost/asio/ip/tcp.hpp>

namespace shallotbeam::forwarding {

// Whether the peer has reset the connection, also if it has ended its side of
// the stream before: reading then shows only the end. Clears the error.
bool WasReset(boost::asio::ip::tcp::socket& socket);

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_SOCKETS_H_
