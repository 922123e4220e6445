#include "Forwarding/UpstreamConnections.h"

#include <algorithm>
#include <utility>

namespace shallotbeam::forwarding {

UpstreamConnections::UpstreamConnections(boost::asio::io_context& context,
                                         const common::Clock& clock,
                                         const Dialect& dialect)
    : context_(context), clock_(clock), dialect_(dialect) {}

std::shared_ptr<UpstreamConnection> UpstreamConnections::Take(
    const common::UpstreamName& name) {
  const auto it = idle_.find(name);
  while (it != idle_.end() && !it->second.empty()) {
    // The last one in is the warmest; the others may then expire.
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    if (connection->IsReusable(clock_.Now())) return connection;
    connection->Close();
  }
  return std::make_shared<UpstreamConnection>(context_.get_executor(), clock_,
                                              dialect_);
}

void UpstreamConnections::Return(
    const common::UpstreamName& name,
    std::shared_ptr<UpstreamConnection> connection) {
  if (!connection->IsReusable(clock_.Now())) return connection->Close();
  idle_[name].push_back(std::move(connection));
}

void UpstreamConnections::Forget(const common::UpstreamName& name) {
  const auto it = idle_.find(name);
  if (it == idle_.end()) return;
  for (const auto& connection : it->second) connection->Close();
  idle_.erase(it);
}

void UpstreamConnections::CloseExpired(common::TimePoint now) {
  for (auto& [name, connections] : idle_) {
    const auto expired = [now](const auto& it) {
      if (it->IsReusable(now)) return false;
      it->Close();
      return true;
    };
    connections.erase(
        std::remove_if(connections.begin(), connections.end(), expired),
        connections.end());
  }
}

}  // namespace shallotbeam::forwarding
