#include "Forwarding/UpstreamConnectionPool.h"

#include <algorithm>
#include <utility>

namespace shallotbeam::forwarding {

UpstreamConnectionPool::UpstreamConnectionPool(boost::asio::io_context& context,
                                               const common::Clock& clock,
                                               const HeaderCodec& header_codec)
    : context_(context), clock_(clock), header_codec_(header_codec) {}

std::shared_ptr<UpstreamConnection> UpstreamConnectionPool::Acquire(
    const common::UpstreamName& name) {
  const auto it = idle_.find(name);
  while (it != idle_.end() && !it->second.empty()) {
    // The most recently used connection is the warmest; the others may then
    // expire.
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    if (connection->IsReusable(clock_.Now())) return connection;
    connection->Close();
  }
  return std::make_shared<UpstreamConnection>(context_.get_executor(), clock_,
                                              header_codec_);
}

void UpstreamConnectionPool::Release(
    const common::UpstreamName& name,
    std::shared_ptr<UpstreamConnection> connection) {
  if (!connection->IsReusable(clock_.Now())) return connection->Close();
  idle_[name].push_back(std::move(connection));
}

void UpstreamConnectionPool::CloseIdle(const common::UpstreamName& name) {
  const auto it = idle_.find(name);
  if (it == idle_.end()) return;
  for (const auto& connection : it->second) connection->Close();
  idle_.erase(it);
}

void UpstreamConnectionPool::CloseExpired(common::TimePoint now) {
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
