#ifndef SHALLOTBEAM_CORE_BALANCING_PLACEMENTCOST_H_
#define SHALLOTBEAM_CORE_BALANCING_PLACEMENTCOST_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "Common/Clock.h"

// Weighs, for one request, the wait at an engine against the prefill that its
// cache saves. The least expected time to the first event wins, so that a wait
// is accepted only as far as the saving outweighs it. The figures are
// estimates, and wrong ones cost time only. This code performs no I/O.
namespace shallotbeam::balancing {

// What a gateway knows of one candidate.
struct CandidateFigures {
  common::Duration wait{0};            // expected by its scheduler
  std::optional<double> ns_per_token;  // prefill time; absent if not known
  int held_tokens = 0;       // length of the shared prefix in its cache
  int fetchable_tokens = 0;  // length in the cache of another engine
  int position = 0;          // in the candidate list
};

struct PromptFigures {
  int tokens = 0;
  int shared_tokens = 0;
};

struct CostOptions {
  // Assumed time to fetch a token from another engine's cache, as a fraction of
  // the fleet's median time to process it.
  double fetch_fraction = 0.1;
  // A scheduler's figures beyond these limits are ignored.
  common::Duration longest_wait = std::chrono::minutes(10);
  double largest_deviation = 10;  // of a prefill time from the fleet's median
};

// Returns the expected time from now to the first event: the wait, the prefill
// of what the engine does not have, and the fetch of what another one has. For
// a prompt without shared parts, this is the wait. `median_ns` is the fleet's
// median prefill time per token. Absent if the stated wait is absurd.
std::optional<common::Duration> ExpectedTime(const CostOptions& options,
                                             const PromptFigures& prompt,
                                             const CandidateFigures& candidate,
                                             double median_ns);

// Returns the index of the candidate with the least expected time; of equal
// ones the first. Candidates with an absurd wait are chosen only if all have
// one. Absent if there are no candidates.
std::optional<std::size_t> LeastExpectedTime(
    const CostOptions& options, const PromptFigures& prompt,
    const std::vector<CandidateFigures>& candidates, double median_ns);

// Returns the index of the candidate with the shortest wait after a penalty for
// each position.
std::optional<std::size_t> ShortestPenalisedWait(
    const std::vector<CandidateFigures>& candidates, common::Duration penalty);

// What is known of an engine outside of the group that its prompt length gives
// a request.
struct OverflowFigures {
  common::Duration wait{0};
  double ns_per_token = 0;  // prefill time
  int running = 0;          // requests that wait for the prefill of others
};

// Returns the index of the engine where a prompt with `tokens` to prefill
// causes the least delay in total: its own wait and prefill, and the prefill
// once more for each request that runs there. Absent if there are no engines.
std::optional<std::size_t> LeastTotalDelay(
    const std::vector<OverflowFigures>& engines, int tokens);

}  // namespace shallotbeam::balancing

#endif  // SHALLOTBEAM_CORE_BALANCING_PLACEMENTCOST_H_
