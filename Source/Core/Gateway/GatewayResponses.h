#ifndef SHALLOTBEAM_CORE_GATEWAY_GATEWAYRESPONSES_H_
#define SHALLOTBEAM_CORE_GATEWAY_GATEWAYRESPONSES_H_

#include <chrono>
#include <cstdint>

#include "Catalogue/RouteTable.h"
#include "Common/Clock.h"
#include "Common/RetryBudget.h"

// Status codes, retry settings and helpers for the responses that the gateway
// generates itself.
namespace shallotbeam::gateway {

inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

// Retry-After sent to callers when no estimate of their wait is available.
inline constexpr common::Duration kDefaultRetryAfter =
    std::chrono::milliseconds(300);
// The platform allows retries for at most a fifth of all requests. The lower
// ratio leaves a margin for differences between gateways.
inline constexpr common::RetryOptions kRetryOptions = {
    .ratio = 0.17, .minimum_per_second = 0.1, .burst = 4};

// Version of the configuration in `table`; zero if there is none.
inline std::uint64_t VersionOf(const catalogue::RouteTable* table) {
  return table == nullptr ? 0 : common::ToNumber(table->Source().version);
}

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_GATEWAYRESPONSES_H_
