#ifndef SHALLOTBEAM_UNITTESTS_CORE_FORWARDING_ENDLESSSENDER_H_
#define SHALLOTBEAM_UNITTESTS_CORE_FORWARDING_ENDLESSSENDER_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>

#include "ResidentMemory.h"

namespace shallotbeam::forwarding {

inline constexpr std::size_t kMebibyte = 1'048'576;
// An entry host has 96 MB, so that one connection may not take more than a few.
inline constexpr std::size_t kMemoryBound = 8 * kMebibyte;
inline constexpr std::size_t kSentBound = 64 * kMebibyte;

inline const std::string kFiller(16'384, 'a');

// Bytes of a peer that sends without end.
struct EndlessCase {
  const char* name;
  std::string start;
  std::string repeated;
};

inline std::ostream& operator<<(std::ostream& out, const EndlessCase& it) {
  return out << it.name;
}

struct EndlessResult {
  std::size_t sent = 0;
  std::size_t growth = 0;  // highest growth of resident memory
};

// Sends `bytes` again and again on a non-blocking socket until `ended` holds,
// the peer closes the connection, or `kSentBound` bytes were sent.
inline EndlessResult SendEndlessly(boost::asio::io_context& context,
                                   boost::asio::ip::tcp::socket& socket,
                                   const std::string& bytes,
                                   const std::function<bool()>& ended) {
  const std::size_t before = ResidentBytes();
  std::size_t highest = before;
  EndlessResult result;
  std::size_t offset = 0;
  while (!ended() && result.sent < kSentBound) {
    boost::system::error_code ec;
    const std::size_t n = socket.write_some(
        boost::asio::buffer(bytes.data() + offset, bytes.size() - offset), ec);
    if (ec && ec != boost::asio::error::would_block) break;
    result.sent += n;
    offset = (offset + n) % bytes.size();
    context.poll();
    context.restart();
    highest = std::max(highest, ResidentBytes());
  }
  result.growth = highest - before;
  return result;
}

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_UNITTESTS_CORE_FORWARDING_ENDLESSSENDER_H_
