#ifndef SHALLOTBEAM_TESTTOOLS_ENGINESTANDIN_MODEL_H_
#define SHALLOTBEAM_TESTTOOLS_ENGINESTANDIN_MODEL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

// Timing model of a model engine with continuous batching. Does no I/O.
namespace shallotbeam::engine_stand_in {

using Milliseconds = std::chrono::duration<double, std::milli>;

struct ModelOptions {
  int batch = 16;  // number of concurrent requests that run at full speed
  Milliseconds first_token{40};  // time to the first token, without prefill
  Milliseconds token{5};         // between tokens, for up to `batch` requests
  Milliseconds call{10};         // duration of a plain call
  double prefill_tokens_per_ms = 100;
  std::size_t cache_tokens = 200'000;
  // Maximum number of concurrent requests; further requests are queued. 0: no
  // limit.
  int max_running = 0;
  bool refuse_over_limit = false;  // respond 429 instead of queueing
};

std::size_t TokensIn(std::string_view prompt);

// Returns the factor on all durations. Above the batch size, it grows in
// proportion to the number of running requests.
double SlowdownOf(const ModelOptions& options, int running);

// Returns the time to the first token for a prompt of `tokens` tokens, `cached`
// of which are in the prefix cache.
Milliseconds PrefillTime(const ModelOptions& options, std::size_t tokens,
                         std::size_t cached);

// LRU cache of prompt prefixes, at the granularity of blocks.
class PrefixCache {
 public:
  static constexpr std::size_t kBlockTokens = 64;

  explicit PrefixCache(std::size_t capacity_tokens);

  // Returns how many leading tokens of the prompt were cached. Then caches the
  // complete blocks of the prompt.
  std::size_t Touch(std::string_view prompt);

 private:
  std::size_t max_blocks_;
  std::list<std::size_t> recent_;  // hashes, most recently used first
  std::unordered_map<std::size_t, std::list<std::size_t>::iterator> blocks_;
};

}  // namespace shallotbeam::engine_stand_in

#endif  // SHALLOTBEAM_TESTTOOLS_ENGINESTANDIN_MODEL_H_
