#include "Common/RetryBudget.h"

#include <algorithm>

namespace shallotbeam::common {

bool TryTake(TokenBucket& bucket, double per_second, double burst,
             TimePoint now) {
  if (bucket.tokens < 0) {
    bucket.tokens = burst;
  } else {
    const std::chrono::duration<double> elapsed = now - bucket.refilled;
    bucket.tokens =
        std::min(burst, bucket.tokens + elapsed.count() * per_second);
  }
  bucket.refilled = now;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

void RecordDispatch(RetryBudget& budget, const RetryOptions& options) {
  budget.earned_retries =
      std::min(options.burst, budget.earned_retries + options.ratio);
}

bool TryRetry(RetryBudget& budget, const RetryOptions& options, TimePoint now) {
  if (budget.earned_retries >= 1) {
    budget.earned_retries -= 1;
    return true;
  }
  return TryTake(budget.minimum, options.minimum_per_second,
                 std::max(options.minimum_per_second, 1.0), now);
}

}  // namespace shallotbeam::common
