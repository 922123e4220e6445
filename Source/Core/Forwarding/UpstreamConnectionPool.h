#ifndef SHALLOTBEAM_CORE_FORWARDING_UPSTREAMCONNECTIONPOOL_H_
#define SHALLOTBEAM_CORE_FORWARDING_UPSTREAMCONNECTIONPOOL_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Common/Types.h"
#include "Forwarding/UpstreamConnection.h"

namespace shallotbeam::forwarding {

// Pool of idle connections to upstreams. A connection belongs to one
// incarnation of an upstream, because the address may later belong to another
// one. Not thread-safe.
class UpstreamConnectionPool {
 public:
  UpstreamConnectionPool(boost::asio::io_context& context,
                         const common::Clock& clock,
                         const HeaderCodec& header_codec);

  // Returns an idle connection or, if there is none, a new one that is not
  // connected yet.
  std::shared_ptr<UpstreamConnection> Acquire(const common::UpstreamName& name);

  // Returns a connection to the pool after its exchange.
  void Release(const common::UpstreamName& name,
               std::shared_ptr<UpstreamConnection> connection);

  // Closes the idle connections of an upstream that was removed or replaced.
  void CloseIdle(const common::UpstreamName& name);
  // Closes connections that were idle for too long; called a few times a
  // second.
  void CloseExpired(common::TimePoint now);

 private:
  boost::asio::io_context& context_;
  const common::Clock& clock_;
  const HeaderCodec& header_codec_;
  std::unordered_map<common::UpstreamName,
                     std::vector<std::shared_ptr<UpstreamConnection>>>
      idle_;
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_UPSTREAMCONNECTIONPOOL_H_
