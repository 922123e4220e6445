#ifndef SHALLOTBEAM_CORE_GATEWAY_ANSWERS_H_
#define SHALLOTBEAM_CORE_GATEWAY_ANSWERS_H_

#include <chrono>
#include <cstdint>

#include "Catalogue/RouteTable.h"
#include "Common/Clock.h"
#include "Common/RetryBudget.h"

// What the parts of Gateway share when they answer callers themselves.
namespace shallotbeam::gateway {

inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

// Advised to callers when nothing tells how long they would wait.
inline constexpr common::Duration kShortRetryAfter =
    std::chrono::milliseconds(300);
// The platform allows a fifth of all requests as repeats; what is left of it is
// for differences between gateways.
inline constexpr common::RetryOptions kRetryOptions = {
    .ratio = 0.17, .minimum_per_second = 0.1, .burst = 4};

// Zero if there is no configuration.
inline std::uint64_t VersionOf(const catalogue::RouteTable* table) {
  return table == nullptr ? 0 : common::ToNumber(table->Source().version);
}

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_CORE_GATEWAY_ANSWERS_H_
