#ifndef SHALLOTBEAM_TESTTOOLS_ENGINESTANDIN_MODEL_H_
#define SHALLOTBEAM_TESTTOOLS_ENGINESTANDIN_MODEL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

// Timing of a model engine with continuous batching, without I/O.
namespace shallotbeam::engine_stand_in {

using Milliseconds = std::chrono::duration<double, std::milli>;

struct ModelOptions {
  int batch = 16;  // requests that run at full speed at once
  Milliseconds first_token{40};
  Milliseconds token{5};  // between tokens, up to `batch` requests
  Milliseconds call{10};  // of a plain call
  double prefill_tokens_per_ms = 100;
  std::size_t cache_tokens = 200'000;
  // Requests that run at once; further ones wait. 0 sets no limit.
  int max_running = 0;
  bool refuse_over_limit = false;  // answers 429 instead of queueing
};

std::size_t TokensIn(std::string_view prompt);

// Beyond the batch size, all requests slow down in proportion.
double SlowdownOf(const ModelOptions& options, int running);

// Time to the first token of a prompt of which `cached` tokens are in the
// prefix cache.
Milliseconds PrefillTime(const ModelOptions& options, std::size_t tokens,
                         std::size_t cached);

// Remembers the most recently used prompt prefixes, in blocks.
class PrefixCache {
 public:
  static constexpr std::size_t kBlockTokens = 64;

  explicit PrefixCache(std::size_t capacity_tokens);

  // Returns how many leading tokens of the prompt were cached, and caches the
  // whole blocks of it.
  std::size_t Touch(std::string_view prompt);

 private:
  std::size_t max_blocks_;
  std::list<std::size_t> recent_;  // hashes, most recently used first
  std::unordered_map<std::size_t, std::list<std::size_t>::iterator> blocks_;
};

}  // namespace shallotbeam::engine_stand_in

#endif  // SHALLOTBEAM_TESTTOOLS_ENGINESTANDIN_MODEL_H_
