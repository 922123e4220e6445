#ifndef SHALLOTBEAM_CORE_FORWARDING_UPSTREAMCONNECTIONS_H_
#define SHALLOTBEAM_CORE_FORWARDING_UPSTREAMCONNECTIONS_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Common/Types.h"
#include "Forwarding/UpstreamConnection.h"

namespace shallotbeam::forwarding {

// Idle connections to upstreams. They belong to one incarnation of an upstream,
// as its address may later be another one's. Not thread-safe.
class UpstreamConnections {
 public:
  UpstreamConnections(boost::asio::io_context& context,
                      const common::Clock& clock, const Dialect& dialect);

  // An idle connection, or one that is yet to connect.
  std::shared_ptr<UpstreamConnection> Take(const common::UpstreamName& name);

  // Gives a connection back after its exchange.
  void Return(const common::UpstreamName& name,
              std::shared_ptr<UpstreamConnection> connection);

  // Closes the idle connections of an upstream that has gone.
  void Forget(const common::UpstreamName& name);
  // Closes connections that were idle for too long; called once a second.
  void CloseExpired(common::TimePoint now);

 private:
  boost::asio::io_context& context_;
  const common::Clock& clock_;
  const Dialect& dialect_;
  std::unordered_map<common::UpstreamName,
                     std::vector<std::shared_ptr<UpstreamConnection>>>
      idle_;
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_UPSTREAMCONNECTIONS_H_
