#ifndef SHALLOTBEAM_CORE_COMMON_RETRYBUDGET_H_
#define SHALLOTBEAM_CORE_COMMON_RETRYBUDGET_H_

#include "Common/Clock.h"

namespace shallotbeam::common {

struct RetryOptions {
  int max_retries = 2;            // of one request
  double ratio = 0.1;             // retries per dispatch
  double minimum_per_second = 3;  // of one pool
  double burst = 20;
};

// A rate limit. Starts full.
struct TokenBucket {
  double tokens = -1;  // below 0: not used yet
  TimePoint refilled;
};

// Takes one token; returns false if none is left.
bool TryTake(TokenBucket& bucket, double per_second, double burst,
             TimePoint now);

// Limits retries of one pool to a share of its dispatches, so that retries
// can't multiply the load of a failing pool.
struct RetryBudget {
  double earned = 0;
  TokenBucket minimum;
};

void RecordDispatch(RetryBudget& budget, const RetryOptions& options);
bool TryRetry(RetryBudget& budget, const RetryOptions& options, TimePoint now);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_RETRYBUDGET_H_
