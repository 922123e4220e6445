#include "PlatformClients/ChangeTiming.h"

#include <algorithm>

namespace shallotbeam::platform_clients {

namespace {

using std::chrono::milliseconds;

// Part of the limit that is left for the response of a slow store, the retry
// after a failed call and a host without processor time.
constexpr milliseconds kStoreMargin{1'000};
// The same for a call to the store that follows a failed poll of a relay.
constexpr milliseconds kFallbackMargin{300};
constexpr milliseconds kRelayResponseTimeout{400};
// Part of the limit for which a relay delays its next poll, in tenths.
constexpr int kRelayDelayTenths = 3;
constexpr milliseconds kMinRelayDelay{300};
constexpr milliseconds kMaxRelayDelay{1'000};
// Without changes a relay polls a little less often than with them.
constexpr milliseconds kRelayWaitMargin{100};
// The response of the store and its processing make the copy older than that.
constexpr milliseconds kRelayAgeMargin{400};
// A copy may be used for credentials only while it is young, however long other
// changes may take.
constexpr milliseconds kMaxWait{3'200};
constexpr milliseconds kMaxRelayedWait{2'000};
constexpr milliseconds kMinWait{200};

}  // namespace

ChangeTiming TimingFor(milliseconds limit) {
  const milliseconds relay_delay = std::clamp(limit * kRelayDelayTenths / 10,
                                              kMinRelayDelay, kMaxRelayDelay);
  const milliseconds poll_wait =
      std::clamp(limit - kStoreMargin, kMinWait, kMaxWait);
  return {.poll_wait = poll_wait,
          .max_change_delay = poll_wait,
          .relay_poll_wait = relay_delay + kRelayWaitMargin,
          .relay_max_change_delay = relay_delay,
          .relay_max_age = relay_delay + kRelayAgeMargin,
          .relayed_poll_wait = std::clamp(
              limit - relay_delay - kRelayResponseTimeout - kFallbackMargin,
              kMinWait, kMaxRelayedWait),
          .relay_response_timeout = kRelayResponseTimeout};
}

}  // namespace shallotbeam::platform_clients
