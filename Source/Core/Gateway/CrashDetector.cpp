#include "Gateway/CrashDetector.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <utility>

namespace shallotbeam::gateway {

namespace {

namespace net = boost::asio;
using boost::system::error_code;

constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
// A crashed upstream may be back, as another incarnation, before a connection
// to it is tried. Its entry in the store shows that after a few seconds.
constexpr common::Duration kExplanationTime = std::chrono::seconds(5);

}  // namespace

CrashDetector::CrashDetector(net::io_context& context,
                             const common::Clock& clock, CrashHandler on_crash)
    : context_(context), clock_(clock), on_crash_(std::move(on_crash)) {}

void CrashDetector::OnBroken(const common::UpstreamName& upstream,
                             const common::Endpoint& endpoint,
                             std::uint64_t started,
                             suspects::CrashedRequest request) {
  Broken& broken = broken_[upstream];
  if (broken.requests.empty() || broken.started != started) {
    broken.requests.clear();
    broken.started = started;
    broken.since = clock_.Now();
    broken.trying = false;
  }
  broken.requests.push_back(std::move(request));
  if (broken.trying) return;
  broken.trying = TryConnecting(upstream, endpoint, started);
}

bool CrashDetector::TryConnecting(const common::UpstreamName& upstream,
                                  const common::Endpoint& endpoint,
                                  std::uint64_t started) {
  error_code ec;
  const auto address = net::ip::make_address(endpoint.address, ec);
  if (ec) return false;
  const auto stream = std::make_shared<boost::beast::tcp_stream>(context_);
  stream->expires_after(kConnectTimeout);
  stream->async_connect(net::ip::tcp::endpoint(address, endpoint.port),
                        [this, stream, upstream, started](error_code ec) {
                          const auto it = broken_.find(upstream);
                          if (it == broken_.end()) return;
                          if (it->second.started != started) return;
                          it->second.trying = false;
                          if (ec == net::error::connection_refused) {
                            OnEnded(upstream);
                          }
                        });
  return true;
}

void CrashDetector::OnEnded(const common::UpstreamName& upstream) {
  const auto it = broken_.find(upstream);
  if (it == broken_.end()) return;
  DetectedCrash crash{.id = suspects::CrashIdOf(upstream, it->second.started),
                      .time = it->second.since,
                      .requests = std::move(it->second.requests)};
  broken_.erase(it);
  if (!crash.requests.empty()) on_crash_(crash);
}

void CrashDetector::OnTick() {
  const common::TimePoint now = clock_.Now();
  std::erase_if(broken_, [now](const auto& it) {
    return now - it.second.since > kExplanationTime && !it.second.trying;
  });
}

}  // namespace shallotbeam::gateway
