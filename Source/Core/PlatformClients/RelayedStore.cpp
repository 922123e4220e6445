#include "PlatformClients/RelayedStore.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"
#include "Common/Logging.h"
#include "PlatformClients/RelayCodec.h"

namespace shallotbeam::platform_clients {

namespace {

using transport::CallEnd;
using transport::HttpResponse;

constexpr int kOk = 200;

}  // namespace

RelayedStore::RelayedStore(ItemStore& store, transport::HttpClient& client,
                           const common::Clock& clock,
                           RelayedStoreOptions options)
    : store_(store),
      client_(client),
      clock_(clock),
      options_(std::move(options)) {
  for (const common::Endpoint& it : options_.relays) {
    relays_.push_back({.endpoint = it, .retry_at = {}});
  }
  // Rendezvous hashing spreads the processes over the relays.
  std::sort(relays_.begin(), relays_.end(),
            [this](const Relay& a, const Relay& b) {
              const auto weight = [this](const Relay& it) {
                return common::Hash64(options_.name.value +
                                      common::ToString(it.endpoint));
              };
              return weight(a) > weight(b);
            });
}

void RelayedStore::List(const std::string& prefix, const std::string& after,
                        std::function<void(ListResult)> done) {
  store_.List(prefix, after, std::move(done));
}

RelayedStore::Relay* RelayedStore::UsableRelay() {
  const common::TimePoint now = clock_.Now();
  const auto it =
      std::find_if(relays_.begin(), relays_.end(),
                   [now](const Relay& it) { return now >= it.retry_at; });
  return it == relays_.end() ? nullptr : &*it;
}

void RelayedStore::AwaitChanges(const std::string& prefix,
                                common::StorePosition position,
                                std::chrono::milliseconds wait,
                                std::function<void(ChangesResult)> done) {
  Relay* const relay = prefix.empty() ? UsableRelay() : nullptr;
  if (relay == nullptr) {
    return store_.AwaitChanges(prefix, position, wait, std::move(done));
  }
  const RelayPoll poll{.position = position, .wait = options_.poll_wait};
  client_.Fetch(relay->endpoint,
                {.method = "GET", .target = EncodeRelayPoll(poll)},
                poll.wait + options_.response_timeout,
                [this, relay, prefix, position, wait, sent = clock_.Now(),
                 done = std::move(done)](CallEnd end,
                                         const HttpResponse& response) mutable {
                  auto result = AcceptResponse(end, response, position);
                  if (result) return done(*std::move(result));
                  MarkFailed(*relay, end, response.status, clock_.Now() - sent);
                  store_.AwaitChanges(prefix, position, wait, std::move(done));
                });
}

std::optional<ChangesResult> RelayedStore::AcceptResponse(
    CallEnd end, const HttpResponse& response,
    common::StorePosition position) const {
  if (end != CallEnd::kComplete || response.status != kOk) return std::nullopt;
  auto result = DecodeRelayResult(response.body);
  // A relay that is behind, or in another era, confirms nothing.
  const bool usable =
      result && result->as_of.era == position.era && result->as_of >= position;
  if (!usable) return std::nullopt;
  return result;
}

void RelayedStore::MarkFailed(Relay& relay, CallEnd end, int status,
                              common::Duration call_time) {
  relay.retry_at = clock_.Now() + options_.retry_after;
  common::Log(common::Subsystem::kPlatform, common::LogLevel::kInfo,
              "event=store_relay_failed relay={} status={} timed_out={} "
              "call_ms={}",
              common::ToString(relay.endpoint), status,
              end == CallEnd::kTimedOut,
              call_time / std::chrono::milliseconds(1));
}

}  // namespace shallotbeam::platform_clients
