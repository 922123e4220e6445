#ifndef SHALLOTBEAM_CORE_COMMON_RETRYBUDGET_H_
#define SHALLOTBEAM_CORE_COMMON_RETRYBUDGET_H_

#include "Common/Clock.h"

namespace shallotbeam::common {

struct RetryOptions {
  int max_retries = 2;            // per request
  double ratio = 0.1;             // retries per dispatch
  double minimum_per_second = 3;  // per pool
  double burst = 20;  // highest number of unused retries earned by dispatches
};

// Token bucket for rate limiting. Starts full.
struct TokenBucket {
  double tokens = -1;  // negative: not used yet
  TimePoint refilled;
};

// Takes one token; returns false if less than one is left. `burst` is the
// capacity.
bool TryTake(TokenBucket& bucket, double per_second, double burst,
             TimePoint now);

// Limits the retries of one pool to a fraction of its dispatches, so that
// retries can't multiply the load of a failing pool. A minimum rate is always
// allowed.
struct RetryBudget {
  double earned_retries = 0;  // added by past dispatches
  TokenBucket minimum;        // used if no earned retry is left
};

// Adds the retries that one dispatch allows.
void RecordDispatch(RetryBudget& budget, const RetryOptions& options);
// Consumes one retry; returns false if the budget is exhausted.
bool TryRetry(RetryBudget& budget, const RetryOptions& options, TimePoint now);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_RETRYBUDGET_H_
